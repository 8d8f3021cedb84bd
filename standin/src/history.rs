//! Linearizability checker for concurrent histories: searches for a sequential order of the operations that
//! respects real time and that a sequential specification allows.
//!
//! The search is exhaustive and memoizes failed states (the algorithm of Wing and Gong with Lowe's extension), so
//! it suits histories of a single key or item with a few dozen operations. The tests in `tests/history.rs` show
//! that it rejects wrong histories.

use std::collections::HashSet;
use std::hash::Hash;
use std::time::Instant;

/// A sequential specification: the results that each operation may return in each state.
pub trait Specification {
    /// State between operations.
    type State: Clone + Eq + Hash;
    /// An operation together with its result.
    type Operation;

    /// Returns the state before any operation.
    fn initial(&self) -> Self::State;

    /// Returns the possible states after `operation` in `state`, empty if the operation cannot return its result there.
    fn next_states(&self, state: &Self::State, operation: &Self::Operation) -> Vec<Self::State>;
}

/// A completed operation of a history.
#[derive(Clone, Debug)]
pub struct CompletedCall<O> {
    /// Time of the invocation.
    pub called: Instant,
    /// Time of the return.
    pub returned: Instant,
    /// The operation together with its result.
    pub operation: O,
}

/// Returns whether the history is linearizable. Panics if it has more than 64 operations.
pub fn is_linearizable<S: Specification>(specification: &S, history: &[CompletedCall<S::Operation>]) -> bool {
    assert!(history.len() <= u64::BITS as usize, "history has more than 64 operations; split it by key");
    let mut visited = HashSet::new();
    search(specification, history, 0, &specification.initial(), &mut visited)
}

fn search<S: Specification>(
    specification: &S,
    history: &[CompletedCall<S::Operation>],
    linearized: u64,
    state: &S::State,
    visited: &mut HashSet<(u64, S::State)>,
) -> bool {
    if linearized.count_ones() as usize == history.len() {
        return true;
    }
    if !visited.insert((linearized, state.clone())) {
        return false;
    }
    let remaining = || history.iter().enumerate().filter(|(index, _)| linearized & (1 << index) == 0);
    // An operation may come next only if it was invoked before any other remaining operation returned.
    let Some(earliest_return) = remaining().map(|(_, call)| call.returned).min() else { return true };
    remaining().filter(|(_, call)| call.called <= earliest_return).any(|(index, call)| {
        let states = specification.next_states(state, &call.operation);
        states.iter().any(|next| search(specification, history, linearized | 1 << index, next, visited))
    })
}

/// Result of a call under an idempotency key, as its caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdempotentCall {
    /// Complete response; its text identifies the execution that it belongs to.
    Answer(String),
    /// Failure stating that the call was not executed.
    NotExecuted,
    /// The caller cannot tell whether the operation took effect.
    Unknown,
}

/// Specifies at most one execution per key: all responses belong to the same execution, and after an execution no
/// call reports that it was not executed.
pub struct AtMostOnce;

impl Specification for AtMostOnce {
    /// Whether the key was executed, and the response once one was received.
    type State = (bool, Option<String>);
    type Operation = IdempotentCall;

    fn initial(&self) -> Self::State {
        (false, None)
    }

    fn next_states(&self, (is_executed, response): &Self::State, operation: &IdempotentCall) -> Vec<Self::State> {
        match operation {
            IdempotentCall::Answer(text) if response.as_ref().is_none_or(|first_response| first_response == text) => {
                vec![(true, Some(text.clone()))]
            }
            IdempotentCall::Answer(_) => Vec::new(),
            // After the key was executed, a call must not report that it was not.
            IdempotentCall::NotExecuted if *is_executed => Vec::new(),
            IdempotentCall::NotExecuted => vec![(false, None)],
            IdempotentCall::Unknown => vec![(*is_executed, response.clone()), (true, response.clone())],
        }
    }
}

/// Confirmation of a plan that replaces one configuration item, with its verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Confirm {
    /// The plan was accepted.
    Accepted {
        /// Revision that the plan is based on.
        base: u64,
        /// Revision at which the plan was accepted.
        revision: u64,
    },
    /// The plan was rejected, because another plan was accepted after its base revision.
    Conflict {
        /// Revision that the plan is based on.
        base: u64,
        /// Revision at which the other plan was accepted.
        winner: u64,
    },
    /// The caller cannot tell whether the operation took effect.
    Unknown,
}

/// Specifies one configuration item under concurrent plans: a plan is accepted if and only if no other plan was
/// accepted after its base revision.
///
/// A confirmation with an unknown result leaves the state unchanged. If it was accepted after all, a later conflict
/// names its revision.
pub struct PlannedItem;

impl Specification for PlannedItem {
    /// Revision of the most recently accepted plan.
    type State = u64;
    type Operation = Confirm;

    fn initial(&self) -> u64 {
        0
    }

    fn next_states(&self, last: &u64, operation: &Confirm) -> Vec<u64> {
        match operation {
            Confirm::Accepted { base, revision } if last <= base && last < revision => vec![*revision],
            Confirm::Accepted { .. } => Vec::new(),
            Confirm::Conflict { base, winner } if winner == last && winner > base => vec![*last],
            Confirm::Conflict { .. } => Vec::new(),
            Confirm::Unknown => vec![*last],
        }
    }
}
