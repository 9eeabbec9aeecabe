//! The specification of lease, placement and engine orders.
//!
//! Two planners, one lease row, one placement row, and one sidecar that restarts and whose engine
//! ignores fencing numbers. A planner may be paused between any two steps. Writes may take effect
//! late and any number of times; replies of the table may arrive out of order. An order may be
//! carried out late, unless its connection was closed first.

use std::fmt;

use crate::search::Specification;

pub const OUTDATED_PLAN: &str = "a planner that had lost the lease wrote the placement";
pub const WENT_BACK: &str = "the engine was ordered back to an older placement";

const PLANNERS: usize = 2;
/// Highest version of the placement and of the lease in a search.
const MAX_VERSION: u8 = 3;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Guard {
    /// The placement is written in a transaction that checks the lease row.
    LeaseCheck,
    /// The placement is written over the version that its planner has read.
    PlacementVersion,
    /// A sidecar applies only higher versions of the placement.
    NewerOnly,
    /// A restarted sidecar reads the placement before its first order.
    ReadFirst,
    /// The next order is sent after the previous one was answered or its connection was closed.
    OneAtATime,
}

#[derive(Debug)]
pub struct Spec {
    pub disabled: Option<Guard>,
    pub restarts: u8,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Planner {
    /// Version of the lease row with which it holds the lease, as far as it knows; 0 for none.
    lease: u8,
    /// Version of the placement that it has read.
    placement: u8,
    /// Plan sent to the table: the lease and placement versions that it checks.
    sent: Option<(u8, u8)>,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct State {
    /// Version and holder of the lease row.
    lease: (u8, u8),
    /// Version of the placement row.
    placement: u8,
    is_outdated_plan: bool,
    planners: [Planner; PLANNERS],
    /// Replies with the placement in flight to the sidecar, one bit per version.
    reads: u8,
    view: u8,
    is_read: bool,
    /// Orders in flight to the engine, one bit per version.
    orders: u8,
    /// Order that the sidecar waits for; 0 for none.
    awaited: u8,
    /// Order that the engine has carried out.
    engine: u8,
    went_back: bool,
    restarts: u8,
}

#[derive(Clone, Copy, Debug)]
pub struct Action(&'static str, usize);

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.0, self.1)
    }
}

type Transitions = Vec<(Action, State)>;

impl Specification for Spec {
    type State = State;
    type Action = Action;

    const RULES: &'static [&'static str] = &[OUTDATED_PLAN, WENT_BACK];

    fn start(&self) -> State {
        State::default()
    }

    fn transitions(&self, state: &State) -> Transitions {
        let mut transitions = Vec::new();
        for planner in 0..PLANNERS {
            self.planner_transitions(state, planner, &mut transitions);
        }
        self.sidecar_transitions(state, &mut transitions);
        engine_transitions(state, &mut transitions);
        transitions
    }

    fn violates(&self, state: &State, rule: &'static str) -> bool {
        match rule {
            OUTDATED_PLAN => state.is_outdated_plan,
            WENT_BACK => state.went_back,
            _ => panic!("no such rule: {rule}"),
        }
    }
}

impl Spec {
    fn is_enabled(&self, guard: Guard) -> bool {
        self.disabled != Some(guard)
    }

    fn planner_transitions(&self, state: &State, number: usize, transitions: &mut Transitions) {
        let planner = state.planners[number];
        // The lease expires by the other planner's clock, even if the holder is only slow.
        if state.lease.0 < MAX_VERSION {
            let mut next = *state;
            next.lease = (state.lease.0 + 1, u8::from(number > 0));
            next.planners[number].lease = next.lease.0;
            transitions.push((Action("planner takes or renews the lease", number), next));
        }
        if planner.placement != state.placement {
            let mut next = *state;
            next.planners[number].placement = state.placement;
            transitions.push((Action("planner reads the placement", number), next));
        }
        if planner.lease > 0 && planner.sent != Some((planner.lease, planner.placement)) {
            let mut next = *state;
            next.planners[number].sent = Some((planner.lease, planner.placement));
            transitions.push((Action("planner sends its plan", number), next));
        }
        self.table_transitions(state, number, transitions);
    }

    fn table_transitions(&self, state: &State, number: usize, transitions: &mut Transitions) {
        let Some((lease, placement)) = state.planners[number].sent else {
            return;
        };
        let is_leased = !self.is_enabled(Guard::LeaseCheck) || lease == state.lease.0;
        let is_current = !self.is_enabled(Guard::PlacementVersion) || placement == state.placement;
        if !is_leased || !is_current || state.placement == MAX_VERSION {
            return;
        }
        let mut next = *state;
        next.placement += 1;
        let is_holder = usize::from(state.lease.1) == number;
        let is_overwritten = placement != state.placement;
        next.is_outdated_plan |= !is_holder || is_overwritten;
        transitions.push((Action("plan takes effect, of planner", number), next));
    }

    fn sidecar_transitions(&self, state: &State, transitions: &mut Transitions) {
        let mut next = *state;
        next.reads |= 1 << state.placement;
        transitions.push((Action("sidecar requests the placement", 0), next));
        for version in bits(state.reads) {
            let mut next = *state;
            next.is_read = true;
            if version >= state.view || !self.is_enabled(Guard::NewerOnly) {
                next.view = version;
            }
            transitions.push((
                Action("sidecar reads placement", usize::from(version)),
                next,
            ));
        }
        self.order(state, transitions);
        if state.restarts < self.restarts {
            let mut next = *state;
            next.restarts += 1;
            next.view = 0;
            next.is_read = false;
            next.awaited = 0;
            // Its connections and the replies in flight end with the process.
            next.orders = 0;
            next.reads = 0;
            transitions.push((Action("sidecar restarts", 0), next));
        }
    }

    fn order(&self, state: &State, transitions: &mut Transitions) {
        // Without the guard it orders the initial configuration: the first placement.
        let wanted = if !self.is_enabled(Guard::ReadFirst) && !state.is_read {
            1
        } else {
            state.view
        };
        let may_order = state.is_read || !self.is_enabled(Guard::ReadFirst);
        if !may_order || wanted == 0 || state.placement == 0 {
            return;
        }
        let mut next = *state;
        if state.awaited > 0 && self.is_enabled(Guard::OneAtATime) {
            // The order was not answered: its connection is closed, which drops the orders on it.
            next.orders = 0;
        }
        next.orders |= 1 << wanted;
        next.awaited = wanted;
        transitions.push((
            Action("sidecar orders placement", usize::from(wanted)),
            next,
        ));
    }
}

fn engine_transitions(state: &State, transitions: &mut Transitions) {
    for version in bits(state.orders) {
        let mut next = *state;
        next.orders &= !(1 << version);
        next.went_back |= version < state.engine;
        next.engine = version;
        transitions.push((
            Action("engine carries out placement", usize::from(version)),
            next,
        ));
        if state.awaited == version {
            next.awaited = 0;
            let what = "engine carries out and answers placement";
            transitions.push((Action(what, usize::from(version)), next));
        }
    }
}

fn bits(set: u8) -> impl Iterator<Item = u8> {
    (0..=MAX_VERSION).filter(move |version| set & (1 << version) != 0)
}
