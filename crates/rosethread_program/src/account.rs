//! A program's account: what it may spend, has spent and holds for work under way.

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
    /// Time from creation to the last call.
    pub wall: Duration,
    /// Tokens that may be spent before the journal has confirmed a further block.
    pub block: Tokens,
}

impl Budget {
    /// Returns the budget with every limit at most that of `other`.
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
        /// Tokens that the call may cost at worst.
        needed: Tokens,
    },
    /// the call needs a journalled limit of {limit} tokens
    LimitNotJournalled {
        /// The limit that has to be journalled before the call may start.
        limit: Tokens,
    },
    /// the program has made all of its calls
    CallsExhausted,
    /// the program's time is over
    WallTimeExceeded,
}

/// The account of one program.
///
/// Work is paid for in two steps: the worst case is held before the call starts, and the actual
/// cost is settled when it ends. The sum of both never passes `journalled_limit`, the amount that
/// the journal is known to hold, so a successor that assumes `journalled_limit` to be spent can
/// never overspend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The program's limits.
    pub budget: Budget,
    /// Tokens spent by finished calls and closed sub-agents.
    pub spent: Tokens,
    /// Tokens held for running calls and open sub-agents.
    pub held: Tokens,
    /// Tokens that may be spent before the journal has to confirm more.
    pub journalled_limit: Tokens,
    /// Tokens that a crash of an earlier owner made unusable.
    pub stranded: Tokens,
}

impl Account {
    /// Returns the account of a new program.
    pub fn new(budget: Budget) -> Account {
        let limit = budget.block.min(budget.tokens);
        Account { budget, spent: 0, held: 0, journalled_limit: limit, stranded: 0 }
    }

    /// Returns the tokens that are neither spent nor held.
    pub fn available(&self) -> Tokens {
        self.budget.tokens.saturating_sub(self.spent + self.held)
    }

    /// Holds `worst` tokens for a call or sub-agent, if the budget and the journalled limit allow.
    pub fn hold(&mut self, worst: Tokens) -> Result<(), BudgetError> {
        let left = self.available();
        if left < worst {
            return Err(BudgetError::InsufficientTokens { left, needed: worst });
        }
        if self.journalled_limit < self.spent + self.held + worst {
            return Err(BudgetError::LimitNotJournalled { limit: self.required_limit(worst) });
        }
        self.held += worst;
        Ok(())
    }

    /// Replaces a hold of `worst` tokens by their actual cost.
    ///
    /// The cost is at most the hold: the node cuts a stream at the tokens that were held for it.
    pub fn settle(&mut self, worst: Tokens, actual: Tokens) {
        assert!(actual <= worst, "a call costs at most the tokens held for it");
        assert!(worst <= self.held, "only held tokens can be settled");
        self.held -= worst;
        self.spent += actual;
    }

    /// Takes note that the journal holds `limit`.
    pub fn confirm_limit(&mut self, limit: Tokens) {
        self.journalled_limit = self.journalled_limit.max(limit.min(self.budget.tokens));
    }

    /// Returns the limit that must be journalled before `worst` more tokens can be held.
    pub fn required_limit(&self, worst: Tokens) -> Tokens {
        let needed = self.spent + self.held + worst;
        (needed + self.budget.block).min(self.budget.tokens)
    }

    /// Returns the limit worth journalling ahead of need: when less than half a block is left.
    pub fn plan_limit(&self) -> Option<Tokens> {
        let used = self.spent + self.held;
        let is_low = self.journalled_limit < used + self.budget.block / 2;
        let limit = self.required_limit(0);
        (is_low && self.journalled_limit < limit).then_some(limit)
    }

    /// Writes off everything that an earlier owner may have spent without a record of it.
    pub fn write_off(&mut self) {
        let unknown = self.journalled_limit.saturating_sub(self.spent);
        self.stranded += unknown;
        self.spent = self.journalled_limit.max(self.spent);
        self.held = 0;
    }
}
