//! The question for an organisation's tokens, and its answer.

use rosethread_policy::{QuotaLimit, Returned};
use rosethread_types::{NodeName, OrganisationName, Revision};
use serde::{Deserialize, Serialize};

use super::Demand;

/// The thousandths in which rates travel.
const MILLI: f64 = 1_000.0;

/// The program of the call for which a host asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskProgram {
    /// A fingerprint of its identifier; `None` for a call without a program.
    pub program: Option<u64>,
    /// Whether the call says itself that the program is under way.
    pub is_underway: bool,
}

/// A question for tokens of an organisation's limit: one for a call, and more for calls to come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The revision of the routes from which the limit comes.
    pub revision: Revision,
    /// The limit's rate, in thousandths of a call per second.
    pub milli_per_s: u64,
    /// The limit's burst, in thousandths of a call.
    pub milli_burst: u64,
    /// The tokens, with the one for the call.
    pub want: u32,
    /// The program of the call.
    pub program: AskProgram,
    /// The pool to which tokens are returned.
    pub pool: u32,
    /// The tokens that are returned unspent.
    pub returned: u32,
    /// Programs whose calls were sent with leased tokens since the last question.
    pub spent: Vec<u64>,
}

impl QuotaAsk {
    pub(super) fn new(
        demand: &Demand<'_>,
        want: u32,
        returned: Returned,
        spent: Vec<u64>,
    ) -> QuotaAsk {
        QuotaAsk {
            organisation: demand.organisation.clone(),
            revision: demand.revision,
            milli_per_s: (demand.limit.per_s * MILLI) as u64,
            milli_burst: (demand.limit.burst * MILLI) as u64,
            want,
            program: AskProgram { program: demand.program, is_underway: demand.is_underway },
            pool: returned.pool,
            returned: returned.tokens,
            spent,
        }
    }

    /// Returns the limit.
    pub(super) fn limit(&self) -> QuotaLimit {
        QuotaLimit {
            per_s: self.milli_per_s as f64 / MILLI,
            burst: self.milli_burst as f64 / MILLI,
        }
    }
}

/// The answer to a [`QuotaAsk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaReply {
    /// The call may be sent.
    Granted {
        /// The pool from which the tokens come.
        pool: u32,
        /// The tokens, with the one for the call.
        tokens: u32,
    },
    /// The call may not be sent.
    Refused {
        /// When there is room for it, in milliseconds from now.
        retry_ms: u32,
        /// The thousandths of tokens in the pool.
        level_milli: u32,
        /// Those of them that are kept for programs under way.
        reserve_milli: u32,
        /// Whether the call begins a program, and was refused for those under way.
        is_new: bool,
    },
    /// Another host owns the limit, as far as it is known.
    NotOwner(Option<NodeName>),
}
