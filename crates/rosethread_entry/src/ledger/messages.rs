//! What hosts ask an owner and tell it, and what it records.

use rosethread_types::{
    Incarnation, NodeName, ProgramLabel, RequestId, SessionLabel, TargetName, Tokens,
};
use serde::{Deserialize, Serialize};

/// Identifies the grant that one host requests for one call; a retry of the call has another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId(pub u64);

/// A request for the tokens that a turn may generate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The program.
    pub program: ProgramLabel,
    /// The session: one chain of turns within the program.
    pub session: SessionLabel,
    /// The call.
    pub request: RequestId,
    /// The program's whole budget.
    pub budget: Tokens,
    /// The maximum number of tokens that the turn may generate.
    pub tokens: Tokens,
    /// The grant; it stays the same when the request is sent again or to another host.
    pub grant: GrantId,
    /// Whether the turn is stored before it ends. Between hosts it follows the request, where those of
    /// the last release don't look.
    #[serde(skip)]
    pub is_stored: bool,
}

/// The owner's decision on a [`GrantRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The turn may generate the tokens that were requested.
    Granted {
        /// The session's home: the target that most likely has its prompt in the cache.
        home: Option<TargetName>,
        /// Whether a turn of the program has already returned tokens to the caller.
        underway: bool,
        /// The epoch of the claim under which the tokens are reserved for this grant alone, if the owner
        /// tells it. Between hosts it follows the reply, where those of the last release don't look.
        #[serde(skip)]
        reserved: Option<u64>,
    },
    /// A ceiling of this many tokens has to be recorded in the log first.
    Record(Tokens),
    /// The rest of the budget does not cover the turn.
    Spent,
    /// The rest of the budget may not cover the turn: turns in progress, or granted by earlier
    /// owners, may have used it.
    Uncertain,
    /// The ledger is closed: its accounts were handed over, and another owner decides.
    Closed,
}

/// How a granted turn ended; settling it returns the unused tokens to the program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The program.
    pub program: ProgramLabel,
    /// The session within the program.
    pub session: SessionLabel,
    /// The call.
    pub request: RequestId,
    /// The tokens that the caller received.
    pub used: Tokens,
    /// The target that ran the turn, if one did.
    pub target: Option<TargetName>,
    /// The last target that failed the turn, if one did.
    pub failed: Option<TargetName>,
    /// The grant that ends.
    pub grant: GrantId,
}

/// A grant as the host knows it that carries the turn: with it, an owner that has claimed the shard since
/// then can settle the turn. See "Turns whose owner is lost" in `docs/design/budgets.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// The tokens reserved for the turn.
    pub tokens: Tokens,
    /// The epoch of the claim under which they were reserved.
    pub epoch: u64,
    /// Whether the carrier reports the settlement until an owner has recorded it; otherwise it is ending.
    pub is_kept: bool,
}

/// What has become of the settlement of a [`HeldGrant`] at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldState {
    /// The log has it, or doesn't need it.
    Recorded,
    /// It counts here once the log has it.
    Pending,
    /// As [`Pending`](HeldState::Pending), from now on; an earlier owner granted the turn.
    Inherited,
    /// It doesn't count here.
    NotHere,
}

/// A record in a shard's partition of the log, from which a new owner rebuilds the accounts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRecord {
    /// A node has claimed the shard.
    Claim {
        /// The epoch of the claim, which is also its fencing token.
        epoch: u64,
        /// The node's name.
        owner: NodeName,
        /// The incarnation of the node's process; after a restart it no longer has the accounts.
        run: Incarnation,
    },
    /// The owner may grant a program this many tokens in total.
    Ceiling {
        /// The program.
        program: ProgramLabel,
        /// Its budget.
        budget: Tokens,
        /// The part of the ceiling that is certainly spent.
        spent: Tokens,
        /// The ceiling.
        tokens: Tokens,
    },
    /// A program has spent exactly this many tokens, and nothing is granted beyond them.
    Settled {
        /// The program.
        program: ProgramLabel,
        /// Its budget.
        budget: Tokens,
        /// The spent tokens.
        tokens: Tokens,
        /// Held grants that are settled for good: the spent tokens contain what their turns used. In the log
        /// they follow the record, where hosts of the last release don't look.
        #[serde(skip)]
        ended: Vec<GrantId>,
    },
    /// The owner has closed its ledger and recorded the balance of every program.
    Released {
        /// The epoch of the owner's claim.
        epoch: u64,
    },
    /// The owner grants a program one turn at most without a record. Owners of earlier releases, which
    /// do not write this, grant a third of the budget.
    Bounded {
        /// The epoch of the owner's claim.
        epoch: u64,
    },
    /// An earlier owner may have granted the program one turn that no record contains.
    Unrecorded {
        /// The program.
        program: ProgramLabel,
        /// Its budget.
        budget: Tokens,
    },
    /// A turn was in progress as the owner closed its ledger; the ceiling before this record contains its
    /// tokens. Hosts of the last release skip it, and count them as spent.
    Open {
        /// The program.
        program: ProgramLabel,
        /// The call.
        request: RequestId,
        /// The grant whose settlement returns the tokens.
        grant: GrantId,
        /// The tokens reserved for the turn.
        tokens: Tokens,
    },
}

impl LedgerRecord {
    /// Encodes the record for the log.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_stdvec(self)?;
        match self {
            LedgerRecord::Settled { ended, .. } if !ended.is_empty() => {
                postcard::to_extend(ended, bytes)
            }
            _ => Ok(bytes),
        }
    }

    /// Decodes a record of the log.
    pub fn decode(bytes: &[u8]) -> Result<LedgerRecord, postcard::Error> {
        let (mut record, rest): (LedgerRecord, &[u8]) = postcard::take_from_bytes(bytes)?;
        if let (LedgerRecord::Settled { ended, .. }, false) = (&mut record, rest.is_empty()) {
            *ended = postcard::from_bytes(rest)?;
        }
        Ok(record)
    }

    /// Returns the program whose account the record is about, if it is about one.
    pub(crate) fn program(&self) -> Option<&ProgramLabel> {
        match self {
            LedgerRecord::Ceiling { program, .. }
            | LedgerRecord::Settled { program, .. }
            | LedgerRecord::Unrecorded { program, .. }
            | LedgerRecord::Open { program, .. } => Some(program),
            LedgerRecord::Claim { .. }
            | LedgerRecord::Released { .. }
            | LedgerRecord::Bounded { .. } => None,
        }
    }
}
