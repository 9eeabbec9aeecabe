//! The planner's lease, the placement that it protects, and the orders to engines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranthscale_core::id::{
    FencingNumber, HostId, Incarnation, ModelId, PlacementVersion, RowVersion, TreeVersion, WriteId,
};
use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::version::{
    Assignment, ConditionalWrite, EngineOrders, LEASE_KEY, PLACEMENT_HEAD_KEY, PLACEMENT_KEY,
    Placement, PlacementUpdate, PlannerLease, WriteEvent, WriteStep, placement_write,
    read_placement_head,
};
use amaranthscale_core::wire::{Row, Transaction, TransactionReply};
use quickcheck::{Arbitrary as _, Gen};

const LEASE: Duration = Duration::from_millis(90);
const RETRY: Duration = Duration::from_millis(20);
const TREE: TreeVersion = TreeVersion::new(1);
const SCHEDULES: u64 = 2_000;
const STEPS: usize = 200;

#[derive(Default)]
struct Table(BTreeMap<String, Row>);

impl Table {
    fn row(&self, key: &str) -> Row {
        self.0.get(key).cloned().unwrap_or_else(|| Row {
            key: key.to_owned(),
            version: RowVersion::default(),
            value: String::new(),
        })
    }

    fn commit(&mut self, transaction: &Transaction) -> TransactionReply {
        let checks = &transaction.checks;
        if checks
            .iter()
            .any(|check| self.row(&check.key).version != check.version)
        {
            return TransactionReply::Conflict(checks.iter().map(|c| self.row(&c.key)).collect());
        }
        let mut rows = Vec::new();
        for write in &transaction.writes {
            let version = self.row(&write.key).version.next();
            let row = Row {
                key: write.key.clone(),
                version,
                value: write.value.clone(),
            };
            self.0.insert(write.key.clone(), row.clone());
            rows.push(row);
        }
        TransactionReply::Committed(rows)
    }
}

fn millis(reading_ms: u64) -> SidecarClock {
    SidecarClock::from_millis(reading_ms)
}

fn host(number: usize) -> HostId {
    HostId::new(format!("host-{number}")).expect("the name is well formed")
}

fn write_id(number: u64) -> WriteId {
    WriteId::new(format!("w-{number}")).expect("the name is well formed")
}

fn planner(number: usize) -> PlannerLease {
    PlannerLease::new(host(number), Incarnation::new(1), LEASE)
}

fn plan(model: &str) -> BTreeMap<HostId, Assignment> {
    let model = ModelId::new(model).expect("the name is well formed");
    let models = BTreeSet::from([model]);
    BTreeMap::from([(
        host(0),
        Assignment {
            models,
            ..Assignment::default()
        },
    )])
}

/// Reads the lease row and writes it if a write is due; returns whether the write was committed.
fn renew_or_take_over(
    planner: &mut PlannerLease,
    table: &mut Table,
    now: SidecarClock,
    id: u64,
) -> bool {
    planner.observe(&table.row(LEASE_KEY), now);
    let Some(write) = planner.next_write(now, write_id(id)) else {
        return false;
    };
    let is_committed = matches!(
        table.commit(&write.transaction()),
        TransactionReply::Committed(_)
    );
    planner.observe(&table.row(LEASE_KEY), now);
    is_committed
}

fn commit_once(mut write: ConditionalWrite, table: &mut Table) -> WriteStep {
    let reply = table.commit(&write.transaction());
    write.next(WriteEvent::Replied(reply))
}

/// A placement row at a version.
fn placement(version: u64, model: &str) -> Row {
    let body = serde_json::to_string(&Placement {
        fencing: FencingNumber::new(1),
        tree_version: TREE,
        assignments: plan(model),
    });
    let before = RowVersion::new(version - 1);
    let body = body.expect("a placement has a form in JSON");
    let write = ConditionalWrite::new(PLACEMENT_KEY, before, body, write_id(version));
    let value = write.transaction().writes.remove(0).value;
    Row {
        key: PLACEMENT_KEY.to_owned(),
        version: RowVersion::new(version),
        value,
    }
}

#[test]
fn a_lease_is_renewed_by_its_holder_and_taken_over_after_expiry() {
    let mut table = Table::default();
    let (mut first, mut second) = (planner(1), planner(2));
    assert!(renew_or_take_over(&mut first, &mut table, millis(0), 1));

    assert!(!renew_or_take_over(&mut second, &mut table, millis(10), 2));
    assert!(renew_or_take_over(&mut first, &mut table, millis(40), 3));
    assert!(
        !renew_or_take_over(&mut second, &mut table, millis(105), 4),
        "the row has changed since"
    );
    assert!(renew_or_take_over(&mut second, &mut table, millis(195), 5));

    let fencing = |planner: &PlannerLease, now| planner.held(millis(now)).map(|l| l.fencing.get());
    assert_eq!(fencing(&second, 200), Some(3));
    assert_eq!(fencing(&first, 100), Some(1));
    assert_eq!(fencing(&first, 200), None);
}

#[test]
fn a_paused_planner_cannot_write() {
    // A planner reads both rows and is paused past the expiry of its lease, another takes over, and
    // the first resumes and writes its outdated plan.
    let mut table = Table::default();
    let (mut paused, mut successor) = (planner(1), planner(2));
    renew_or_take_over(&mut paused, &mut table, millis(0), 1);
    let lease = paused.held(millis(1)).expect("the lease is new");
    let read = table.row(PLACEMENT_KEY);

    renew_or_take_over(&mut successor, &mut table, millis(10), 2);
    renew_or_take_over(&mut successor, &mut table, millis(110), 3);
    let step = commit_once(
        placement_write(&lease, &read, TREE, plan("old"), write_id(4)),
        &mut table,
    );

    assert!(matches!(step, WriteStep::LostTo { row } if row.key == LEASE_KEY));
    assert_eq!(table.row(PLACEMENT_KEY).version, RowVersion::default());
}

#[test]
fn the_head_row_changes_with_every_placement_only() {
    // Sidecars poll the head row, and read the placement only when the head has changed. A
    // placement written without its head would never be read, and engines would keep their old
    // models.
    let mut table = Table::default();
    let mut holder = planner(1);
    renew_or_take_over(&mut holder, &mut table, millis(0), 1);
    let lease = holder.held(millis(1)).expect("the lease is new");

    for number in 1..=3 {
        let read = table.row(PLACEMENT_KEY);
        let write = placement_write(&lease, &read, TREE, plan("new"), write_id(10 + number));
        commit_once(write, &mut table);
        let late = placement_write(&lease, &read, TREE, plan("late"), write_id(20 + number));
        commit_once(late, &mut table);

        let head = read_placement_head(&table.row(PLACEMENT_HEAD_KEY));
        assert_eq!(head, Some(PlacementVersion::new(number)));
        assert_eq!(table.row(PLACEMENT_KEY).version, RowVersion::new(number));
    }
}

#[test]
fn without_the_lease_check_a_paused_planner_could_write() {
    // The same scenario without the check of the lease, to show that the check is what prevents it.
    let mut table = Table::default();
    let (mut paused, mut successor) = (planner(1), planner(2));
    renew_or_take_over(&mut paused, &mut table, millis(0), 1);
    let lease = paused.held(millis(1)).expect("the lease is new");
    let read = table.row(PLACEMENT_KEY);

    renew_or_take_over(&mut successor, &mut table, millis(10), 2);
    renew_or_take_over(&mut successor, &mut table, millis(110), 3);
    let mut bare = placement_write(&lease, &read, TREE, plan("old"), write_id(4)).transaction();
    bare.checks.retain(|check| check.key != LEASE_KEY);

    assert!(matches!(
        table.commit(&bare),
        TransactionReply::Committed(_)
    ));
}

#[test]
fn an_older_placement_is_not_applied() {
    // Two replies of the table arrive out of order. If the sidecar applied the older one last, the
    // engine would unload the model it has just loaded.
    let mut orders = EngineOrders::new(host(0), RETRY);
    assert_eq!(
        orders.observe(&placement(5, "new")),
        PlacementUpdate::Applied
    );
    let order = orders.next(millis(0)).expect("an order is due");
    orders.confirmed(order.number);

    let update = orders.observe(&placement(4, "old"));

    assert_eq!(update, PlacementUpdate::NotNewer);
    assert_eq!(orders.next(millis(1)), None);
}

#[test]
fn no_order_is_sent_before_the_placement_is_read() {
    let mut orders = EngineOrders::new(host(0), RETRY);
    assert_eq!(orders.next(millis(1)), None);

    orders.observe(&placement(2, "m"));

    let order = orders.next(millis(2)).expect("an order is due");
    assert_eq!(order.number, PlacementVersion::new(2));
    assert!(!order.replaces_unanswered);
}

#[test]
fn one_order_is_in_flight_and_an_unanswered_one_is_replaced() {
    // An engine that gets the next order while it is slow with one may carry them out in the wrong
    // sequence and end with the older placement.
    let mut orders = EngineOrders::new(host(0), RETRY);
    orders.observe(&placement(1, "old"));
    let first = orders.next(millis(0)).expect("an order is due");
    orders.observe(&placement(2, "new"));

    assert_eq!(orders.next(millis(19)), None);
    let second = orders
        .next(millis(20))
        .expect("an order is due after the timeout");

    assert!(second.replaces_unanswered);
    assert_eq!(second.number, PlacementVersion::new(2));
    orders.confirmed(first.number);
    assert_eq!(
        orders.next(millis(30)),
        None,
        "the late answer is to the replaced order"
    );
    orders.confirmed(second.number);
    assert_eq!(orders.next(millis(90)), None);
}

#[test]
fn a_refused_order_is_repeated_after_a_delay() {
    let mut orders = EngineOrders::new(host(0), RETRY);
    orders.observe(&placement(1, "m"));
    let order = orders.next(millis(0)).expect("an order is due");

    orders.refused(order.number, millis(1));

    assert_eq!(orders.next(millis(20)), None);
    assert!(orders.next(millis(21)).is_some());
}

#[test]
fn a_restarted_engine_is_ordered_again() {
    // An engine restarts on its own and runs nothing, while the sidecar has recorded its order as
    // carried out. Without a new order, requests for its model would fail.
    let mut orders = EngineOrders::new(host(0), RETRY);
    orders.observe(&placement(1, "m"));
    let order = orders.next(millis(0)).expect("an order is due");
    orders.confirmed(order.number);

    orders.observe_running(Assignment::default());

    assert!(orders.next(millis(1)).is_some());
}

/// One random run: planners take the lease and plan, and a sidecar reads placements out of order.
fn run(seed: u64) -> (u64, u64) {
    let mut random = Gen::from_size_and_seed(10, seed);
    let mut table = Table::default();
    let mut planners = [planner(1), planner(2)];
    let mut late: Vec<Transaction> = Vec::new();
    let mut reads = vec![table.row(PLACEMENT_KEY)];
    let mut orders = EngineOrders::new(host(0), RETRY);
    let (mut now, mut last_ordered, mut last_fencing) = (millis(0), 0, 0);
    for step in 0..STEPS {
        now = now.plus(Duration::from_millis(u64::arbitrary(&mut random) % 12));
        let id = u64::try_from(step).expect("steps are few") * 2;
        let pick = usize::arbitrary(&mut random);
        let planner = &mut planners[pick % 2];
        match u8::arbitrary(&mut random) % 6 {
            0 | 1 => {
                renew_or_take_over(planner, &mut table, now, id);
            }
            2 => {
                // A paused planner uses the lease it last read, so the clock is not checked.
                let outdated_lease = planner.held(SidecarClock::default());
                let read = table.row(PLACEMENT_KEY);
                let assignments = plan(&format!("m-{step}"));
                let write =
                    |lease| placement_write(&lease, &read, TREE, assignments, write_id(id + 1));
                late.extend(outdated_lease.map(|lease| write(lease).transaction()));
            }
            3 if !late.is_empty() => {
                table.commit(&late[pick % late.len()].clone());
                reads.push(table.row(PLACEMENT_KEY));
            }
            4 => {
                orders.observe(&reads[pick % reads.len()].clone());
            }
            _ => {
                if let Some(order) = orders.next(now) {
                    let number = order.number.get();
                    assert!(
                        number >= last_ordered,
                        "seed {seed}: {number} after {last_ordered}"
                    );
                    last_ordered = number;
                    if pick % 3 > 0 {
                        orders.confirmed(order.number);
                    }
                }
            }
        }
        let fencing = Placement::parse(&table.row(PLACEMENT_KEY)).map_or(0, |p| p.fencing.get());
        assert!(
            fencing >= last_fencing,
            "seed {seed}: fencing {fencing} after {last_fencing}"
        );
        last_fencing = fencing;
    }
    (last_fencing, last_ordered)
}

#[test]
fn fencing_numbers_and_orders_never_decrease() {
    let (mut takeovers, mut orders) = (0, 0);
    for seed in 0..SCHEDULES {
        let (fencing, ordered) = run(seed);
        takeovers += u64::from(fencing > 1);
        orders += ordered;
    }
    println!("{SCHEDULES} schedules of {STEPS} steps: {takeovers} with plans after a takeover");
    assert!(takeovers > 0 && orders > 0);
}
