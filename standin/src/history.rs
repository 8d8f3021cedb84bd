//! A small checker of concurrent histories: is there an order of the operations, one after
//! the other, that respects real time and that a sequential specification allows?
//!
//! The search is exhaustive with memory of dead ends (after Wing and Gong, and Lowe), so it
//! is meant for histories of one key or item at a time, a few dozen operations long. Its own
//! tests, in `tests/history.rs`, show that it rejects wrong histories.

use std::collections::HashSet;
use std::hash::Hash;
use std::time::Instant;

/// What operations may do, one at a time.
pub trait Specification {
    /// The state between operations.
    type State: Clone + Eq + Hash;
    /// An operation with what it returned.
    type Operation;

    /// The state before any operation.
    fn initial(&self) -> Self::State;

    /// States after `operation` in `state`; none if it could not have returned what it did.
    fn after(&self, state: &Self::State, operation: &Self::Operation) -> Vec<Self::State>;
}

/// An operation that was called and has returned.
#[derive(Clone, Debug)]
pub struct Call<O> {
    /// When it was called.
    pub called: Instant,
    /// When it returned.
    pub returned: Instant,
    /// What it was and what it returned.
    pub operation: O,
}

/// Whether some order explains the history. At most 64 operations.
pub fn is_linearizable<S: Specification>(specification: &S, history: &[Call<S::Operation>]) -> bool {
    assert!(history.len() <= u64::BITS as usize, "split the history by key first");
    let mut dead = HashSet::new();
    search(specification, history, 0, &specification.initial(), &mut dead)
}

fn search<S: Specification>(
    specification: &S,
    history: &[Call<S::Operation>],
    done: u64,
    state: &S::State,
    dead: &mut HashSet<(u64, S::State)>,
) -> bool {
    if done.count_ones() as usize == history.len() {
        return true;
    }
    if !dead.insert((done, state.clone())) {
        return false;
    }
    let open = || history.iter().enumerate().filter(|(index, _)| done & (1 << index) == 0);
    // Only what was called before every other open one returned may come next.
    let Some(first_return) = open().map(|(_, call)| call.returned).min() else { return true };
    open().filter(|(_, call)| call.called <= first_return).any(|(index, call)| {
        let states = specification.after(state, &call.operation);
        states.iter().any(|next| search(specification, history, done | 1 << index, next, dead))
    })
}

/// A call that may run once under a key, and what its caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnceCall {
    /// The whole answer, which names the run that it is of.
    Answer(String),
    /// It did not run.
    NotRun,
    /// Nothing is known.
    Unknown,
}

/// At most one run per key: every answer is of the same run, and nothing runs after that.
pub struct AtMostOnce;

impl Specification for AtMostOnce {
    /// Whether it may have run, and the answer once one is known.
    type State = (bool, Option<String>);
    type Operation = OnceCall;

    fn initial(&self) -> Self::State {
        (false, None)
    }

    fn after(&self, (ran, answer): &Self::State, operation: &OnceCall) -> Vec<Self::State> {
        match operation {
            OnceCall::Answer(text) if answer.as_ref().is_none_or(|known| known == text) => {
                vec![(true, Some(text.clone()))]
            }
            OnceCall::Answer(_) => Vec::new(),
            // "Not run" speaks of the call: once the key has run it would be false.
            OnceCall::NotRun if *ran => Vec::new(),
            OnceCall::NotRun => vec![(false, None)],
            OnceCall::Unknown => vec![(*ran, answer.clone()), (true, answer.clone())],
        }
    }
}

/// A confirm of a plan that replaces one item, and its verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Confirm {
    /// Accepted at a revision, from a plan on a base.
    Accepted {
        /// The plan's base.
        base: u64,
        /// Its revision.
        revision: u64,
    },
    /// Refused: a plan accepted at this revision came first.
    Conflict {
        /// The plan's base.
        base: u64,
        /// The winner's revision.
        winner: u64,
    },
    /// Nothing is known.
    Unknown,
}

/// One item under racing plans: a plan is accepted iff nothing was accepted after its base.
///
/// What a confirm of unknown outcome did shows in the revision of a later conflict.
pub struct Item;

impl Specification for Item {
    /// Revision of the last accepted plan.
    type State = u64;
    type Operation = Confirm;

    fn initial(&self) -> u64 {
        0
    }

    fn after(&self, last: &u64, operation: &Confirm) -> Vec<u64> {
        match operation {
            Confirm::Accepted { base, revision } if last <= base && last < revision => vec![*revision],
            Confirm::Accepted { .. } => Vec::new(),
            Confirm::Conflict { base, winner } if winner == last && winner > base => vec![*last],
            Confirm::Conflict { .. } => Vec::new(),
            Confirm::Unknown => vec![*last],
        }
    }
}
