//! Random runs of gateways that agree on an owner through a store, with faults.
//!
//! Gateways are killed, frozen, and disconnected from each other and from the store, in any order.
//! In every run, once the faults have ended, all gateways must select the same live owner within
//! seconds, the owner itself included.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranthscale_core::id::{InstanceId, RowVersion};
use amaranthscale_core::process::{Announcement, Cell, InstanceView};
use quickcheck::{Arbitrary, Gen};

/// Number of runs in CI; `AMARANTH_RANDOM_SCHEDULES` sets another number.
const DEFAULT_RUNS: u64 = 300;
const HOSTS: usize = 4;
/// Steps with faults in one run.
const STEPS: usize = 120;
/// Rounds of 300 ms after the last fault: longer than the time after which unresponsive gateways
/// expire.
const ROUNDS_WITHOUT_FAULTS: usize = 80;

fn pick(random: &mut Gen, choices: usize) -> usize {
    usize::arbitrary(random) % choices
}

/// One host and the current incarnation of its gateway.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault starts and ends independently"
)]
struct Host {
    id: InstanceId,
    announcement: Announcement,
    view: InstanceView,
    incarnations: usize,
    /// Number of changes of the store's log that it has read; `None` before it reads the whole
    /// list.
    read: Option<usize>,
    is_announced: bool,
    is_frozen: bool,
    is_disconnected: bool,
    has_store: bool,
    removed: BTreeSet<InstanceId>,
}

type Change = (InstanceId, Option<(Announcement, RowVersion)>);

struct World {
    now: Duration,
    hosts: Vec<Host>,
    rows: BTreeMap<InstanceId, (Announcement, RowVersion)>,
    /// Changes in order; `None` for a removed announcement.
    log: Vec<Change>,
}

impl Host {
    fn new(number: usize) -> Self {
        let address = format!("10.0.0.{}:7000", number + 1).parse().unwrap();
        let millicores = if number == 0 { 400 } else { 200 };
        let announcement = Announcement {
            address,
            millicores,
            zone: None,
        };
        let id: InstanceId = format!("m{number}-0").parse().unwrap();
        Self {
            view: InstanceView::new(id.clone(), announcement.clone()),
            id,
            announcement,
            incarnations: 0,
            read: None,
            is_announced: false,
            is_frozen: false,
            is_disconnected: false,
            has_store: true,
            removed: BTreeSet::new(),
        }
    }

    fn restart(&mut self, number: usize) {
        self.incarnations += 1;
        self.id = format!("m{number}-{}", self.incarnations).parse().unwrap();
        self.view = InstanceView::new(self.id.clone(), self.announcement.clone());
        self.read = None;
        self.is_announced = false;
        self.is_frozen = false;
        self.removed.clear();
    }
}

impl World {
    fn new() -> Self {
        Self {
            now: Duration::from_secs(10),
            hosts: (0..HOSTS).map(Host::new).collect(),
            rows: BTreeMap::new(),
            log: Vec::new(),
        }
    }

    fn put(&mut self, id: &InstanceId, announcement: Announcement) {
        let version = RowVersion::new(u64::try_from(self.log.len()).unwrap() + 1);
        self.rows
            .insert(id.clone(), (announcement.clone(), version));
        self.log.push((id.clone(), Some((announcement, version))));
    }

    fn remove(&mut self, id: &InstanceId) {
        if self.rows.remove(id).is_some() {
            self.log.push((id.clone(), None));
        }
    }

    fn inject_fault(&mut self, random: &mut Gen) {
        let number = pick(random, HOSTS);
        let host = &mut self.hosts[number];
        match pick(random, 8) {
            0 => host.restart(number),
            1 => host.is_frozen = true,
            2 => host.is_frozen = false,
            3 => host.is_disconnected = true,
            4 => host.is_disconnected = false,
            5 => host.has_store = false,
            // The store's history is lost, and the whole list is read again.
            6 => host.read = None,
            _ => host.has_store = true,
        }
    }

    /// Announces a gateway and applies the store's changes.
    fn sync_with_store(&mut self, number: usize) {
        if !self.hosts[number].has_store {
            return;
        }
        if !self.hosts[number].is_announced {
            self.hosts[number].is_announced = true;
            let (id, announcement) = (
                self.hosts[number].id.clone(),
                self.hosts[number].announcement.clone(),
            );
            self.put(&id, announcement);
        }
        if self.hosts[number].read.is_none() {
            self.read_all(number);
        }
        while let Some((id, row)) = self.next_change(number) {
            let host = &mut self.hosts[number];
            let own = host.id.clone();
            if let Some((announcement, since)) = row {
                let is_same_address = announcement.address == host.announcement.address;
                host.view.announced(id.clone(), announcement, since);
                if is_same_address && id != own {
                    self.remove(&id);
                }
            } else {
                host.view.withdrawn(&id);
                if id == own && !self.rows.contains_key(&own) {
                    let announcement = host.announcement.clone();
                    self.put(&own, announcement);
                }
            }
        }
    }

    /// Reads the whole list, ordered by name.
    fn read_all(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        let ids: BTreeSet<_> = self.rows.keys().cloned().collect();
        host.view.retain_listed(&ids);
        let is_own_gone = !ids.contains(&host.id);
        let mut earlier_incarnations = Vec::new();
        for (id, (announcement, since)) in &self.rows {
            if announcement.address == host.announcement.address && *id != host.id {
                earlier_incarnations.push(id.clone());
            }
            host.view
                .announced(id.clone(), announcement.clone(), *since);
        }
        host.read = Some(self.log.len());
        for id in earlier_incarnations {
            self.remove(&id);
        }
        if is_own_gone {
            let (id, announcement) = (
                self.hosts[number].id.clone(),
                self.hosts[number].announcement.clone(),
            );
            self.put(&id, announcement);
        }
    }

    fn next_change(&mut self, number: usize) -> Option<Change> {
        let read = self.hosts[number].read.as_mut()?;
        let entry = self.log.get(*read).cloned()?;
        *read += 1;
        Some(entry)
    }

    /// Whether a gateway gets an answer from a gateway's incarnation.
    fn reaches(&self, from: usize, id: &InstanceId) -> bool {
        let to = self.hosts.iter().position(|host| host.id == *id);
        to.is_some_and(|to| {
            let is_disconnected =
                self.hosts[from].is_disconnected || self.hosts[to].is_disconnected;
            !is_disconnected && !self.hosts[to].is_frozen
        })
    }

    /// Sends a job to the owner, and to the next one as long as the owner is unresponsive.
    fn send_job(&mut self, number: usize) {
        for _ in 0..HOSTS {
            let owner = self.hosts[number].view.owner(Cell::SINGLE, self.now);
            let owner = owner.0.clone();
            if owner == self.hosts[number].id {
                return;
            }
            self.probe(number, &owner);
        }
    }

    fn probe(&mut self, number: usize, id: &InstanceId) {
        let is_reached = self.reaches(number, id);
        let now = self.now;
        let view = &mut self.hosts[number].view;
        if is_reached {
            view.mark_responsive(id);
        } else {
            view.mark_unresponsive(id, now);
        }
    }

    /// Removes the displaced and expired gateways, and probes all unresponsive ones.
    fn remove_unresponsive(&mut self, number: usize) {
        let now = self.now;
        let host = &self.hosts[number];
        let others = host.view.live_others(now);
        let reaches_another =
            others.is_empty() || others.iter().any(|(id, _)| self.reaches(number, id));
        let mut removable = host.view.expired(now);
        if reaches_another {
            let displaced = host.view.displaced(now).into_iter();
            removable.extend(displaced.filter(|id| !host.removed.contains(id)));
        }
        if host.has_store {
            for id in &removable {
                self.remove(id);
            }
            self.hosts[number].removed.extend(removable);
        }
        for (id, _) in self.hosts[number].view.unresponsive(now) {
            self.probe(number, &id);
        }
    }

    fn round(&mut self) {
        for number in 0..HOSTS {
            if !self.hosts[number].is_frozen {
                self.sync_with_store(number);
                self.send_job(number);
                self.remove_unresponsive(number);
            }
        }
    }

    fn owners(&self) -> BTreeSet<InstanceId> {
        let hosts = self.hosts.iter();
        let owners = hosts.map(|host| host.view.owner(Cell::SINGLE, self.now).0.clone());
        owners.collect()
    }
}

fn run(seed: u64) {
    let mut random = Gen::from_size_and_seed(64, seed);
    let mut world = World::new();
    for _ in 0..STEPS {
        if pick(&mut random, 3) == 0 {
            world.inject_fault(&mut random);
        }
        world.now += Duration::from_millis(u64::try_from(pick(&mut random, 900)).unwrap());
        world.round();
    }

    for host in &mut world.hosts {
        host.is_frozen = false;
        host.is_disconnected = false;
        host.has_store = true;
    }
    for _ in 0..ROUNDS_WITHOUT_FAULTS {
        world.now += Duration::from_millis(300);
        world.round();
    }

    let owners = world.owners();
    assert_eq!(owners.len(), 1, "seed {seed}: {owners:?}");
    let incarnations: BTreeSet<_> = world.hosts.iter().map(|one| one.id.clone()).collect();
    assert!(
        owners.is_subset(&incarnations),
        "seed {seed}: {owners:?} is not running"
    );
}

/// Two gateways that both own the batches would send conflicting calls to the servers, and an
/// owner that no longer runs would delay every request.
#[test]
fn all_gateways_agree_on_one_live_owner_after_faults() {
    let configured = std::env::var("AMARANTH_RANDOM_SCHEDULES").ok();
    let runs = configured.and_then(|runs| runs.parse().ok());
    for seed in 0..runs.unwrap_or(DEFAULT_RUNS) {
        run(seed);
    }
}
