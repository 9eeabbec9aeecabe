//! The specification of lease, placement and engine orders.
//!
//! Two planners, one lease row, one placement row, and one sidecar that restarts and whose engine
//! ignores fencing numbers. A planner may be paused between any two steps. Writes take effect late
//! and any number of times; answers of the table overtake each other. An order may be carried out
//! late, unless its connection was closed first.

use std::fmt;

use crate::search::Specification;

pub const OUTDATED_PLAN: &str = "a planner that had lost the lease wrote the placement";
pub const WENT_BACK: &str = "the engine was ordered back to an older placement";

const PLANNERS: usize = 2;
/// Versions of the placement, and of the lease, that a search goes through.
const MAX_VERSION: u8 = 3;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Guard {
    /// The placement is written in a transaction that checks the lease row.
    LeaseCheck,
    /// The placement is written over the version that its planner has read.
    PlacementVersion,
    /// A sidecar takes only a higher version of the placement.
    OnlyUp,
    /// A restarted sidecar reads the placement before its first order.
    ReadFirst,
    /// The next order waits for the answer to the last, or for its connection to be closed.
    OneAtATime,
}

#[derive(Debug)]
pub struct Spec {
    pub off: Option<Guard>,
    pub restarts: u8,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Planner {
    /// Version of the lease row that it believes to hold; 0 for none.
    lease: u8,
    /// Version of the placement that it has read.
    placement: u8,
    /// Plan on its way to the table: the versions that it names.
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
    /// Answers with the placement that are on their way to the sidecar, one bit per version.
    reads: u8,
    view: u8,
    is_read: bool,
    /// Orders on their way to the engine, one bit per version.
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

type Moves = Vec<(Action, State)>;

impl Specification for Spec {
    type State = State;
    type Action = Action;

    const RULES: &'static [&'static str] = &[OUTDATED_PLAN, WENT_BACK];

    fn start(&self) -> State {
        State::default()
    }

    fn moves(&self, state: &State) -> Moves {
        let mut moves = Vec::new();
        for planner in 0..PLANNERS {
            self.planner_moves(state, planner, &mut moves);
        }
        self.sidecar_moves(state, &mut moves);
        engine_moves(state, &mut moves);
        moves
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
    fn has(&self, guard: Guard) -> bool {
        self.off != Some(guard)
    }

    fn planner_moves(&self, state: &State, number: usize, moves: &mut Moves) {
        let planner = state.planners[number];
        // The holder may just be slow: a lease lapses by the rival's clock alone.
        if state.lease.0 < MAX_VERSION {
            let mut next = *state;
            next.lease = (state.lease.0 + 1, u8::from(number > 0));
            next.planners[number].lease = next.lease.0;
            moves.push((Action("planner takes or renews the lease", number), next));
        }
        if planner.placement != state.placement {
            let mut next = *state;
            next.planners[number].placement = state.placement;
            moves.push((Action("planner reads the placement", number), next));
        }
        if planner.lease > 0 && planner.sent != Some((planner.lease, planner.placement)) {
            let mut next = *state;
            next.planners[number].sent = Some((planner.lease, planner.placement));
            moves.push((Action("planner sends its plan", number), next));
        }
        self.table_moves(state, number, moves);
    }

    fn table_moves(&self, state: &State, number: usize, moves: &mut Moves) {
        let Some((lease, placement)) = state.planners[number].sent else {
            return;
        };
        let is_leased = !self.has(Guard::LeaseCheck) || lease == state.lease.0;
        let is_current = !self.has(Guard::PlacementVersion) || placement == state.placement;
        if !is_leased || !is_current || state.placement == MAX_VERSION {
            return;
        }
        let mut next = *state;
        next.placement += 1;
        let is_holder = usize::from(state.lease.1) == number;
        let is_overwritten = placement != state.placement;
        next.is_outdated_plan |= !is_holder || is_overwritten;
        moves.push((Action("plan takes effect, of planner", number), next));
    }

    fn sidecar_moves(&self, state: &State, moves: &mut Moves) {
        let mut next = *state;
        next.reads |= 1 << state.placement;
        moves.push((Action("sidecar asks for the placement", 0), next));
        for version in bits(state.reads) {
            let mut next = *state;
            next.is_read = true;
            if version >= state.view || !self.has(Guard::OnlyUp) {
                next.view = version;
            }
            moves.push((
                Action("sidecar learns placement", usize::from(version)),
                next,
            ));
        }
        self.order(state, moves);
        if state.restarts < self.restarts {
            let mut next = *state;
            next.restarts += 1;
            next.view = 0;
            next.is_read = false;
            next.awaited = 0;
            // Its connections and what was on its way to it end with the process.
            next.orders = 0;
            next.reads = 0;
            moves.push((Action("sidecar restarts", 0), next));
        }
    }

    fn order(&self, state: &State, moves: &mut Moves) {
        // Without the guard it orders what its host's image names: the first placement.
        let wanted = if !self.has(Guard::ReadFirst) && !state.is_read {
            1
        } else {
            state.view
        };
        let may_order = state.is_read || !self.has(Guard::ReadFirst);
        if !may_order || wanted == 0 || state.placement == 0 {
            return;
        }
        let mut next = *state;
        if state.awaited > 0 && self.has(Guard::OneAtATime) {
            // The engine is silent: the old connection is closed, and what it carried ends.
            next.orders = 0;
        }
        next.orders |= 1 << wanted;
        next.awaited = wanted;
        moves.push((
            Action("sidecar orders placement", usize::from(wanted)),
            next,
        ));
    }
}

fn engine_moves(state: &State, moves: &mut Moves) {
    for version in bits(state.orders) {
        let mut next = *state;
        next.orders &= !(1 << version);
        next.went_back |= version < state.engine;
        next.engine = version;
        moves.push((
            Action("engine carries out placement", usize::from(version)),
            next,
        ));
        if state.awaited == version {
            next.awaited = 0;
            let what = "engine carries out and answers placement";
            moves.push((Action(what, usize::from(version)), next));
        }
    }
}

fn bits(set: u8) -> impl Iterator<Item = u8> {
    (0..=MAX_VERSION).filter(move |version| set & (1 << version) != 0)
}
