//! Which engine is to run which model: spread, stable and paced.

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

const PATIENCE: Duration = Duration::from_mins(10);
const UNPACED: PlanLimits = PlanLimits {
    loads_per_store: u32::MAX,
};
const SCHEDULES: u64 = 500;
const STEPS: u64 = 60;

struct World {
    services: BTreeMap<ServiceId, Service>,
    hosts: HostList,
    current: BTreeMap<HostId, Assignment>,
    loads: LoadTracker,
    now: SidecarClock,
}

impl World {
    /// Engines of one service, spread in turn over three zones.
    fn new(engines: u32, wanted: &[(&str, u32)]) -> Self {
        let mut world = Self {
            services: BTreeMap::new(),
            hosts: HostList::default(),
            current: BTreeMap::new(),
            loads: LoadTracker::new(PATIENCE),
            now: SidecarClock::default(),
        };
        world.hosts.hosts = (0..engines).map(engine).collect();
        world.want(wanted);
        world
    }

    fn want(&mut self, wanted: &[(&str, u32)]) {
        let add = |service: Service, (name, replicas): &(&str, u32)| {
            service.with_model(model(name), *replicas)
        };
        let service = wanted.iter().fold(Service::repeatable(), add);
        self.services = BTreeMap::from([(pool(), service)]);
    }

    /// Plans, and puts the plan in force.
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

    fn holders(&self, name: &str) -> BTreeSet<HostId> {
        let model = model(name);
        let holds = |(_, a): &(&HostId, &Assignment)| a.models.contains(&model);
        let holders = self.current.iter().filter(holds);
        holders.map(|(host, _)| host.clone()).collect()
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
    let mut world = World::new(6, &[("a", 3), ("b", 3)]);

    let planned = world.plan(UNPACED);

    assert_eq!(
        world.holders("a"),
        BTreeSet::from([host(0), host(1), host(2)])
    );
    assert_eq!(
        world.holders("b"),
        BTreeSet::from([host(3), host(4), host(5)])
    );
    assert!(planned.shortfalls.is_empty());
}

#[test]
fn a_plan_that_holds_is_not_changed() {
    let mut world = World::new(7, &[("a", 4), ("b", 2)]);
    let first = world.plan(UNPACED);
    world.hosts.hosts.push(engine(7));

    let second = world.plan(UNPACED);

    let of_old_hosts = second.assignments.iter().filter(|(id, _)| **id != host(7));
    assert!(of_old_hosts.eq(first.assignments.iter()));
}

#[test]
fn a_leaving_host_is_replaced_and_no_longer_named() {
    // A model has one replica too few for good. The host of one leaves, and no planner notices.
    // Naming the leaving host with an empty list would be as bad: its engine would unload the
    // model under requests that are still running.
    let mut world = World::new(4, &[("a", 3)]);
    world.plan(UNPACED);

    world.set_state(1, HostState::Leaving);
    world.plan(UNPACED);

    assert_eq!(
        world.holders("a"),
        BTreeSet::from([host(0), host(2), host(3)])
    );
    assert!(!world.current.contains_key(&host(1)));
}

#[test]
fn loads_are_paced() {
    // Every engine loads at once after an edit, the weight store limits them all, and for minutes
    // none of them serves.
    let mut world = World::new(6, &[("a", 5)]);
    let limits = PlanLimits { loads_per_store: 2 };

    let first = world.plan(limits);
    let second = world.plan(limits);
    assert_eq!((first.waiting_loads, second.waiting_loads), (3, 3));
    assert_eq!(world.holders("a").len(), 2);

    world.load_all();
    world.plan(limits);
    assert_eq!(world.holders("a").len(), 4);
}

#[test]
fn an_overdue_load_holds_back_no_other() {
    // No model is loaded any more in a whole region. Two engines cannot load theirs, and their
    // replicas count as loading for ever.
    let mut world = World::new(6, &[("a", 4)]);
    let limits = PlanLimits { loads_per_store: 2 };
    world.plan(limits);

    world.now = world.now.plus(PATIENCE);
    world.plan(limits);

    assert_eq!(world.holders("a").len(), 4);
    assert_eq!(world.loads.overdue(world.now).count(), 2);
}

#[test]
fn surplus_goes_where_a_zone_has_most() {
    let mut world = World::new(4, &[("a", 4)]);
    world.plan(UNPACED);
    world.load_all();

    world.want(&[("a", 3)]);
    world.plan(UNPACED);

    assert_eq!(
        world.holders("a"),
        BTreeSet::from([host(0), host(1), host(2)])
    );
    assert!(
        world.current[&host(3)].models.is_empty(),
        "named, so that it unloads"
    );
}

#[test]
fn more_replicas_than_engines_are_told() {
    let mut world = World::new(2, &[("a", 5)]);

    let planned = world.plan(UNPACED);

    assert_eq!(world.holders("a").len(), 2);
    assert_eq!(planned.shortfalls[0].missing_replicas, 3);
    assert_eq!(planned.waiting_loads, 0);
}

#[test]
fn engines_of_a_service_without_models_are_left_alone() {
    let mut world = World::new(2, &[]);

    let planned = world.plan(UNPACED);

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
fn models_are_part_of_a_service_put_and_may_be_left_out() {
    let text = r#"{"kind":"put_service","id":"pool","service":{"is_repeatable":true,"default_deadline_ms":5000,"models":{"a":2}}}"#;
    let edit = TreeEdit::from_json(text).expect("the edit is well formed");
    assert_eq!(edit.to_json(), text);
    let tree = SettingsTree::empty().apply(&edit).expect("the edit holds");
    assert_eq!(tree.services[&pool()].models[&model("a")], 2);

    let without = text.replace(r#","models":{"a":2}"#, "");
    let edit = TreeEdit::from_json(without).expect("the edit is well formed");
    let tree = tree.apply(&edit).expect("the edit holds");
    assert!(tree.services[&pool()].models.is_empty());
}

/// Hosts come and go, loads end in any order, and wishes change; the plans keep their promises.
fn run(seed: u64) {
    let mut random = Gen::from_size_and_seed(10, seed);
    let mut pick = |below: u64| u64::arbitrary(&mut random) % below;
    let limits = PlanLimits { loads_per_store: 3 };
    let mut world = World::new(9, &[("a", 4), ("b", 3)]);
    for _ in 0..STEPS {
        let number = u32::try_from(pick(9)).expect("hosts are few");
        match pick(4) {
            0 => world.set_state(number, HostState::Leaving),
            1 => world.set_state(number, HostState::Live),
            2 => {
                let replicas = u32::try_from(pick(6) + 1).expect("replicas are few");
                world.want(&[("a", replicas), ("b", 3)]);
            }
            _ => {
                let running = world.current.get(&host(number)).cloned();
                world
                    .loads
                    .observe_running(&host(number), &running.unwrap_or_default());
            }
        }
        let before = world.current.clone();
        let loading = world.in_flight();
        world.plan(limits);
        assert!(world.in_flight() <= loading.max(3), "seed {seed}: pace");
        for (name, wanted) in [("a", world.services[&pool()].models[&model("a")]), ("b", 3)] {
            let held = world.holders(name).len();
            assert!(
                held <= usize::try_from(wanted).expect("few"),
                "seed {seed}: surplus"
            );
        }
        let again = world.plan(limits);
        assert_eq!(again.assignments, world.current, "seed {seed}: stable");
        let live = world
            .hosts
            .hosts
            .iter()
            .filter(|h| h.state == HostState::Live);
        let live: BTreeSet<_> = live.map(|h| &h.host).collect();
        assert!(world.current.keys().all(|host| live.contains(host)));
        let moved = |host: &HostId, name: &str| {
            let held = |a: &Assignment| a.models.contains(&model(name));
            before.get(host).is_some_and(held) && !world.current.get(host).is_some_and(held)
        };
        let kept_b = live.iter().all(|host| !moved(host, "b"));
        assert!(kept_b, "seed {seed}: a replica moved without need");
    }
}

#[test]
fn plans_stay_stable_spread_and_paced_at_random() {
    for seed in 0..SCHEDULES {
        run(seed);
    }
}
