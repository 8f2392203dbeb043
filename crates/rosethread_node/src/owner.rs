//! The programs that this node owns.

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

use crate::{call::ProgramStatus, core::Core, feed::Feed, signal::Signal};

pub(crate) use close::{close, status};
pub(crate) use create::create;
pub(crate) use handover::{adopt, hand_over_all};
pub(crate) use serve::{Served, serve};
pub(crate) use sweep::sweep;
pub(crate) use takeover::take_over;

/// A program that this node owns.
pub(crate) struct Owned {
    pub(crate) id: ProgramId,
    state: Mutex<OwnedState>,
    /// Raised whenever a call finishes or the ownership changes.
    changed: Signal,
}

/// How sure this node is of its ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tenure {
    /// The first claim is on its way to the log; nobody else knows the program.
    Pending,
    /// The claim has been read back, and this is its epoch.
    Confirmed(Epoch),
    /// Another node has claimed the program, or it has been handed over.
    Lost,
}

/// The mutable state of an owned program.
pub(crate) struct OwnedState {
    pub(crate) program: Program,
    pub(crate) tenure: Tenure,
    /// Events that wait for the claim to be read back.
    unsent: Vec<Event>,
    /// The answers to running calls.
    feeds: BTreeMap<RequestId, Arc<Feed>>,
    /// The target that most likely caches the history, and how much of it.
    pub(crate) cached: Option<(TargetName, Tokens)>,
    /// Engines that may hold something for the program.
    touched: BTreeSet<TargetName>,
    /// Whether the journal says that the ended program holds nothing.
    is_released: bool,
    last_used: Instant,
    /// When the first call that ended here had arrived.
    first_call: Option<Instant>,
    /// When the last answer was whole.
    last_answer: Option<Instant>,
    /// Whether a handover is under way, during which no call starts.
    frozen: bool,
    /// Open sub-agents and the tokens held for each.
    children: BTreeMap<ProgramId, Tokens>,
}

impl Owned {
    fn new(id: ProgramId, program: Program, tenure: Tenure) -> Arc<Owned> {
        let state = OwnedState {
            program,
            tenure,
            unsent: Vec::new(),
            feeds: BTreeMap::new(),
            cached: None,
            touched: BTreeSet::new(),
            is_released: false,
            last_used: Instant::now(),
            first_call: None,
            last_answer: None,
            frozen: false,
            children: BTreeMap::new(),
        };
        Arc::new(Owned { id, state: Mutex::new(state), changed: Signal::default() })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, OwnedState> {
        self.state.lock().expect("no holder of a program panics")
    }

    fn notify(&self) {
        self.changed.raise();
    }

    /// Takes note that this node no longer owns the program.
    pub(crate) fn lose(&self, core: &Core) {
        self.lock().tenure = Tenure::Lost;
        core.remove_owned(&self.id);
        self.notify();
    }
}

impl OwnedState {
    /// Returns the epoch of this node's ownership, for use as a fencing number.
    pub(crate) fn epoch(&self) -> Epoch {
        match self.tenure {
            Tenure::Confirmed(epoch) => epoch,
            Tenure::Pending | Tenure::Lost => Epoch::UNCLAIMED,
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

    /// Returns what callers may know.
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

/// Returns the strategy that a document's policy stands for.
pub(crate) fn strategy(document: &Document) -> Strategy {
    match document.policy {
        PolicyName::Adaptive => Strategy::Adaptive,
        PolicyName::RoundRobin => Strategy::RoundRobin,
        PolicyName::LeastLoaded => Strategy::LeastLoaded,
        PolicyName::Sticky => Strategy::Sticky,
    }
}
