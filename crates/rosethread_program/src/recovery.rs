//! Rebuilds a program from its journalled events after a change of owner.

use std::collections::BTreeSet;

use rosethread_types::{RequestId, Turn};

use crate::{Account, Continuation, Event, Exchange, Grant, History, Program};

/// Replays the events of one program, in log order, into the state that its new owner starts from.
///
/// Expects only events whose writer owned the program at that point of the log. The journal
/// filters out all others.
#[derive(Clone, Debug, Default)]
pub struct Recovery {
    grant: Option<Grant>,
    account: Option<Account>,
    history: History,
    /// Calls that were announced by [`Event::Intended`] and have no outcome.
    intended: BTreeSet<RequestId>,
    closed: bool,
    /// The number of turns that are known to have finished, with or without their exchanges.
    finished_turns: Turn,
    /// The number of turns whose answers the caller is known to have.
    acked_turns: Turn,
}

impl Recovery {
    /// Starts a recovery from a continuation, for a program without journal records.
    pub fn from_continuation(continuation: &Continuation) -> Recovery {
        let mut recovery = Recovery::default();
        recovery.apply_grant(&continuation.grant);
        recovery
    }

    /// Applies the next event.
    pub fn apply(&mut self, event: Event) {
        match event {
            Event::Claimed(grant) => self.apply_grant(&grant),
            Event::Reserved(limit) => {
                if let Some(account) = &mut self.account {
                    account.confirm_limit(limit);
                }
            }
            Event::Intended(request) => {
                self.intended.insert(request);
            }
            Event::Withdrawn(request) => {
                self.intended.remove(&request);
            }
            Event::Finished { turn, spent, exchange } => {
                if let Some(account) = &mut self.account {
                    account.spent = account.spent.max(spent);
                }
                self.apply_finished(turn, exchange);
            }
            Event::Closed => self.closed = true,
            Event::Acknowledged(turn) => self.acked_turns = self.acked_turns.max(turn),
            Event::Released => (),
            Event::Checkpoint { grant, spent, limit, history, finished, unknown, ended } => {
                let mut account = Account::new(grant.budget);
                account.spent = spent;
                account.confirm_limit(limit);
                self.grant = Some(grant);
                self.account = Some(account);
                self.history = history;
                self.finished_turns = finished;
                self.intended = unknown.into_iter().collect();
                self.closed = ended;
            }
        }
    }

    fn apply_grant(&mut self, grant: &Grant) {
        if self.grant.is_none() {
            self.account = Some(Account::new(grant.budget));
            self.grant = Some(grant.clone());
        }
    }

    /// Appends a finished turn to the history.
    ///
    /// A turn after a gap, or without an exchange, only raises the count of finished turns; the
    /// caller has to supply its exchange.
    fn apply_finished(&mut self, turn: Turn, exchange: Option<Exchange>) {
        self.finished_turns = self.finished_turns.max(turn + 1);
        if self.history.next_turn() != turn {
            return;
        }
        if let Some(exchange) = exchange {
            self.intended.remove(&exchange.request);
            self.history.push(exchange);
        }
    }

    /// Builds the program for its new owner, or returns `None` if no event created it.
    ///
    /// The whole journalled limit counts as spent. Calls that were announced by
    /// [`Event::Intended`] and have no outcome are never run again.
    pub fn build(self) -> Option<Program> {
        let grant = self.grant?;
        let mut account = self.account?;
        account.write_off();
        let mut program =
            Program::from_parts(grant, account, self.history, self.intended, self.closed);
        program.set_progress(self.finished_turns, self.acked_turns);
        Some(program)
    }
}
