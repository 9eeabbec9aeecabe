//! A sidecar's fair queue and load meter.

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

fn starts_of(organisation: &str, order: &[QueuedAttempt]) -> usize {
    order
        .iter()
        .filter(|item| item.organisation.as_str() == organisation)
        .count()
}

/// Trial attempts have filled the queue and all slots that they may use. A paid attempt gets the
/// reserved slot, and a second one starts before all queued trial attempts.
#[test]
fn paid_work_starts_before_queued_trial_work() {
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
        "trial work cannot use the reserved slot"
    );

    queue
        .push(item(100, "delta-basin", Class::Paid), START)
        .unwrap();
    queue
        .push(item(101, "delta-basin", Class::Paid), START)
        .unwrap();

    assert_eq!(queue.pop(START).unwrap().attempt, attempt(100));
    assert_eq!(queue.pop(START), None, "all slots are in use");
    queue.release(first.attempt);
    assert_eq!(queue.pop(START).unwrap().attempt, attempt(101));
    assert_eq!(queue.running(), 3);
}

/// A queue full of trial attempts would refuse paid work. Instead, the newest trial attempt is
/// displaced; another trial attempt is refused.
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

/// One paid organisation fills the queue before another sends a few attempts. Both get half the
/// starts, and an organisation of weight 3 gets three of four.
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

    let even = starts_of("few", &drain(&mut even)[..20]);
    let weighted = starts_of("few", &drain(&mut weighted)[..12]);

    assert!((9..=10).contains(&even), "{even} of 20 starts");
    assert!((8..=10).contains(&weighted), "{weighted} of 12 starts");
}

/// An organisation that was idle gets its share from now on, not the share that it did not use.
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

    let back = starts_of("back", &drain(&mut queue)[..10]);

    assert!((4..=6).contains(&back), "{back} of 10 starts");
}

/// An attempt that can no longer end in time never starts; it is returned as expired, once.
#[test]
fn work_that_cannot_end_in_time_expires_in_the_queue() {
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

/// A revoked attempt leaves the queue, and an attempt cannot be queued twice.
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

/// A server was frozen for eight seconds, so its last samples are far above any deadline. Its queue
/// would refuse all work, and without work there are no new samples. The expected time must decay,
/// so that a recovered server accepts work again.
#[test]
fn an_old_measurement_does_not_block_a_recovered_server() {
    let mut meter = LoadMeter::default();
    for _ in 0..10 {
        meter.record_service(8_000, START);
    }

    let at_once = meter.expected_ms(SidecarClock::from_millis(10));
    let later = meter.expected_ms(SidecarClock::from_millis(7_000));

    assert_eq!(at_once, 8_000);
    assert!(later <= 500, "{later} ms");
}

/// A server has become so slow that entries cancel nearly all of its attempts. If only the few
/// quick ones that end were measured, the slowness would not show, so cancelled ones count too.
#[test]
fn cancelled_attempts_count_in_the_expected_time() {
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

/// A server was frozen and is idle again, but its expected time is still eight seconds. With a free
/// slot it accepts work anyway, and so measures anew; work that would have to wait is refused.
#[test]
fn an_idle_server_accepts_work_despite_a_long_expected_time() {
    let mut queue = queue(1, 10, 0);
    let slow_item = |number| QueuedAttempt {
        expected_ms: 8_000,
        expiry: SidecarClock::from_millis(4_000),
        ..item(number, "delta-basin", Class::Paid)
    };

    let with_slot = queue.push(slow_item(1), START);
    let started = queue.pop(START);
    let without_slot = queue.push(slow_item(2), START);
    let expired = queue.push(slow_item(3), SidecarClock::from_millis(4_000));

    assert_eq!(with_slot, Ok(()));
    assert!(started.is_some());
    assert_eq!(
        without_slot.unwrap_err().code,
        ResultCode::DeadlineUnreachable
    );
    assert_eq!(expired.unwrap_err().code, ResultCode::DeadlineUnreachable);
}
