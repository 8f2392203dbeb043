//! Token budgets of the programs of one shard, without the log in the way of ordinary turns.
//!
//! A program's owner grants tokens before a turn runs, and never more than its *ceiling*. Up to a
//! first part of the budget the ceiling needs no record; beyond it the owner records a higher one
//! ahead of need, one turn at a time. A successor knows the records but not what was granted below
//! the ceilings, so it counts each ceiling as spent in full; of what it counts without knowing, the
//! most of one turn may exceed the budget, as users allow. No clock and no answer from the log
//! decides how much a program may spend. See `docs/design/platform.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rosethread_types::{
    Incarnation, NodeName, ProgramLabel, RequestId, SessionLabel, TargetName, Tokens,
};
use serde::{Deserialize, Serialize};

/// The part of a budget, one in this many, that a shard's first owner may grant without a record.
///
/// A successor counts as much against each program that it does not know. Turns use about half of
/// what they may, so a third of the budget is what programs can do without.
const UNRECORDED_PART: Tokens = 3;

/// The sessions of a program whose last targets are remembered.
const MAX_SESSIONS: usize = 32;

/// Failures in a row, of turns of all programs of a shard, after which a target is no home.
const MAX_FAILURES: u32 = 2;

/// How long after its last failure such a target is no home.
const FAILED_AGE: Duration = Duration::from_millis(1_000);

/// What one host asks for on behalf of one call; a retry of the call asks for another grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId(pub u64);

/// A turn that asks for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The program.
    pub program: ProgramLabel,
    /// The line of turns within the program.
    pub session: SessionLabel,
    /// The call.
    pub request: RequestId,
    /// The program's whole budget.
    pub budget: Tokens,
    /// The most tokens that the turn may generate.
    pub tokens: Tokens,
    /// The grant, however often it is asked for.
    pub grant: GrantId,
}

/// The owner's answer to a [`GrantRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The turn may generate what it asked for.
    Granted {
        /// The target that most likely caches the line's prompt.
        home: Option<TargetName>,
        /// Whether a turn of the program has handed out tokens.
        underway: bool,
    },
    /// A ceiling of this many tokens has to be recorded first.
    Record(Tokens),
    /// The budget does not hold the turn.
    Spent,
    /// The budget may not hold the turn: turns under way, or granted by earlier owners, may have
    /// used the rest of it.
    Uncertain,
    /// The accounts have been handed over, and another owner decides.
    Closed,
}

/// How a granted turn ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The program.
    pub program: ProgramLabel,
    /// The line of turns.
    pub session: SessionLabel,
    /// The call.
    pub request: RequestId,
    /// Tokens that were handed to the caller.
    pub used: Tokens,
    /// The target that ran the turn, if one did.
    pub target: Option<TargetName>,
    /// The last target that failed the turn, if one did.
    pub failed: Option<TargetName>,
    /// The grant that ends.
    pub grant: GrantId,
}

/// What a shard's log says about accounts and their owners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRecord {
    /// An owner begins.
    Claim {
        /// The owner's epoch, which is also its fencing number.
        epoch: u64,
        /// The node's name.
        owner: NodeName,
        /// The run of the node's process; a later run knows nothing of the shard.
        run: Incarnation,
    },
    /// A program may be granted this many tokens in all.
    Ceiling {
        /// The program.
        program: ProgramLabel,
        /// Its budget.
        budget: Tokens,
        /// What of them is certainly spent.
        spent: Tokens,
        /// The tokens.
        tokens: Tokens,
    },
    /// A program has spent exactly this much, and nothing is granted beyond it.
    Settled {
        /// The program.
        program: ProgramLabel,
        /// Its budget.
        budget: Tokens,
        /// The tokens.
        tokens: Tokens,
    },
    /// An owner has settled every program that it granted anything.
    Released {
        /// The epoch of its claim.
        epoch: u64,
    },
}

/// Tokens that a turn under way holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Hold {
    tokens: Tokens,
    /// The last grant under which the call asked; its end returns the tokens.
    grant: GrantId,
}

/// The account of one program.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Account {
    budget: Tokens,
    /// What is certainly spent.
    spent: Tokens,
    /// What earlier owners may have granted beyond `spent`.
    uncertain: Tokens,
    /// Grants of turns under way.
    open: BTreeMap<RequestId, Hold>,
    /// What may be granted in all, by record or by the unrecorded part.
    ceiling: Tokens,
    /// A higher ceiling whose record has been submitted.
    coming: Option<Tokens>,
    /// Whether the log knows that the budget is spent.
    is_spent_recorded: bool,
    homes: BTreeMap<SessionLabel, TargetName>,
    last_home: Option<TargetName>,
    /// Whether a turn has handed out tokens.
    is_underway: bool,
    used: Duration,
}

impl Account {
    fn held(&self) -> Tokens {
        self.open.values().map(|it| it.tokens).sum()
    }

    fn committed(&self) -> Tokens {
        self.spent + self.uncertain + self.held()
    }

    /// Returns what may be committed in all when a turn asks for `turn` tokens.
    ///
    /// What is only counted because nobody knows may exceed the budget by the most of one turn.
    fn limit(&self, turn: Tokens) -> Tokens {
        self.budget + self.uncertain.min(turn)
    }
}

/// How a program's account stands, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Balance {
    /// What is certainly spent.
    pub spent: Tokens,
    /// What earlier owners may have granted beyond that.
    pub uncertain: Tokens,
    /// What turns under way hold.
    pub open: Tokens,
    /// The turns under way.
    pub turns: usize,
    /// What may be granted in all.
    pub ceiling: Tokens,
}

/// The accounts of one shard at its owner; time is the duration since the process's start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The epochs of earlier owners that may have granted tokens to programs without a record.
    earlier: BTreeSet<u64>,
    /// Whether the accounts have been handed over, after which nothing more may be granted.
    is_closed: bool,
    /// How often targets have failed turns in a row, and when last.
    #[serde(skip)]
    failures: BTreeMap<TargetName, (u32, Duration)>,
    accounts: BTreeMap<ProgramLabel, Account>,
}

impl Ledger {
    /// Takes in what an earlier owner recorded; records come in the order of the log.
    pub fn recover(&mut self, record: &LedgerRecord) {
        match record {
            LedgerRecord::Claim { epoch, .. } => drop(self.earlier.insert(*epoch)),
            LedgerRecord::Released { epoch } => drop(self.earlier.remove(epoch)),
            LedgerRecord::Ceiling { program, budget, spent, tokens } => {
                let account = self.accounts.entry(program.clone()).or_default();
                account.budget = *budget;
                account.spent = account.spent.max(*spent);
                account.ceiling = account.ceiling.max(*tokens);
                account.uncertain = account.ceiling.saturating_sub(account.spent);
                account.is_underway = true;
            }
            LedgerRecord::Settled { program, budget, tokens } => {
                let account = self.accounts.entry(program.clone()).or_default();
                account.budget = *budget;
                account.spent = *tokens;
                account.ceiling = *tokens;
                account.uncertain = 0;
                account.is_underway = true;
            }
        }
    }

    /// Begins to count time for what was recovered, which counts as used at the claim.
    ///
    /// Records do not tell when a program was used last, and one that spent its budget just before
    /// the claim must not be forgotten, since it would get the budget again.
    pub fn claimed(&mut self, now: Duration) {
        for account in self.accounts.values_mut() {
            account.used = now;
        }
    }

    /// Returns how a program's account stands; empty for one that is not known.
    pub fn balance(&self, program: &ProgramLabel) -> Balance {
        let balance = |it: &Account| Balance {
            spent: it.spent,
            uncertain: it.uncertain,
            open: it.held(),
            turns: it.open.len(),
            ceiling: it.ceiling,
        };
        self.accounts.get(program).map(balance).unwrap_or_default()
    }

    /// Returns the number of programs.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Tells whether no program is known.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the account of a program that is not known.
    ///
    /// Only a first owner grants without records, so however many owners came before, they granted
    /// such a program no more than the unrecorded part.
    fn open_account(&self, ask: &GrantRequest) -> Account {
        let part = (ask.budget / UNRECORDED_PART).max(ask.tokens).min(ask.budget);
        let uncertain = if self.earlier.is_empty() { 0 } else { part };
        Account { budget: ask.budget, uncertain, ceiling: part, ..Account::default() }
    }

    /// Decides whether a turn may run, and holds its tokens if so.
    ///
    /// The same call asking again keeps its grant.
    pub fn ask(&mut self, ask: &GrantRequest, now: Duration) -> Verdict {
        if self.is_closed {
            return Verdict::Closed;
        }
        if !self.accounts.contains_key(&ask.program) {
            let account = self.open_account(ask);
            self.accounts.insert(ask.program.clone(), account);
        }
        let account = self.accounts.get_mut(&ask.program).expect("the account was just opened");
        account.used = now;
        let is_sound = |it: &&TargetName| {
            let failures = self.failures.get(*it);
            failures.is_none_or(|(count, last)| *count < MAX_FAILURES || *last + FAILED_AGE <= now)
        };
        let home = account.homes.get(&ask.session).or(account.last_home.as_ref());
        let home = home.filter(is_sound).cloned();
        let underway = account.is_underway;
        if let Some(hold) = account.open.get_mut(&ask.request) {
            hold.grant = ask.grant;
            return Verdict::Granted { home, underway };
        }
        let needed = account.committed() + ask.tokens;
        if account.limit(ask.tokens) < needed {
            // Turns under way may use less than they hold, so only what has ended is certain.
            let is_certain = account.budget < account.spent + ask.tokens;
            return if is_certain { Verdict::Spent } else { Verdict::Uncertain };
        }
        if account.ceiling < needed {
            return Verdict::Record(needed);
        }
        let hold = Hold { tokens: ask.tokens, grant: ask.grant };
        account.open.insert(ask.request.clone(), hold);
        Verdict::Granted { home, underway }
    }

    /// Returns a ceiling to record now so that the program's next turns need not wait for it.
    pub fn ahead(&mut self, program: &ProgramLabel, turn: Tokens) -> Option<Tokens> {
        let account = self.accounts.get_mut(program)?;
        let next = account.committed() + turn;
        let planned = account.coming.unwrap_or(0).max(account.ceiling);
        if next <= planned || account.limit(turn) < next {
            return None;
        }
        account.coming = Some(next);
        Some(next)
    }

    /// Returns a record of what is certainly spent, once, for a program whose budget is spent.
    ///
    /// With it a successor can say so at once, where it would be uncertain otherwise.
    pub fn spent_record(&mut self, program: &ProgramLabel) -> Option<LedgerRecord> {
        let account = self.accounts.get_mut(program)?;
        let is_settled = account.open.is_empty() && account.uncertain == 0;
        if !is_settled || std::mem::replace(&mut account.is_spent_recorded, true) {
            return None;
        }
        let (budget, spent) = (account.budget, account.spent);
        // It lowers no ceiling: the ledger stays open, and smaller turns may follow.
        Some(LedgerRecord::Ceiling { program: program.clone(), budget, spent, tokens: spent })
    }

    /// Returns the record of a ceiling.
    pub fn ceiling(&self, program: &ProgramLabel, tokens: Tokens) -> LedgerRecord {
        let account = self.accounts.get(program);
        let (budget, spent) = account.map_or((0, 0), |it| (it.budget, it.spent));
        LedgerRecord::Ceiling { program: program.clone(), budget, spent, tokens }
    }

    /// Takes note that a program's ceiling has been recorded.
    pub fn recorded(&mut self, program: &ProgramLabel, ceiling: Tokens) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.ceiling = account.ceiling.max(ceiling);
            account.coming = account.coming.filter(|it| account.ceiling < *it);
        }
    }

    /// Takes note that a record of a higher ceiling did not reach the log.
    pub fn unrecorded(&mut self, program: &ProgramLabel) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.coming = None;
        }
    }

    /// Takes note of how a turn ended. Its grant is returned but for what was used.
    ///
    /// Returns whether the turn held tokens here.
    pub fn settle(&mut self, settlement: &Settlement, now: Duration) -> bool {
        self.judge(settlement, now);
        let Some(account) = self.accounts.get_mut(&settlement.program) else {
            return false;
        };
        account.used = now;
        let Some(hold) = account.open.get(&settlement.request) else {
            return false;
        };
        // A retry of the call that has begun since then goes on with the tokens.
        if hold.grant == settlement.grant {
            account.open.remove(&settlement.request);
        }
        account.spent += settlement.used;
        account.is_underway |= settlement.used != 0;
        if let Some(failed) = &settlement.failed {
            account.homes.retain(|_, it| it != failed);
            account.last_home = account.last_home.take().filter(|it| it != failed);
        }
        if let Some(target) = &settlement.target
            && settlement.target != settlement.failed
        {
            if account.homes.len() < MAX_SESSIONS {
                account.homes.insert(settlement.session.clone(), target.clone());
            }
            account.last_home = Some(target.clone());
        }
        true
    }

    /// Takes note of whether targets ran or failed a turn.
    ///
    /// Turns enter at many hosts, each of which sees too few of them to notice that a target fails.
    fn judge(&mut self, settlement: &Settlement, now: Duration) {
        if let Some(target) = &settlement.target {
            self.failures.remove(target);
        }
        if let Some(failed) = &settlement.failed {
            let (count, last) = self.failures.entry(failed.clone()).or_default();
            *count += 1;
            *last = now;
        }
    }

    /// Closes the ledger, and returns a copy with which another host goes on in this owner's stead.
    ///
    /// Exactly one of the two grants from then on, under the same ceilings, so nothing has to be
    /// recorded. Records that were submitted here count as lost.
    pub fn close_for_transfer(&mut self, now: Duration) -> Ledger {
        let mut copy = self.clone();
        // The other host counts time from its own start.
        copy.failures.clear();
        self.is_closed = true;
        for account in copy.accounts.values_mut() {
            account.coming = None;
            // The other host counts time from its own start.
            account.used = now.saturating_sub(account.used);
        }
        copy
    }

    /// Begins to count time at this host, for a ledger that another has handed on.
    pub fn accept_transfer(&mut self, now: Duration) {
        for account in self.accounts.values_mut() {
            account.used = now.saturating_sub(account.used);
        }
    }

    /// Closes the ledger of the claim under `epoch`, and returns the records that let a successor go
    /// on with exact accounts.
    ///
    /// Turns under way stay uncertain, since their ends will not be heard of here.
    pub fn release(&mut self, epoch: u64) -> Vec<LedgerRecord> {
        self.is_closed = true;
        let settled = self.accounts.iter().flat_map(|(program, it)| {
            let settled = LedgerRecord::Settled {
                program: program.clone(),
                budget: it.budget,
                tokens: it.spent,
            };
            let has_open = it.spent < it.committed();
            let unknown = has_open.then(|| self.ceiling(program, it.committed()));
            [Some(settled), unknown]
        });
        settled.flatten().chain([LedgerRecord::Released { epoch }]).collect()
    }

    /// Forgets programs without turns for `age`.
    pub fn expire(&mut self, now: Duration, age: Duration) {
        self.accounts.retain(|_, it| now < it.used + age);
        self.failures.retain(|_, (_, last)| now < *last + FAILED_AGE);
    }
}
