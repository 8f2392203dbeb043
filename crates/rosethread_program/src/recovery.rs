//! Rebuilds a program from its journalled events after a change of owner.

use std::collections::BTreeSet;

use rosethread_types::{RequestId, Turn};

use crate::{Account, Continuation, Event, Exchange, Grant, History, Program};

/// Folds the events of one program, in log order, into the state its new owner starts from.
///
/// Only events that count belong here: those written by the owner of their time. The journal
/// filters the others out.
#[derive(Clone, Debug, Default)]
pub struct Recovery {
    grant: Option<Grant>,
    account: Option<Account>,
    history: History,
    intended: BTreeSet<RequestId>,
    closed: bool,
    /// The turns that are known to have finished, with or without their exchanges.
    finished: Turn,
    /// The turns whose answers the caller is known to have.
    acknowledged: Turn,
}

impl Recovery {
    /// Returns a recovery that starts from a continuation, for a program without records.
    pub fn from_continuation(continuation: &Continuation) -> Recovery {
        let mut recovery = Recovery::default();
        recovery.create(&continuation.grant);
        recovery
    }

    /// Takes the next event into account.
    pub fn apply(&mut self, event: Event) {
        match event {
            Event::Claimed(grant) => self.create(&grant),
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
                self.finish(turn, exchange);
            }
            Event::Closed => self.closed = true,
            Event::Acknowledged(turn) => self.acknowledged = self.acknowledged.max(turn),
            Event::Released => (),
            Event::Checkpoint { grant, spent, limit, history, finished, unknown, ended } => {
                let mut account = Account::new(grant.budget);
                account.spent = spent;
                account.confirm_limit(limit);
                self.grant = Some(grant);
                self.account = Some(account);
                self.history = history;
                self.finished = finished;
                self.intended = unknown.into_iter().collect();
                self.closed = ended;
            }
        }
    }

    fn create(&mut self, grant: &Grant) {
        if self.grant.is_none() {
            self.account = Some(Account::new(grant.budget));
            self.grant = Some(grant.clone());
        }
    }

    /// Appends a finished turn; turns behind a gap cannot be used, and the caller supplies them.
    fn finish(&mut self, turn: Turn, exchange: Option<Exchange>) {
        self.finished = self.finished.max(turn + 1);
        if self.history.next_turn() != turn {
            return;
        }
        if let Some(exchange) = exchange {
            self.intended.remove(&exchange.request);
            self.history.push(exchange);
        }
    }

    /// Returns the program as its new owner may use it, or nothing if no event created it.
    ///
    /// The whole journalled limit counts as spent, and announced calls without an outcome are
    /// never run again.
    pub fn build(self) -> Option<Program> {
        let grant = self.grant?;
        let mut account = self.account?;
        account.write_off();
        let mut program =
            Program::restored(grant, account, self.history, self.intended, self.closed);
        program.require_history(self.finished, self.acknowledged);
        Some(program)
    }
}
