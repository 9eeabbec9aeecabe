//! Scenarios of a sidecar's queue.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{AttemptId, AttemptNumber, RequestId, StageIndex};
use amaranthscale_core::process::{FairQueue, FairQueueLimits, LoadMeter, QueuedAttempt};
use amaranthscale_core::unit::{Class, SidecarClock, Weight};

const START: SidecarClock = SidecarClock::from_millis(0);

fn attempt(number: u128) -> AttemptId {
    AttemptId {
        request: RequestId::from_random_bits(number),
        stage: StageIndex::new(0),
        number: AttemptNumber::new(0),
    }
}

fn item(number: u128, organisation: &str, class: Class) -> QueuedAttempt {
    QueuedAttempt {
        attempt: attempt(number),
        organisation: organisation.parse().unwrap(),
        class,
        weight: Weight::DEFAULT,
        expiry: SidecarClock::from_millis(100_000),
        expected_ms: 10,
    }
}

fn queue(slots: u32, capacity: usize, paid_reserve_slots: u32) -> FairQueue {
    FairQueue::new(FairQueueLimits {
        slots,
        capacity,
        paid_reserve_slots,
    })
}

fn drain(queue: &mut FairQueue) -> Vec<QueuedAttempt> {
    let mut order = Vec::new();
    while let Some(next) = queue.pop(START) {
        queue.release(next.attempt);
        order.push(next);
    }
    order
}

fn turns_of(organisation: &str, order: &[QueuedAttempt]) -> usize {
    order
        .iter()
        .filter(|item| item.organisation.as_str() == organisation)
        .count()
}

/// A surge of trials has filled the queue and every slot that trials may take. A paid attempt
/// arrives, takes the reserved slot, and a second one goes before all waiting trials.
#[test]
fn paid_goes_before_a_trial_surge() {
    let mut queue = queue(3, 10, 1);
    for number in 0..8 {
        queue
            .push(item(number, "trial", Class::Trial), START)
            .unwrap();
    }
    let first = queue.pop(START).unwrap();
    assert!(queue.pop(START).is_some());
    assert_eq!(
        queue.pop(START),
        None,
        "the reserve is out of reach for trials"
    );

    queue
        .push(item(100, "delta-basin", Class::Paid), START)
        .unwrap();
    queue
        .push(item(101, "delta-basin", Class::Paid), START)
        .unwrap();

    assert_eq!(queue.pop(START).unwrap().attempt, attempt(100));
    assert_eq!(queue.pop(START), None, "all slots are taken");
    queue.release(first.attempt);
    assert_eq!(queue.pop(START).unwrap().attempt, attempt(101));
    assert_eq!(queue.running(), 3);
}

/// A full queue of trials would refuse paid work although it goes first. The newest trial gives
/// way and comes out as displaced; another trial is refused and did not run.
#[test]
fn a_full_queue_displaces_trials_for_paid_work() {
    let mut queue = queue(0, 2, 0);
    queue.push(item(1, "trial", Class::Trial), START).unwrap();
    queue.push(item(2, "trial", Class::Trial), START).unwrap();

    let refusal = queue
        .push(item(3, "trial", Class::Trial), START)
        .unwrap_err();
    queue
        .push(item(4, "delta-basin", Class::Paid), START)
        .unwrap();
    queue
        .push(item(5, "delta-basin", Class::Paid), START)
        .unwrap();
    let paid_refusal = queue
        .push(item(6, "delta-basin", Class::Paid), START)
        .unwrap_err();

    assert_eq!(refusal.code, ResultCode::QueueFull);
    assert_eq!(paid_refusal.code, ResultCode::QueueFull);
    let displaced: Vec<_> = queue
        .take_displaced()
        .iter()
        .map(|item| item.attempt)
        .collect();
    assert_eq!(displaced, [attempt(2), attempt(1)]);
    assert_eq!(queue.len(Class::Paid), 2);
    assert_eq!(queue.len(Class::Trial), 0);
}

/// One paid organisation floods the queue before another sends a few. Both get half the turns,
/// and weight 3 gets three turns of four.
#[test]
fn organisations_share_by_weight() {
    let mut even = queue(1, 100, 0);
    let mut weighted = queue(1, 100, 0);
    for number in 0..40 {
        even.push(item(number, "flood", Class::Paid), START)
            .unwrap();
        weighted
            .push(item(number, "flood", Class::Paid), START)
            .unwrap();
    }
    for number in 100..110 {
        let few = item(number, "few", Class::Paid);
        even.push(few.clone(), START).unwrap();
        weighted
            .push(
                QueuedAttempt {
                    weight: Weight::new(3),
                    ..few
                },
                START,
            )
            .unwrap();
    }

    let even = turns_of("few", &drain(&mut even)[..20]);
    let weighted = turns_of("few", &drain(&mut weighted)[..12]);

    assert!((9..=10).contains(&even), "{even} of 20 turns");
    assert!((8..=10).contains(&weighted), "{weighted} of 12 turns");
}

/// An organisation that was idle for long comes back. It gets its share from now on, not the
/// share that it did not use.
#[test]
fn idle_time_earns_no_credit() {
    let mut queue = queue(1, 100, 0);
    for number in 0..30 {
        queue
            .push(item(number, "busy", Class::Paid), START)
            .unwrap();
    }
    for _ in 0..20 {
        let next = queue.pop(START).unwrap();
        queue.release(next.attempt);
    }
    for number in 100..110 {
        queue
            .push(item(number, "back", Class::Paid), START)
            .unwrap();
    }

    let back = turns_of("back", &drain(&mut queue)[..10]);

    assert!((4..=6).contains(&back), "{back} of 10 turns");
}

/// Work that can no longer end in time never takes a slot: it comes out as expired, once.
#[test]
fn late_work_is_set_aside() {
    let mut queue = queue(1, 10, 0);
    let late = item(1, "delta-basin", Class::Paid);
    queue
        .push(
            QueuedAttempt {
                expiry: SidecarClock::from_millis(50),
                ..late
            },
            START,
        )
        .unwrap();
    queue
        .push(item(2, "delta-basin", Class::Paid), START)
        .unwrap();
    let now = SidecarClock::from_millis(41);

    let popped = queue.pop(now).unwrap();

    assert_eq!(popped.attempt, attempt(2));
    assert_eq!(queue.expired(now).len(), 1);
    assert!(queue.expired(now).is_empty());
}

/// A revoked attempt is taken out for good, and one that is known cannot be queued twice.
#[test]
fn revoked_work_never_runs() {
    let mut queue = queue(1, 10, 0);
    queue
        .push(item(1, "delta-basin", Class::Paid), START)
        .unwrap();
    let doubled = queue
        .push(item(1, "delta-basin", Class::Paid), START)
        .unwrap_err();

    let is_removed = queue.remove(&attempt(1));

    assert_eq!(doubled.code, ResultCode::DuplicateAttempt);
    assert!(is_removed);
    assert!(!queue.remove(&attempt(1)));
    assert_eq!(queue.pop(START), None);
}

/// A server was frozen for eight seconds, so its last samples are far above any deadline. Its
/// queue would refuse all work, and without work there is no new sample. The expected time must
/// fade, so that a server that is well again takes work again.
#[test]
fn an_old_measurement_does_not_shut_a_server() {
    let mut meter = LoadMeter::default();
    for _ in 0..10 {
        meter.record_service(8_000, START);
    }

    let at_once = meter.expected_ms(SidecarClock::from_millis(10));
    let later = meter.expected_ms(SidecarClock::from_millis(7_000));

    assert_eq!(at_once, 8_000);
    assert!(later <= 500, "{later} ms");
}

/// A server has become so slow that entries cancel nearly all it runs. Only the few quick ones
/// end and are measured; the cancelled ones must count too, or the slowness stays unseen.
#[test]
fn cancelled_work_shows_slowness() {
    let mut meter = LoadMeter::default();
    meter.record_service(800, START);

    for _ in 0..30 {
        meter.record_cancelled(4_000, START);
        meter.record_cancelled(100, START);
    }

    assert!(
        meter.expected_ms(START) >= 3_500,
        "{}",
        meter.expected_ms(START)
    );
}

/// A server has thawed and is idle, but still believes that all work takes eight seconds. With a
/// free slot it takes work all the same, and so finds out; what would have to wait is refused.
#[test]
fn an_idle_server_does_not_refuse_on_a_belief() {
    let mut queue = queue(1, 10, 0);
    let believed = |number| QueuedAttempt {
        expected_ms: 8_000,
        expiry: SidecarClock::from_millis(4_000),
        ..item(number, "delta-basin", Class::Paid)
    };

    let with_slot = queue.push(believed(1), START);
    let started = queue.pop(START);
    let without_slot = queue.push(believed(2), START);
    let expired = queue.push(believed(3), SidecarClock::from_millis(4_000));

    assert_eq!(with_slot, Ok(()));
    assert!(started.is_some());
    assert_eq!(
        without_slot.unwrap_err().code,
        ResultCode::DeadlineUnreachable
    );
    assert_eq!(expired.unwrap_err().code, ResultCode::DeadlineUnreachable);
}
