//! Uses one component of the core, the fair queue, without a daemon.
//!
//! A paid and a trial organisation send work to a server with two slots, one of them reserved for
//! paid work. The program prints the order in which the queue starts the attempts.

use std::error::Error;

use amaranthscale_core::id::{AttemptId, AttemptNumber, RequestId, StageIndex};
use amaranthscale_core::process::{FairQueue, FairQueueLimits, QueuedAttempt};
use amaranthscale_core::unit::{Class, SidecarClock, Weight};

fn main() -> Result<(), Box<dyn Error>> {
    let limits = FairQueueLimits {
        slots: 2,
        capacity: 16,
        paid_reserve_slots: 1,
    };
    let mut queue = FairQueue::new(limits);
    let now = SidecarClock::from_millis(0);
    for number in 0..3 {
        let trial = attempt(number, "driver-trial", Class::Trial)?;
        queue
            .push(trial, now)
            .map_err(|refusal| refusal.code.to_string())?;
    }
    let paid = attempt(3, "north-intake", Class::Paid)?;
    queue
        .push(paid, now)
        .map_err(|refusal| refusal.code.to_string())?;

    let mut time_ms = 0;
    while let Some(started) = queue.pop(SidecarClock::from_millis(time_ms)) {
        println!(
            "{time_ms} ms: {} starts ({})",
            started.organisation, started.class
        );
        queue.release(started.attempt);
        time_ms += 10;
    }
    Ok(())
}

fn attempt(
    number: u128,
    organisation: &str,
    class: Class,
) -> Result<QueuedAttempt, Box<dyn Error>> {
    Ok(QueuedAttempt {
        attempt: AttemptId {
            request: RequestId::from_random_bits(number),
            stage: StageIndex::new(0),
            number: AttemptNumber::new(0),
        },
        organisation: organisation.parse()?,
        class,
        weight: Weight::DEFAULT,
        expiry: SidecarClock::from_millis(1000),
        expected_ms: 10,
    })
}
