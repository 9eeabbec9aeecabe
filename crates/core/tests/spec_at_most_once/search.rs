//! Exhaustive breadth-first search that prints a trace of the violation.

use std::cell::Cell;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::time::Instant;

use pathfinding::directed::bfs::bfs;

/// A specification: an initial state, the transitions and the rules.
pub trait Specification {
    type State: Copy + Eq + Hash + fmt::Debug;
    type Action: Copy + fmt::Display;

    /// Rules that must hold in every state.
    const RULES: &'static [&'static str];

    fn start(&self) -> Self::State;
    fn transitions(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;
    fn violates(&self, state: &Self::State, rule: &'static str) -> bool;
}

/// Result of a search.
pub struct SearchResult {
    pub states: usize,
    pub depth: usize,
    /// Actions that lead to the nearest violation; `None` if there is none.
    pub counterexample: Option<Vec<String>>,
}

/// Visits all reachable states, or stops at the nearest one that violates a rule.
pub fn search<S: Specification>(name: &str, spec: &S, rules: &[&'static str]) -> SearchResult {
    let started = Instant::now();
    let states = Cell::new(0);
    let depth = Cell::new(0);
    let start = Node {
        state: spec.start(),
        depth: 0,
        action: None,
    };
    let successors = |node: &Node<S>| {
        states.set(states.get() + 1);
        depth.set(depth.get().max(node.depth));
        let next_depth = node.depth + 1;
        let transitions = spec.transitions(&node.state);
        transitions.into_iter().map(move |(action, state)| Node {
            state,
            depth: next_depth,
            action: Some(action),
        })
    };
    let is_violated = |state: &S::State| rules.iter().any(|rule| spec.violates(state, rule));
    let path = bfs(&start, successors, |node| is_violated(&node.state));
    let counterexample = path.map(|path| trace(&path));
    let result = SearchResult {
        states: states.get(),
        depth: depth.get(),
        counterexample,
    };
    print(name, &result, rules, started);
    result
}

/// A state with the action by which it was first reached, which is not part of its identity.
struct Node<S: Specification> {
    state: S::State,
    depth: usize,
    action: Option<S::Action>,
}

impl<S: Specification> Clone for Node<S> {
    fn clone(&self) -> Self {
        Self {
            state: self.state,
            depth: self.depth,
            action: self.action,
        }
    }
}

impl<S: Specification> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Specification> Eq for Node<S> {}

impl<S: Specification> Hash for Node<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

fn trace<S: Specification>(path: &[Node<S>]) -> Vec<String> {
    let actions = path.iter().filter_map(|node| node.action);
    actions.map(|action| action.to_string()).collect()
}

fn print(name: &str, result: &SearchResult, rules: &[&str], started: Instant) {
    let SearchResult { states, depth, .. } = result;
    let elapsed_ms = started.elapsed().as_millis();
    println!("{name}: {states} states, depth {depth}, {elapsed_ms} ms");
    let Some(actions) = &result.counterexample else {
        println!("  exhausted, no violation");
        return;
    };
    println!("  violated: {}", rules.join(", or "));
    for (step, action) in actions.iter().enumerate() {
        println!("  {:>2}. {action}", step + 1);
    }
}
