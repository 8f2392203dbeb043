//! A program's budget account: tokens spent, tokens held for running work, and limits.

use std::time::Duration;

use displaydoc::Display;
use rosethread_types::Tokens;
use serde::{Deserialize, Serialize};

/// The limits of one program, fixed when it is created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Tokens that the program may add to its history: new input plus generated output.
    pub tokens: Tokens,
    /// Calls that the program may finish.
    pub calls: u32,
    /// Time after creation during which calls may start.
    pub wall: Duration,
    /// Tokens that may be spent before the journal has to confirm a higher limit.
    pub block: Tokens,
}

impl Budget {
    /// Returns this budget with each limit capped by that of `other`, and the block by the tokens.
    #[must_use]
    pub fn capped_by(self, other: Budget) -> Budget {
        let tokens = self.tokens.min(other.tokens);
        Budget {
            tokens,
            calls: self.calls.min(other.calls),
            wall: self.wall.min(other.wall),
            block: self.block.min(other.block).min(tokens),
        }
    }
}

/// Why an account cannot cover a call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BudgetError {
    /// the budget has {left} tokens left and the call needs {needed}
    InsufficientTokens {
        /// Tokens left in the budget.
        left: Tokens,
        /// The maximum cost of the call, in tokens.
        needed: Tokens,
    },
    /// the call needs a journalled limit of {limit} tokens
    LimitNotJournalled {
        /// The limit that has to be journalled before the call may start.
        limit: Tokens,
    },
    /// the program has used up its calls
    CallsExhausted,
    /// the program's wall time is over
    WallTimeExceeded,
}

/// The budget account of one program.
///
/// A call is charged in two steps: its maximum cost is held before it starts, and its actual cost
/// is settled when it ends. Spent and held tokens together never exceed `journalled_limit`, which
/// the journal is known to hold. A new owner that assumes all of it to be spent never overspends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The program's limits.
    pub budget: Budget,
    /// Tokens spent by finished calls and closed sub-agents.
    pub spent: Tokens,
    /// Tokens held for running calls and open sub-agents.
    pub held: Tokens,
    /// The spending limit that the journal is known to hold.
    pub journalled_limit: Tokens,
    /// Tokens that count as spent since an earlier owner crashed, without a record of their use.
    pub stranded: Tokens,
}

impl Account {
    /// Creates the account of a new program, which may spend one block without a journal record.
    pub fn new(budget: Budget) -> Account {
        let limit = budget.block.min(budget.tokens);
        Account { budget, spent: 0, held: 0, journalled_limit: limit, stranded: 0 }
    }

    /// Returns the tokens that are neither spent nor held.
    pub fn available(&self) -> Tokens {
        self.budget.tokens.saturating_sub(self.spent + self.held)
    }

    /// Holds `max_cost` tokens for a call or sub-agent.
    ///
    /// Fails if the budget or the journalled limit does not cover them.
    pub fn hold(&mut self, max_cost: Tokens) -> Result<(), BudgetError> {
        let left = self.available();
        if left < max_cost {
            return Err(BudgetError::InsufficientTokens { left, needed: max_cost });
        }
        if self.journalled_limit < self.spent + self.held + max_cost {
            return Err(BudgetError::LimitNotJournalled { limit: self.required_limit(max_cost) });
        }
        self.held += max_cost;
        Ok(())
    }

    /// Releases a hold of `max_cost` tokens and spends the actual cost.
    ///
    /// The cost never exceeds the hold, because the node cuts off a stream that has used up the
    /// tokens held for it. Panics otherwise.
    pub fn settle(&mut self, max_cost: Tokens, actual: Tokens) {
        assert!(actual <= max_cost, "a call costs at most the tokens held for it");
        assert!(max_cost <= self.held, "only held tokens can be settled");
        self.held -= max_cost;
        self.spent += actual;
    }

    /// Records that the journal holds `limit`; never lowers the limit.
    pub fn confirm_limit(&mut self, limit: Tokens) {
        self.journalled_limit = self.journalled_limit.max(limit.min(self.budget.tokens));
    }

    /// Returns the limit to journal before `max_cost` more tokens can be held.
    ///
    /// It leaves room for one block more, within the budget.
    pub fn required_limit(&self, max_cost: Tokens) -> Tokens {
        let needed = self.spent + self.held + max_cost;
        (needed + self.budget.block).min(self.budget.tokens)
    }

    /// Returns the next limit to journal in advance, once less than half a block is left.
    ///
    /// Calls then rarely have to wait for the journal.
    pub fn plan_limit(&self) -> Option<Tokens> {
        let used = self.spent + self.held;
        let is_low = self.journalled_limit < used + self.budget.block / 2;
        let limit = self.required_limit(0);
        (is_low && self.journalled_limit < limit).then_some(limit)
    }

    /// Counts the whole journalled limit as spent and drops all holds.
    ///
    /// An earlier owner may have spent up to that limit without a record of it.
    pub fn write_off(&mut self) {
        let unrecorded = self.journalled_limit.saturating_sub(self.spent);
        self.stranded += unrecorded;
        self.spent = self.journalled_limit.max(self.spent);
        self.held = 0;
    }
}
