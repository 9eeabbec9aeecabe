//! Random runs of gateways that agree on an owner through a store, with everything that can happen.
//!
//! Gateways are killed, frozen, cut off from each other and from the store, in any order. What must
//! hold in every run: once all is well again, all gateways name the same owner within seconds, it
//! lives, and it names itself.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranthscale_core::id::{InstanceId, RowVersion};
use amaranthscale_core::process::{Announcement, Cell, InstanceView};
use quickcheck::{Arbitrary, Gen};

/// Runs in CI; `AMARANTH_RANDOM_SCHEDULES` asks for more.
const USUAL_RUNS: u64 = 300;
const MACHINES: usize = 4;
/// Steps with troubles in one run.
const STEPS: usize = 120;
/// Rounds of 300 ms after the last trouble: past the time after which the silent are forgotten.
const CALM_ROUNDS: usize = 80;

fn pick(random: &mut Gen, choices: usize) -> usize {
    usize::arbitrary(random) % choices
}

/// One machine and the life of a gateway on it.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each trouble comes and goes by itself"
)]
struct Machine {
    id: InstanceId,
    announcement: Announcement,
    view: InstanceView,
    lives: usize,
    /// Entries of the store's log that it has taken; none before the whole list is read.
    read: Option<usize>,
    is_announced: bool,
    is_frozen: bool,
    is_cut_off: bool,
    has_store: bool,
    removed: BTreeSet<InstanceId>,
}

type Change = (InstanceId, Option<(Announcement, RowVersion)>);

struct World {
    now: Duration,
    machines: Vec<Machine>,
    rows: BTreeMap<InstanceId, (Announcement, RowVersion)>,
    /// What changed, in order; none for an announcement that is gone.
    log: Vec<Change>,
}

impl Machine {
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
            lives: 0,
            read: None,
            is_announced: false,
            is_frozen: false,
            is_cut_off: false,
            has_store: true,
            removed: BTreeSet::new(),
        }
    }

    fn start_anew(&mut self, number: usize) {
        self.lives += 1;
        self.id = format!("m{number}-{}", self.lives).parse().unwrap();
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
            machines: (0..MACHINES).map(Machine::new).collect(),
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

    fn break_something(&mut self, random: &mut Gen) {
        let number = pick(random, MACHINES);
        let machine = &mut self.machines[number];
        match pick(random, 8) {
            0 => machine.start_anew(number),
            1 => machine.is_frozen = true,
            2 => machine.is_frozen = false,
            3 => machine.is_cut_off = true,
            4 => machine.is_cut_off = false,
            5 => machine.has_store = false,
            // The store's history is gone, and the whole list is read again.
            6 => machine.read = None,
            _ => machine.has_store = true,
        }
    }

    /// Announces a gateway and takes what the store tells.
    fn follow(&mut self, number: usize) {
        if !self.machines[number].has_store {
            return;
        }
        if !self.machines[number].is_announced {
            self.machines[number].is_announced = true;
            let (id, announcement) = (
                self.machines[number].id.clone(),
                self.machines[number].announcement.clone(),
            );
            self.put(&id, announcement);
        }
        if self.machines[number].read.is_none() {
            self.read_all(number);
        }
        while let Some((id, row)) = self.next_entry(number) {
            let machine = &mut self.machines[number];
            let own = machine.id.clone();
            if let Some((announcement, since)) = row {
                let is_same_address = announcement.address == machine.announcement.address;
                machine.view.announced(id.clone(), announcement, since);
                if is_same_address && id != own {
                    self.remove(&id);
                }
            } else {
                machine.view.withdrawn(&id);
                if id == own && !self.rows.contains_key(&own) {
                    let announcement = machine.announcement.clone();
                    self.put(&own, announcement);
                }
            }
        }
    }

    /// Reads the whole list, in the order of names.
    fn read_all(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        let ids: Vec<_> = self.rows.keys().cloned().collect();
        machine.view.retain_listed(&ids);
        let is_own_gone = !ids.contains(&machine.id);
        let mut earlier_lives = Vec::new();
        for (id, (announcement, since)) in &self.rows {
            if announcement.address == machine.announcement.address && *id != machine.id {
                earlier_lives.push(id.clone());
            }
            machine
                .view
                .announced(id.clone(), announcement.clone(), *since);
        }
        machine.read = Some(self.log.len());
        for id in earlier_lives {
            self.remove(&id);
        }
        if is_own_gone {
            let (id, announcement) = (
                self.machines[number].id.clone(),
                self.machines[number].announcement.clone(),
            );
            self.put(&id, announcement);
        }
    }

    fn next_entry(&mut self, number: usize) -> Option<Change> {
        let read = self.machines[number].read.as_mut()?;
        let entry = self.log.get(*read).cloned()?;
        *read += 1;
        Some(entry)
    }

    /// Whether a gateway gets an answer from a life at its address.
    fn reaches(&self, from: usize, id: &InstanceId) -> bool {
        let to = self.machines.iter().position(|machine| machine.id == *id);
        to.is_some_and(|to| {
            let is_cut = self.machines[from].is_cut_off || self.machines[to].is_cut_off;
            !is_cut && !self.machines[to].is_frozen
        })
    }

    /// Gives a job to the owner, and the next one as long as the owner is silent.
    fn ask(&mut self, number: usize) {
        for _ in 0..MACHINES {
            let owner = self.machines[number].view.owner(Cell::SINGLE, self.now);
            let owner = owner.0.clone();
            if owner == self.machines[number].id {
                return;
            }
            self.question(number, &owner);
        }
    }

    fn question(&mut self, number: usize, id: &InstanceId) {
        let is_reached = self.reaches(number, id);
        let now = self.now;
        let view = &mut self.machines[number].view;
        if is_reached {
            view.mark_responsive(id);
        } else {
            view.mark_unresponsive(id, now);
        }
    }

    /// Has the silent ones before an owner removed, asks all silent ones, forgets the long silent.
    fn tend(&mut self, number: usize) {
        let now = self.now;
        let machine = &self.machines[number];
        let others = machine.view.live_others(now);
        let reaches_another =
            others.is_empty() || others.iter().any(|(id, _)| self.reaches(number, id));
        let mut gone = machine.view.expired(now);
        if reaches_another {
            let displaced = machine.view.displaced(now).into_iter();
            gone.extend(displaced.filter(|id| !machine.removed.contains(id)));
        }
        if machine.has_store {
            for id in &gone {
                self.remove(id);
            }
            self.machines[number].removed.extend(gone);
        }
        for (id, _) in self.machines[number].view.unresponsive(now) {
            self.question(number, &id);
        }
    }

    fn round(&mut self) {
        for number in 0..MACHINES {
            if !self.machines[number].is_frozen {
                self.follow(number);
                self.ask(number);
                self.tend(number);
            }
        }
    }

    fn owners(&self) -> BTreeSet<InstanceId> {
        let machines = self.machines.iter();
        let owners = machines.map(|machine| machine.view.owner(Cell::SINGLE, self.now).0.clone());
        owners.collect()
    }
}

fn run(seed: u64) {
    let mut random = Gen::from_size_and_seed(64, seed);
    let mut world = World::new();
    for _ in 0..STEPS {
        if pick(&mut random, 3) == 0 {
            world.break_something(&mut random);
        }
        world.now += Duration::from_millis(u64::try_from(pick(&mut random, 900)).unwrap());
        world.round();
    }

    for machine in &mut world.machines {
        machine.is_frozen = false;
        machine.is_cut_off = false;
        machine.has_store = true;
    }
    for _ in 0..CALM_ROUNDS {
        world.now += Duration::from_millis(300);
        world.round();
    }

    let owners = world.owners();
    assert_eq!(owners.len(), 1, "seed {seed}: {owners:?}");
    let lives: BTreeSet<_> = world.machines.iter().map(|one| one.id.clone()).collect();
    assert!(owners.is_subset(&lives), "seed {seed}: {owners:?} is gone");
}

/// Two gateways that own the batches for good would send calls that meet at the servers, and an
/// owner that is gone would hold up every request.
#[test]
fn all_gateways_name_one_living_owner_once_all_is_well() {
    let asked = std::env::var("AMARANTH_RANDOM_SCHEDULES").ok();
    let runs = asked.and_then(|runs| runs.parse().ok());
    for seed in 0..runs.unwrap_or(USUAL_RUNS) {
        run(seed);
    }
}
