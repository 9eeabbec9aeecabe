//! Checks that the ids of a stream's events increase, also across engines.

/// By how much ids have risen so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Step {
    #[default]
    Unknown,
    Even(u64),
    Uneven,
}

/// Steps between the ids of a stream's events.
///
/// Ids increase, in whatever steps. Where an engine continues another one's stream, steps that have
/// been even so far also show a gap.
///
/// # Examples
///
/// ```
/// use amaranthscale::gateway::request::EventSteps;
///
/// let mut steps = EventSteps::default();
/// assert!(steps.follows(3, 6));
/// assert!(!steps.follows(6, 6));
/// assert!(steps.continues(6, 9));
/// assert!(!steps.continues(6, 12));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct EventSteps {
    step: Step,
}

impl EventSteps {
    /// Whether an event follows the last one of the same engine.
    pub fn follows(&mut self, last: u64, id: u64) -> bool {
        let Some(step) = step(last, id) else {
            return false;
        };
        self.step = match self.step {
            Step::Unknown => Step::Even(step),
            Step::Even(known) if known == step => self.step,
            Step::Even(_) | Step::Uneven => Step::Uneven,
        };
        true
    }

    /// Whether the first event of an engine continues the stream of another one without a gap, as
    /// far as that can be told.
    #[must_use]
    pub fn continues(&self, last: u64, id: u64) -> bool {
        step(last, id).is_some_and(|step| match self.step {
            Step::Even(known) => step == known,
            // A single event with the id 1 is the first one of a stream that counts its events.
            Step::Unknown => last > 1 || step == 1,
            Step::Uneven => true,
        })
    }

    /// Whether ids may be numbers of events, as far as that can be told.
    #[must_use]
    pub const fn may_count_events(&self) -> bool {
        matches!(self.step, Step::Unknown | Step::Even(1))
    }
}

fn step(last: u64, id: u64) -> Option<u64> {
    id.checked_sub(last).filter(|step| *step > 0)
}
