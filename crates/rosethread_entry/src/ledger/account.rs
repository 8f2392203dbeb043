//! The account of one program: what it has spent, what may be spent, and how high it may go.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rosethread_types::{ProgramLabel, RequestId, SessionLabel, TargetName, Tokens};
use serde::{Deserialize, Serialize};

use crate::ledger::{GrantId, Settlement};

/// The first ceiling that is recorded for a program is its budget divided by this, so that most of its
/// turns do not wait for the log, and run while that is unavailable.
///
/// Turns use about half of the tokens that they may generate, so programs can do without a third of
/// the budget if the owner is lost.
const FIRST_CEILING_DIVISOR: Tokens = 3;

/// The maximum number of sessions for which a program's account remembers the last target.
const MAX_SESSIONS: usize = 32;

/// The tokens reserved for a turn in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OpenGrant {
    pub(super) tokens: Tokens,
    /// The latest grant requested for the call; only its settlement returns the tokens.
    pub(super) grant: GrantId,
    /// When this owner granted it, or got it from an earlier one.
    #[serde(skip)]
    pub(super) since: Duration,
    /// Transferred without the log, an ended turn counts as under way until its carrier reports it again.
    #[serde(skip)]
    pub(super) state: TurnState,
}

impl OpenGrant {
    pub(super) fn new(tokens: Tokens, grant: GrantId, since: Duration) -> OpenGrant {
        OpenGrant { tokens, grant, since, state: TurnState::UnderWay }
    }

    /// Returns the tokens that the turn may use as far as the log tells.
    pub(super) fn reserved(&self) -> Tokens {
        self.tokens.max(self.settled())
    }

    /// Returns the tokens that the turn may use, or has used if it has ended.
    pub(super) fn settled(&self) -> Tokens {
        match self.state {
            TurnState::UnderWay | TurnState::Lost => self.tokens,
            TurnState::Ended { used, .. } => used,
        }
    }

    pub(super) fn is_under_way(&self) -> bool {
        self.state == TurnState::UnderWay
    }
}

/// What has become of a granted turn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum TurnState {
    #[default]
    UnderWay,
    /// No turn takes that long: its carrier is lost or cut off. Its tokens count as spent unless it reports
    /// the end after all.
    Lost,
    /// The turn has ended, and its settlement is on its way to the log.
    Ended {
        /// The tokens that it used.
        used: Tokens,
        /// The number of the queued ceiling that is recorded with the settlement.
        number: Option<u64>,
    },
}

/// A ceiling whose records are to be appended to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedCeiling {
    pub(super) program: ProgramLabel,
    pub(super) tokens: Tokens,
    /// Its number among the ceilings that were queued for the program.
    pub(super) number: u64,
}

/// The account of one program.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Account {
    pub(super) budget: Tokens,
    /// The tokens that are certainly spent.
    pub(super) spent: Tokens,
    /// The tokens that earlier owners may have granted beyond `spent`.
    pub(super) uncertain: Tokens,
    /// The grants of turns in progress, and of those whose settlement the log does not have yet, by call.
    pub(super) open: BTreeMap<RequestId, OpenGrant>,
    /// The held grants whose settlements are in the log, so that none counts twice.
    #[serde(skip)]
    pub(super) recorded: BTreeSet<GrantId>,
    /// The tokens that may be granted in total: as recorded, or the fraction that needs no record.
    pub(super) ceiling: Tokens,
    /// Whether an earlier owner may have granted one turn that is in none of these counts.
    #[serde(skip)]
    pub(super) has_unrecorded: bool,
    /// A higher ceiling whose record is queued, but not yet in the log.
    #[serde(rename = "coming")]
    pub(super) pending_ceiling: Option<Tokens>,
    /// The number of ceilings that were queued, and that of the last one which was lower than those before.
    #[serde(skip)]
    pub(super) queued: u64,
    #[serde(skip)]
    pub(super) lowered: u64,
    /// Whether the turns are stored before they end, as the last request says.
    #[serde(skip)]
    pub(super) is_stored: bool,
    /// The most tokens that a turn has requested here.
    #[serde(skip)]
    pub(super) turn_tokens: Tokens,
    /// Whether the spent budget has been submitted to the log.
    pub(super) is_spent_recorded: bool,
    /// The target that ran the last turn of each session.
    pub(super) homes: BTreeMap<SessionLabel, TargetName>,
    /// The target that ran the last turn of any session, suggested to sessions without a home.
    pub(super) last_home: Option<TargetName>,
    /// Whether a turn has already returned tokens to the caller.
    pub(super) is_underway: bool,
    /// When the ceiling was last recorded here; zero if only an earlier owner has recorded it.
    #[serde(skip)]
    pub(super) last_recorded: Duration,
    /// When the program last requested or settled a grant.
    #[serde(rename = "used")]
    pub(super) last_used: Duration,
}

/// Returns the first ceiling that is recorded for a program with this budget.
pub(super) fn first_ceiling(budget: Tokens) -> Tokens {
    budget / FIRST_CEILING_DIVISOR
}

impl Account {
    pub(super) fn open_tokens(&self) -> Tokens {
        self.open.values().map(OpenGrant::reserved).sum()
    }

    /// Counts the turns in progress as spent by an earlier owner.
    pub(super) fn forget_open(&mut self) {
        self.uncertain += self.open_tokens();
        self.open.clear();
    }

    /// Returns the tokens that may be used as far as the log tells: settlements that it does not have yet
    /// return nothing.
    pub(super) fn committed(&self) -> Tokens {
        self.spent + self.uncertain + self.open_tokens()
    }

    /// Returns the tokens that may be used, where turns that have ended count with what they used.
    pub(super) fn settled(&self) -> Tokens {
        self.spent + self.uncertain + self.open.values().map(OpenGrant::settled).sum::<Tokens>()
    }

    /// Returns the tokens that count as spent, with those of lost turns, and of turns whose settlement the
    /// log does not have yet.
    pub(super) fn used(&self) -> Tokens {
        let ended = self.open.values().filter(|it| !it.is_under_way());
        self.spent + ended.map(OpenGrant::settled).sum::<Tokens>()
    }

    /// Returns the tokens that the log's record of settled turns states, once it is queued.
    pub(super) fn recorded_spent(&self) -> Tokens {
        let is_ended = |it: &&OpenGrant| matches!(it.state, TurnState::Ended { .. });
        self.spent + self.open.values().filter(is_ended).map(OpenGrant::settled).sum::<Tokens>()
    }

    /// Returns whether the settlement of a turn that has ended is not queued for the log yet.
    pub(super) fn has_unqueued_end(&self) -> bool {
        self.open.values().any(|it| matches!(it.state, TurnState::Ended { number: None, .. }))
    }

    /// Adds the turns that have ended to the records of the queued ceiling `number`, and returns their
    /// grants.
    pub(super) fn attach_ended(&mut self, number: u64) -> Vec<GrantId> {
        let mut grants = Vec::new();
        for open in self.open.values_mut() {
            if let TurnState::Ended { number: queued, .. } = &mut open.state {
                queued.get_or_insert(number);
                grants.push(open.grant);
            }
        }
        grants
    }

    /// Settles the turns whose settlements are recorded with the queued ceiling `number`, or were before.
    pub(super) fn settle_recorded(&mut self, number: u64) {
        self.open.retain(|_, open| {
            let TurnState::Ended { used, number: Some(queued) } = open.state else {
                return true;
            };
            if number < queued {
                return true;
            }
            self.spent += used;
            self.recorded.insert(open.grant);
            false
        });
    }

    /// Returns the tokens that may be committed in total when a turn requests `turn_tokens`.
    ///
    /// Uncertain tokens may never have been used, so on their account the total may exceed the
    /// budget by up to the tokens of one turn, unless an unrecorded turn may have done so.
    pub(super) fn limit(&self, turn_tokens: Tokens) -> Tokens {
        let excess = if self.has_unrecorded { 0 } else { self.uncertain.min(turn_tokens) };
        self.budget + excess
    }

    /// Returns the ceiling for stored turns that have committed `committed` tokens: a new owner may count
    /// as uncertain, in total, what a turn may exceed the budget by.
    pub(super) fn stored_ceiling(&self, committed: Tokens) -> Tokens {
        let hidden = if self.has_unrecorded { 0 } else { self.turn_tokens };
        let ahead = hidden.saturating_sub(self.uncertain);
        (committed + ahead).min(self.budget.max(committed))
    }

    /// Remembers the target that ran a turn, and forgets the one that failed it.
    pub(super) fn record_end(&mut self, settlement: &Settlement) {
        self.is_underway |= settlement.used != 0;
        if let Some(failed) = &settlement.failed {
            self.homes.retain(|_, it| it != failed);
            self.last_home = self.last_home.take().filter(|it| it != failed);
        }
        if let Some(target) = &settlement.target
            && settlement.target != settlement.failed
        {
            if self.homes.len() < MAX_SESSIONS {
                self.homes.insert(settlement.session.clone(), target.clone());
            }
            self.last_home = Some(target.clone());
        }
    }

    /// Returns the ceiling as the log will have it.
    pub(super) fn planned_ceiling(&self) -> Tokens {
        self.pending_ceiling.unwrap_or(0).max(self.ceiling)
    }

    /// Counts a ceiling as queued; one that is lower than the last one holds from now on.
    pub(super) fn queue_ceiling(&mut self, tokens: Tokens) {
        self.queued += 1;
        if tokens < self.planned_ceiling() {
            self.lowered = self.queued;
            self.ceiling = self.ceiling.min(tokens);
        }
        self.pending_ceiling = Some(tokens).filter(|it| self.ceiling < *it);
    }
}
