//! The programs that this node owns, and the operations on them.
//!
//! A program has one owner at a time, decided by the claims in the log. Each claim has an epoch,
//! which fences the records and engine requests of earlier owners.

mod close;
mod create;
mod handover;
mod journalling;
mod place;
mod run;
mod send;
mod serve;
mod sweep;
mod takeover;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
};

use rosethread_config::{Document, PolicyName};
use rosethread_policy::Strategy;
use rosethread_program::{Continuation, Event, Program};
use rosethread_types::{Epoch, ProgramId, RequestId, TargetName, Tokens};
use tokio::time::Instant;

use crate::{call::ProgramStatus, core::Core, feed::AnswerFeed, signal::Signal};

pub(crate) use close::{close, status};
pub(crate) use create::create;
pub(crate) use handover::{accept_handover, hand_over_all};
pub(crate) use serve::{ServeOutcome, serve};
pub(crate) use sweep::sweep;
pub(crate) use takeover::take_over;

/// A program that this node owns, or has claimed without knowing the log's verdict yet.
pub(crate) struct OwnedProgram {
    pub(crate) id: ProgramId,
    state: Mutex<OwnedState>,
    /// Raised when a call ends, the program closes, a handover fails or the ownership changes.
    changed: Signal,
}

/// The state of this node's claim to a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ownership {
    /// The first claim has not been read back from the log; no other node knows the program.
    Pending,
    /// The claim has been read back from the log with this epoch.
    Confirmed(Epoch),
    /// Another node has claimed the program, or it was handed over or removed after its end.
    Lost,
}

/// The mutable state of an owned program.
pub(crate) struct OwnedState {
    pub(crate) program: Program,
    pub(crate) ownership: Ownership,
    /// Events that are journalled once the claim has been read back.
    queued_events: Vec<Event>,
    /// The answers to running calls, by request.
    feeds: BTreeMap<RequestId, Arc<AnswerFeed>>,
    /// The target that most likely caches the history, and the number of cached tokens.
    pub(crate) cached: Option<(TargetName, Tokens)>,
    /// Engines that may hold cache or a running stream of the program.
    used_engines: BTreeSet<TargetName>,
    /// Whether the program has ended and its release by all engines has been journalled.
    is_released: bool,
    /// When the last call arrived; decides when the program is idle.
    last_used: Instant,
    /// When the first call to end at this node arrived.
    first_call: Option<Instant>,
    /// When the last answer was complete.
    last_answer: Option<Instant>,
    /// Whether a handover is in progress, during which no call starts.
    handing_over: bool,
    /// Open sub-agents and the tokens held for each in this program's account.
    children: BTreeMap<ProgramId, Tokens>,
}

impl OwnedProgram {
    fn new(id: ProgramId, program: Program, ownership: Ownership) -> Arc<OwnedProgram> {
        let state = OwnedState {
            program,
            ownership,
            queued_events: Vec::new(),
            feeds: BTreeMap::new(),
            cached: None,
            used_engines: BTreeSet::new(),
            is_released: false,
            last_used: Instant::now(),
            first_call: None,
            last_answer: None,
            handing_over: false,
            children: BTreeMap::new(),
        };
        Arc::new(OwnedProgram { id, state: Mutex::new(state), changed: Signal::default() })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, OwnedState> {
        self.state.lock().expect("no code panics while it holds the program")
    }

    fn notify(&self) {
        self.changed.raise();
    }

    /// Removes the program from this node, which does not act as its owner any more.
    pub(crate) fn mark_lost(&self, core: &Core) {
        self.lock().ownership = Ownership::Lost;
        core.remove_owned(&self.id);
        self.notify();
    }
}

impl OwnedState {
    /// Returns the epoch of this node's claim, which fences requests to engines.
    pub(crate) fn epoch(&self) -> Epoch {
        match self.ownership {
            Ownership::Confirmed(epoch) => epoch,
            Ownership::Pending | Ownership::Lost => Epoch::UNCLAIMED,
        }
    }

    /// Returns the sealed continuation for the next turn.
    pub(crate) fn continuation(&self, core: &Core) -> String {
        let program = &self.program;
        let continuation = Continuation {
            grant: program.grant.clone(),
            owner: core.node_name().clone(),
            epoch: self.epoch(),
            turn: program.history.next_turn(),
            spent: program.account.spent,
            digest: program.history.digest(),
            revision: core.document.borrow().revision,
            target: self.cached.as_ref().map(|(target, _)| target.clone()),
        };
        core.seal_keys.seal(&continuation)
    }

    /// Returns the status that callers see.
    pub(crate) fn status(&self) -> ProgramStatus {
        let program = &self.program;
        ProgramStatus {
            program: program.grant.program.clone(),
            turn: program.history.next_turn(),
            spent: program.account.spent,
            held: program.account.held,
            left: program.account.available(),
            running: program.has_running_call(),
            ended: program.has_ended(),
        }
    }
}

/// Returns the strategy of the policy crate for a document's policy.
pub(crate) fn strategy(document: &Document) -> Strategy {
    match document.policy {
        PolicyName::Adaptive => Strategy::Adaptive,
        PolicyName::RoundRobin => Strategy::RoundRobin,
        PolicyName::LeastLoaded => Strategy::LeastLoaded,
        PolicyName::Sticky => Strategy::Sticky,
    }
}
