//! Planning of placements: spread over zones, stable, and with limited loads.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranthscale_core::id::{HostId, ModelId, ServiceId};
use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::version::{
    Assignment, LoadTracker, MAX_REPLICAS, PlanInput, PlanLimits, PlannedPlacement, Service,
    SettingsTree, TreeEdit, plan_placement,
};
use amaranthscale_core::wire::{HostList, HostRecord, HostState};
use quickcheck::{Arbitrary as _, Gen};

const LOAD_TIMEOUT: Duration = Duration::from_mins(10);
const UNLIMITED_LOADS: PlanLimits = PlanLimits {
    loads_per_store: u32::MAX,
};
const SCHEDULES: u64 = 500;
const STEPS: u64 = 60;

struct Cluster {
    services: BTreeMap<ServiceId, Service>,
    hosts: HostList,
    current: BTreeMap<HostId, Assignment>,
    loads: LoadTracker,
    now: SidecarClock,
}

impl Cluster {
    /// Engines of one service, distributed over three zones.
    fn new(engines: u32, wanted: &[(&str, u32)]) -> Self {
        let mut cluster = Self {
            services: BTreeMap::new(),
            hosts: HostList::default(),
            current: BTreeMap::new(),
            loads: LoadTracker::new(LOAD_TIMEOUT),
            now: SidecarClock::default(),
        };
        cluster.hosts.hosts = (0..engines).map(engine).collect();
        cluster.want(wanted);
        cluster
    }

    fn want(&mut self, wanted: &[(&str, u32)]) {
        let add = |service: Service, (name, replicas): &(&str, u32)| {
            service.with_model(model(name), *replicas)
        };
        let service = wanted.iter().fold(Service::repeatable(), add);
        self.services = BTreeMap::from([(pool(), service)]);
    }

    /// Makes a plan and puts it in force.
    fn plan(&mut self, limits: PlanLimits) -> PlannedPlacement {
        let planned = plan_placement(&PlanInput {
            services: &self.services,
            hosts: &self.hosts,
            current: &self.current,
            loads: &self.loads,
            now: self.now,
            limits,
        });
        self.current.clone_from(&planned.assignments);
        self.loads.set_placement(&self.current, self.now);
        planned
    }

    fn load_all(&mut self) {
        for (host, assignment) in &self.current {
            self.loads.observe_running(host, assignment);
        }
    }

    fn set_state(&mut self, number: u32, state: HostState) {
        let id = host(number);
        let found = self.hosts.hosts.iter_mut().find(|h| h.host == id);
        found.expect("the host is listed").state = state;
    }

    fn hosts_of(&self, name: &str) -> BTreeSet<HostId> {
        let model = model(name);
        let has_model = |(_, a): &(&HostId, &Assignment)| a.models.contains(&model);
        let hosting = self.current.iter().filter(has_model);
        hosting.map(|(host, _)| host.clone()).collect()
    }

    fn in_flight(&self) -> usize {
        self.loads.in_flight(self.now).count()
    }
}

fn pool() -> ServiceId {
    "pool".parse().expect("the name is well formed")
}

fn model(name: &str) -> ModelId {
    name.parse().expect("the name is well formed")
}

fn host(number: u32) -> HostId {
    let name = format!("host-{number}");
    name.parse().expect("the name is well formed")
}

fn engine(number: u32) -> HostRecord {
    let zone = format!("zone-{}", number % 3);
    HostRecord {
        host: host(number),
        address: ([127, 0, 0, 1], 1).into(),
        region: "region".parse().expect("the name is well formed"),
        zone: zone.parse().expect("the name is well formed"),
        service: Some(pool()),
        state: HostState::Live,
    }
}

#[test]
fn replicas_are_spread_over_zones_and_engines() {
    let mut cluster = Cluster::new(6, &[("a", 3), ("b", 3)]);

    let planned = cluster.plan(UNLIMITED_LOADS);

    assert_eq!(
        cluster.hosts_of("a"),
        BTreeSet::from([host(0), host(1), host(2)])
    );
    assert_eq!(
        cluster.hosts_of("b"),
        BTreeSet::from([host(3), host(4), host(5)])
    );
    assert!(planned.shortfalls.is_empty());
}

#[test]
fn a_satisfied_plan_is_not_changed() {
    let mut cluster = Cluster::new(7, &[("a", 4), ("b", 2)]);
    let first = cluster.plan(UNLIMITED_LOADS);
    cluster.hosts.hosts.push(engine(7));

    let second = cluster.plan(UNLIMITED_LOADS);

    let of_old_hosts = second.assignments.iter().filter(|(id, _)| **id != host(7));
    assert!(of_old_hosts.eq(first.assignments.iter()));
}

#[test]
fn a_leaving_host_is_replaced_and_left_out_of_the_plan() {
    // If the planner ignored that a replica's host is leaving, the model would have one replica too
    // few. If it assigned no models to the leaving host, its engine would unload the model while
    // requests are still running.
    let mut cluster = Cluster::new(4, &[("a", 3)]);
    cluster.plan(UNLIMITED_LOADS);

    cluster.set_state(1, HostState::Leaving);
    cluster.plan(UNLIMITED_LOADS);

    assert_eq!(
        cluster.hosts_of("a"),
        BTreeSet::from([host(0), host(2), host(3)])
    );
    assert!(!cluster.current.contains_key(&host(1)));
}

#[test]
fn concurrent_loads_are_limited() {
    // If all engines loaded at once after an edit, the weight store would limit them all, and none
    // would serve for minutes.
    let mut cluster = Cluster::new(6, &[("a", 5)]);
    let limits = PlanLimits { loads_per_store: 2 };

    let first = cluster.plan(limits);
    let second = cluster.plan(limits);
    assert_eq!((first.waiting_loads, second.waiting_loads), (3, 3));
    assert_eq!(cluster.hosts_of("a").len(), 2);

    cluster.load_all();
    cluster.plan(limits);
    assert_eq!(cluster.hosts_of("a").len(), 4);
}

#[test]
fn an_overdue_load_does_not_block_others() {
    // Two engines cannot load their models. If their replicas counted as loading forever, no other
    // model could be loaded in the region.
    let mut cluster = Cluster::new(6, &[("a", 4)]);
    let limits = PlanLimits { loads_per_store: 2 };
    cluster.plan(limits);

    cluster.now = cluster.now.plus(LOAD_TIMEOUT);
    cluster.plan(limits);

    assert_eq!(cluster.hosts_of("a").len(), 4);
    assert_eq!(cluster.loads.overdue(cluster.now).count(), 2);
}

#[test]
fn surplus_replicas_are_removed_from_the_zone_with_the_most() {
    let mut cluster = Cluster::new(4, &[("a", 4)]);
    cluster.plan(UNLIMITED_LOADS);
    cluster.load_all();

    cluster.want(&[("a", 3)]);
    cluster.plan(UNLIMITED_LOADS);

    assert_eq!(
        cluster.hosts_of("a"),
        BTreeSet::from([host(0), host(1), host(2)])
    );
    assert!(
        cluster.current[&host(3)].models.is_empty(),
        "assigned no models, so that it unloads"
    );
}

#[test]
fn missing_engines_are_reported_as_shortfalls() {
    let mut cluster = Cluster::new(2, &[("a", 5)]);

    let planned = cluster.plan(UNLIMITED_LOADS);

    assert_eq!(cluster.hosts_of("a").len(), 2);
    assert_eq!(planned.shortfalls[0].missing_replicas, 3);
    assert_eq!(planned.waiting_loads, 0);
}

#[test]
fn engines_of_a_service_without_models_are_not_planned() {
    let mut cluster = Cluster::new(2, &[]);

    let planned = cluster.plan(UNLIMITED_LOADS);

    assert!(planned.assignments.is_empty());
}

#[test]
fn replicas_out_of_range_are_refused() {
    let tree = SettingsTree::empty();
    let put = |replicas| TreeEdit::PutService {
        id: pool(),
        service: Service::repeatable().with_model(model("a"), replicas),
    };

    assert!(tree.apply(&put(0)).is_err());
    assert!(tree.apply(&put(MAX_REPLICAS + 1)).is_err());
    assert!(tree.apply(&put(1)).is_ok());
    assert!(tree.apply(&put(MAX_REPLICAS)).is_ok());
}

#[test]
fn models_are_an_optional_part_of_a_service() {
    let text = r#"{"kind":"put_service","id":"pool","service":{"is_repeatable":true,"default_deadline_ms":5000,"models":{"a":2}}}"#;
    let edit = TreeEdit::from_json(text).expect("the edit is well formed");
    assert_eq!(edit.to_json(), text);
    let tree = SettingsTree::empty()
        .apply(&edit)
        .expect("the edit is valid");
    assert_eq!(tree.services[&pool()].models[&model("a")], 2);

    let without = text.replace(r#","models":{"a":2}"#, "");
    let edit = TreeEdit::from_json(without).expect("the edit is well formed");
    let tree = tree.apply(&edit).expect("the edit is valid");
    assert!(tree.services[&pool()].models.is_empty());
}

/// Hosts join and leave, loads end in any order, and the wanted replicas change; checks each plan.
fn run(seed: u64) {
    let mut random = Gen::from_size_and_seed(10, seed);
    let mut pick = |below: u64| u64::arbitrary(&mut random) % below;
    let limits = PlanLimits { loads_per_store: 3 };
    let mut cluster = Cluster::new(9, &[("a", 4), ("b", 3)]);
    for _ in 0..STEPS {
        let number = u32::try_from(pick(9)).expect("hosts are few");
        match pick(4) {
            0 => cluster.set_state(number, HostState::Leaving),
            1 => cluster.set_state(number, HostState::Live),
            2 => {
                let replicas = u32::try_from(pick(6) + 1).expect("replicas are few");
                cluster.want(&[("a", replicas), ("b", 3)]);
            }
            _ => {
                let running = cluster.current.get(&host(number)).cloned();
                cluster
                    .loads
                    .observe_running(&host(number), &running.unwrap_or_default());
            }
        }
        let before = cluster.current.clone();
        let loading = cluster.in_flight();
        cluster.plan(limits);
        assert!(
            cluster.in_flight() <= loading.max(3),
            "seed {seed}: too many loads"
        );
        for (name, wanted) in [
            ("a", cluster.services[&pool()].models[&model("a")]),
            ("b", 3),
        ] {
            let placed = cluster.hosts_of(name).len();
            assert!(
                placed <= usize::try_from(wanted).expect("few"),
                "seed {seed}: surplus"
            );
        }
        let again = cluster.plan(limits);
        assert_eq!(
            again.assignments, cluster.current,
            "seed {seed}: not stable"
        );
        let live = cluster
            .hosts
            .hosts
            .iter()
            .filter(|h| h.state == HostState::Live);
        let live: BTreeSet<_> = live.map(|h| &h.host).collect();
        assert!(cluster.current.keys().all(|host| live.contains(host)));
        let moved = |host: &HostId, name: &str| {
            let placed = |a: &Assignment| a.models.contains(&model(name));
            before.get(host).is_some_and(placed) && !cluster.current.get(host).is_some_and(placed)
        };
        let b_is_unmoved = live.iter().all(|host| !moved(host, "b"));
        assert!(b_is_unmoved, "seed {seed}: a replica moved without need");
    }
}

#[test]
fn random_plans_are_stable_and_within_limits() {
    for seed in 0..SCHEDULES {
        run(seed);
    }
}
