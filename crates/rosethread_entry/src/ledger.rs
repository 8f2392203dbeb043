//! Token budgets of the programs of one shard; most turns are granted without waiting for the log.
//!
//! A program's owner grants tokens before a turn runs, and in total never more than the program's
//! *ceiling*. The first owner of a shard grants the first turn without a record in the log, and records a
//! ceiling meanwhile: a third of the budget, and beyond that as much as is needed, one turn at a time.
//!
//! A new owner reads the recorded ceilings, but not the grants that were made below them, so it
//! counts each ceiling as spent in full. The tokens that it counts without knowing are *uncertain*.
//! Because of them a program may exceed its budget by at most the tokens of one turn, which users
//! accept. A program without any record got that one turn at most, so it has its whole budget.
//! Neither a clock nor a reply from the log decides how much a program may spend. See
//! `docs/design/budgets.md`.
//!
//! A turn that is stored can't end while the log is unavailable, so a ceiling that lasts through an
//! outage is of no use to its program. The ceiling of such a program is at most one turn above what
//! it has spent and reserved, and is lowered again as its turns end: a new owner then knows of all
//! but the one turn by which the budget may be exceeded, and the program has its whole budget.
//!
//! The host that carries a stored turn *holds* its grant until the log has the settlement, so that a new
//! owner can settle it. What the turn returns is granted again only from then on.
//!
//! The ledger also suggests a *home* for each session: the target that ran its last turn, and so
//! most likely has its prompt in the cache.

mod account;
mod messages;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rosethread_types::{ProgramLabel, TargetName, Tokens};
use serde::{Deserialize, Serialize};

use account::{Account, OpenGrant, TurnState, first_ceiling};

pub use account::QueuedCeiling;
pub use messages::{
    GrantId, GrantRequest, HeldGrant, HeldState, LedgerRecord, Settlement, Verdict,
};

/// Consecutive failures, over the turns of all programs of a shard, after which a target is no
/// longer suggested as a home.
const MAX_FAILURES: u32 = 2;

/// How long after its last failure such a target is not suggested.
const FAILURE_TTL: Duration = Duration::from_millis(1_000);

/// The balance of a program's account, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Balance {
    /// The tokens that are certainly spent.
    pub spent: Tokens,
    /// The tokens that earlier owners may have granted beyond `spent`.
    pub uncertain: Tokens,
    /// The tokens reserved for turns in progress.
    pub open: Tokens,
    /// The number of turns in progress.
    pub turns: usize,
    /// The tokens that may be granted in total.
    pub ceiling: Tokens,
}

impl Balance {
    /// Returns whether a turn of `tokens` can fit once the turns in progress are settled.
    ///
    /// The load: two lines of one program near the end of its budget, of which each reserves a whole turn
    /// and returns much of it. What earlier owners may have granted is never settled.
    pub fn may_fit(&self, budget: Tokens, tokens: Tokens) -> bool {
        let excess = self.uncertain.min(tokens);
        self.turns != 0 && self.spent + self.uncertain + tokens <= budget + excess
    }
}

/// The accounts of one shard at its owner. Times are durations since the process started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The epochs of earlier owners that did not release the shard, and so may have granted tokens
    /// without a record.
    #[serde(rename = "earlier")]
    earlier_epochs: BTreeSet<u64>,
    /// The epochs of owners that granted a program one turn at most without a record. A transferred
    /// ledger lacks them, and then counts as if all owners were of an earlier release.
    #[serde(skip)]
    bounded_epochs: BTreeSet<u64>,
    /// Whether the accounts have been handed over, after which nothing more may be granted.
    is_closed: bool,
    /// The number of consecutive failures of each target, and the time of the last one.
    #[serde(skip)]
    failures: BTreeMap<TargetName, (u32, Duration)>,
    accounts: BTreeMap<ProgramLabel, Account>,
    /// When no turn that an earlier owner granted can be under way any more; unknown in a ledger that
    /// was transferred.
    #[serde(skip)]
    settled_by: Option<Duration>,
    /// The epoch of the claim from which the accounts come; unknown in a ledger that was transferred, which
    /// does not know what the log has.
    #[serde(skip)]
    epoch: Option<u64>,
}

impl Ledger {
    /// Applies a record of an earlier owner; records have to be replayed in the order of the log.
    pub fn replay(&mut self, record: &LedgerRecord) {
        match record {
            LedgerRecord::Claim { epoch, .. } => {
                self.earlier_epochs.insert(*epoch);
                // This owner may have settled the turns in progress, and granted what they returned.
                self.accounts.values_mut().for_each(Account::forget_open);
            }
            LedgerRecord::Released { epoch } => drop(self.earlier_epochs.remove(epoch)),
            LedgerRecord::Bounded { epoch } => drop(self.bounded_epochs.insert(*epoch)),
            LedgerRecord::Unrecorded { program, budget } => {
                let account = self.accounts.entry(program.clone()).or_default();
                account.budget = *budget;
                account.has_unrecorded = true;
            }
            LedgerRecord::Ceiling { program, budget, spent, tokens } => {
                let account = self.accounts.entry(program.clone()).or_default();
                account.budget = *budget;
                account.spent = account.spent.max(*spent);
                account.ceiling = account.ceiling.max(*tokens);
                account.uncertain = account.ceiling.saturating_sub(account.spent);
                account.is_underway = true;
            }
            LedgerRecord::Settled { program, budget, tokens, ended } => {
                let account = self.accounts.entry(program.clone()).or_default();
                account.recorded.extend(ended);
                account.budget = *budget;
                account.spent = *tokens;
                account.ceiling = *tokens;
                account.uncertain = 0;
                account.open.clear();
                account.is_underway = true;
            }
            LedgerRecord::Open { program, request, grant, tokens } => {
                let account = self.accounts.entry(program.clone()).or_default();
                account.uncertain = account.uncertain.saturating_sub(*tokens);
                let open = OpenGrant::new(*tokens, *grant, Duration::ZERO);
                account.open.insert(request.clone(), open);
            }
        }
    }

    /// Counts with owners of which the log knows nothing any more: it has dropped all claims. A record that
    /// it still has may be of an owner of the last release, which does not repeat its claim.
    pub fn add_unknown_owner(&mut self, has_records: bool) {
        self.earlier_epochs.insert(0);
        if !has_records {
            self.bounded_epochs.insert(0);
        }
    }

    /// Sets the last use of all replayed accounts to `now`, the time of the claim.
    ///
    /// Records do not contain the time of the last use. A program that spent its budget just before
    /// the claim must not expire at once, since it would get its budget again.
    pub fn reset_last_used(&mut self, now: Duration) {
        for account in self.accounts.values_mut() {
            account.last_used = now;
            account.open.values_mut().for_each(|it| it.since = now);
        }
    }

    /// Sets when all turns have ended that earlier owners may have granted. From then on the tokens that
    /// they may have used count as spent: nothing could still return them.
    pub fn set_settled_by(&mut self, settled_by: Duration) {
        self.settled_by = Some(settled_by);
    }

    /// Sets the epoch of the claim from which the accounts come.
    pub fn set_epoch(&mut self, epoch: u64) {
        self.epoch = Some(epoch);
    }

    /// Counts the turns in progress as spent that were granted longer ago than a turn takes: the host that
    /// carried them is lost, and nobody settles them, or it is cut off and does so late.
    ///
    /// Returns their number.
    pub fn expire_grants(&mut self, now: Duration, longest_turn: Duration) -> usize {
        let mut count = 0;
        for open in self.accounts.values_mut().flat_map(|it| it.open.values_mut()) {
            if open.is_under_way() && open.since + longest_turn <= now {
                open.state = TurnState::Lost;
                count += 1;
            }
        }
        count
    }

    /// Returns the balance of a program's account; all zero for a program without one.
    pub fn balance(&self, program: &ProgramLabel) -> Balance {
        let balance = |it: &Account| Balance {
            spent: it.used(),
            uncertain: it.uncertain,
            open: it.settled() - it.used() - it.uncertain,
            turns: it.open.values().filter(|it| it.is_under_way()).count(),
            ceiling: it.ceiling,
        };
        self.accounts.get(program).map(balance).unwrap_or_default()
    }

    /// Returns the number of programs with an account.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no program has an account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the initial account of a program without records.
    ///
    /// Only the shard's first owner grants without records. All others record a program's ceiling before
    /// its first turn, so all earlier owners together granted such a program no more than that one did.
    fn open_account(&self, ask: &GrantRequest) -> Account {
        let account = Account { budget: ask.budget, ..Account::default() };
        if self.earlier_epochs.is_empty() {
            return Account { ceiling: ask.tokens.min(ask.budget), ..account };
        }
        if self.earlier_epochs.is_subset(&self.bounded_epochs) {
            return Account { has_unrecorded: true, ..account };
        }
        let unrecorded = first_ceiling(ask.budget).max(ask.tokens).min(ask.budget);
        Account { uncertain: unrecorded, ceiling: unrecorded, ..account }
    }

    /// Decides whether a turn may run, and reserves its tokens if so.
    ///
    /// A repeated request for the same call keeps the tokens that are reserved for it.
    pub fn request_grant(&mut self, ask: &GrantRequest, now: Duration) -> Verdict {
        if self.is_closed {
            return Verdict::Closed;
        }
        if !self.accounts.contains_key(&ask.program) {
            let account = self.open_account(ask);
            self.accounts.insert(ask.program.clone(), account);
        }
        let account = self.accounts.get_mut(&ask.program).expect("the account was created above");
        account.last_used = now;
        account.is_stored = ask.is_stored;
        account.turn_tokens = account.turn_tokens.max(ask.tokens);
        let is_healthy = |it: &&TargetName| {
            let failures = self.failures.get(*it);
            failures.is_none_or(|(count, last)| *count < MAX_FAILURES || *last + FAILURE_TTL <= now)
        };
        let home = account.homes.get(&ask.session).or(account.last_home.as_ref());
        let home = home.filter(is_healthy).cloned();
        let underway = account.is_underway;
        let open = account.open.get_mut(&ask.request);
        if let Some(open) = open.filter(|it| !matches!(it.state, TurnState::Ended { .. })) {
            // A retry of the call shares the tokens with the attempt before.
            let reserved = self.epoch.filter(|_| open.grant == ask.grant);
            *open = OpenGrant::new(open.tokens, ask.grant, now);
            return Verdict::Granted { home, underway, reserved };
        }
        let needed = account.settled() + ask.tokens;
        if account.limit(ask.tokens) < needed {
            // Turns in progress may use less than is reserved, so only settled tokens are certain, and those
            // of earlier owners once their turns have ended.
            let is_settled = self.settled_by.is_some_and(|it| it <= now);
            let used = account.used();
            let is_certain = account.budget < used + ask.tokens
                || is_settled && account.limit(ask.tokens) < used + account.uncertain + ask.tokens;
            return if is_certain { Verdict::Spent } else { Verdict::Uncertain };
        }
        // What a turn returns is granted again once the log has its settlement: until then its carrier may
        // report it to a later owner, which then returns it, too.
        let is_returning = account.open.contains_key(&ask.request);
        if account.ceiling < account.committed() + ask.tokens || is_returning {
            let ceiling = if ask.is_stored {
                account.stored_ceiling(needed)
            } else {
                needed.max(first_ceiling(account.budget))
            };
            return Verdict::Record(ceiling);
        }
        account.open.insert(ask.request.clone(), OpenGrant::new(ask.tokens, ask.grant, now));
        Verdict::Granted { home, underway, reserved: self.epoch }
    }

    /// Returns a ceiling to record now, so that the program's next turn need not wait for the log. The
    /// first one covers a fixed part of the budget.
    ///
    /// Returns nothing if a recorded or pending ceiling covers another turn of `turn_tokens`, or if
    /// the budget does not, or if the turns are stored.
    pub fn plan_ceiling(&self, program: &ProgramLabel, turn_tokens: Tokens) -> Option<Tokens> {
        let account = self.accounts.get(program)?;
        let next = account.committed() + turn_tokens;
        let planned = account.planned_ceiling();
        if account.is_stored || next <= planned || account.limit(turn_tokens) < next {
            return None;
        }
        Some(next.max(first_ceiling(account.budget)))
    }

    /// Returns the ceiling to record after a turn of the program has ended, if its turns are stored: it
    /// covers the next turn, and takes back what turns did not use.
    pub fn plan_settled_ceiling(&self, program: &ProgramLabel) -> Option<Tokens> {
        let account = self.accounts.get(program)?;
        let planned = account.planned_ceiling();
        let tokens =
            if account.is_stored { account.stored_ceiling(account.settled()) } else { planned };
        (tokens != planned || account.has_unqueued_end()).then_some(tokens)
    }

    /// Returns a record of the spent tokens, once, for a program whose budget is spent.
    ///
    /// It lets a new owner answer [`Verdict::Spent`] at once, instead of [`Verdict::Uncertain`].
    pub fn spent_record(&mut self, program: &ProgramLabel) -> Option<LedgerRecord> {
        let account = self.accounts.get_mut(program)?;
        let is_settled = account.open.is_empty() && account.uncertain == 0;
        if !is_settled || std::mem::replace(&mut account.is_spent_recorded, true) {
            return None;
        }
        let (budget, spent) = (account.budget, account.spent);
        // The record does not lower the ceiling here: smaller turns may still be granted.
        Some(LedgerRecord::Ceiling { program: program.clone(), budget, spent, tokens: spent })
    }

    /// Queues a ceiling of at least `tokens` for a turn that waits for it, and returns its records.
    pub fn raise_ceiling(
        &mut self,
        program: &ProgramLabel,
        tokens: Tokens,
    ) -> (QueuedCeiling, Vec<LedgerRecord>) {
        let planned = self.accounts.get(program).map_or(0, Account::planned_ceiling);
        self.queue_ceiling(program, tokens.max(planned))
    }

    /// Queues a ceiling of `tokens` for a program, and returns its records.
    ///
    /// The records have to be appended together, in this order, and after those that were queued before.
    /// A higher ceiling holds once it is confirmed, a lower one at once.
    pub fn queue_ceiling(
        &mut self,
        program: &ProgramLabel,
        tokens: Tokens,
    ) -> (QueuedCeiling, Vec<LedgerRecord>) {
        let mut queued = QueuedCeiling { program: program.clone(), tokens, number: 0 };
        let mut settled = None;
        if let Some(account) = self.accounts.get_mut(program) {
            // A ceiling is recorded for a turn that has just been requested or has just ended.
            account.last_recorded = account.last_used;
            queued.tokens = tokens.max(account.settled());
            account.queue_ceiling(queued.tokens);
            queued.number = account.queued;
            let ended = account.attach_ended(account.queued);
            if account.is_stored || !ended.is_empty() {
                // The record of a ceiling alone doesn't replace a higher one.
                let (budget, tokens) = (account.budget, account.recorded_spent());
                let program = program.clone();
                settled = Some(LedgerRecord::Settled { program, budget, tokens, ended });
            }
        }
        let ceiling = self.ceiling_record(program, queued.tokens);
        let records = [self.unrecorded_record(program), settled, Some(ceiling)];
        (queued, records.into_iter().flatten().collect())
    }

    /// Returns the records of the ceilings that were recorded `age` ago or earlier, of programs that were
    /// used within `idle`; to be appended before the log drops the earlier ones.
    pub fn aging_records(
        &mut self,
        now: Duration,
        age: Duration,
        idle: Duration,
    ) -> Vec<LedgerRecord> {
        let is_aging = |it: &&mut Account| {
            it.ceiling != 0 && it.last_recorded + age <= now && now <= it.last_used + idle
        };
        let mut programs = Vec::new();
        for (program, account) in &mut self.accounts {
            if let Some(account) = Some(account).filter(is_aging) {
                account.last_recorded = now;
                programs.push((program.clone(), account.ceiling));
            }
        }
        let records = programs.iter().flat_map(|(program, ceiling)| {
            let ceiling = self.ceiling_record(program, *ceiling);
            self.unrecorded_record(program).into_iter().chain([ceiling])
        });
        records.collect()
    }

    /// Returns the record that keeps later owners from granting more than the budget to a program that
    /// may have had an unrecorded turn.
    fn unrecorded_record(&self, program: &ProgramLabel) -> Option<LedgerRecord> {
        let account = self.accounts.get(program).filter(|it| it.has_unrecorded)?;
        Some(LedgerRecord::Unrecorded { program: program.clone(), budget: account.budget })
    }

    fn ceiling_record(&self, program: &ProgramLabel, tokens: Tokens) -> LedgerRecord {
        let account = self.accounts.get(program);
        let (budget, spent) = account.map_or((0, 0), |it| (it.budget, it.spent));
        LedgerRecord::Ceiling { program: program.clone(), budget, spent, tokens }
    }

    /// Settles a program's turns whose settlements have reached the log with the records of a ceiling, and
    /// raises the ceiling unless a lower one has been queued since.
    pub fn confirm_ceiling(&mut self, queued: &QueuedCeiling) {
        let Some(account) = self.accounts.get_mut(&queued.program) else {
            return;
        };
        account.settle_recorded(queued.number);
        if account.lowered <= queued.number {
            account.ceiling = account.ceiling.max(queued.tokens);
            account.pending_ceiling = account.pending_ceiling.filter(|it| account.ceiling < *it);
        }
    }

    /// Clears a program's pending ceiling, whose records did not reach the log.
    pub fn cancel_ceiling(&mut self, queued: &QueuedCeiling) {
        let account = self.accounts.get_mut(&queued.program);
        if let Some(account) = account.filter(|it| it.queued == queued.number) {
            account.pending_ceiling = None;
        }
    }

    /// Settles a turn's grant: counts the used tokens as spent, and returns the rest.
    ///
    /// Returns whether the turn had an open grant here, and the accounts were not handed over since.
    pub fn settle(&mut self, settlement: &Settlement, now: Duration) -> bool {
        self.update_failures(settlement, now);
        let Some(account) = self.accounts.get_mut(&settlement.program) else {
            return false;
        };
        account.last_used = now;
        let open = account.open.get(&settlement.request);
        let Some(open) = open.filter(|it| !matches!(it.state, TurnState::Ended { .. })) else {
            return false;
        };
        // A retry of the call that has started since then keeps the reserved tokens.
        if open.grant == settlement.grant {
            account.open.remove(&settlement.request);
        }
        account.spent += settlement.used;
        account.record_end(settlement);
        !self.is_closed
    }

    /// Settles the turn of a held grant: what it used counts, and the rest goes back to the program once the
    /// log has the settlement. The records are those of the ceiling to be queued next.
    ///
    /// A turn that an earlier owner granted is among the uncertain tokens here, unless a record of the log
    /// says that it was settled.
    pub fn settle_held(
        &mut self,
        settlement: &Settlement,
        held: HeldGrant,
        now: Duration,
    ) -> HeldState {
        if self.is_closed {
            return HeldState::NotHere;
        }
        let is_inherited = self.epoch.is_some_and(|it| held.epoch < it);
        let Some(account) = self.accounts.get_mut(&settlement.program) else {
            // The log has nothing of the program, so the turn is the one that needs no record.
            return if is_inherited { HeldState::Recorded } else { HeldState::NotHere };
        };
        let ended = TurnState::Ended { used: settlement.used, number: None };
        match account.open.get_mut(&settlement.request) {
            Some(open) if open.grant == settlement.grant => {
                if matches!(open.state, TurnState::Ended { .. }) {
                    return HeldState::Pending;
                }
                open.state = ended;
            }
            _ if account.recorded.contains(&settlement.grant) => return HeldState::Recorded,
            // A retry of the call that has started since then keeps the reserved tokens.
            Some(_) => {
                account.spent += settlement.used;
                account.recorded.insert(settlement.grant);
                return HeldState::Recorded;
            }
            None if is_inherited => {
                account.uncertain = account.uncertain.saturating_sub(held.tokens);
                let open = OpenGrant::new(held.tokens, settlement.grant, now);
                account.open.insert(settlement.request.clone(), OpenGrant { state: ended, ..open });
                // The program may not have asked this owner for a turn yet.
                account.is_stored = true;
                account.turn_tokens = account.turn_tokens.max(held.tokens);
            }
            None => return HeldState::NotHere,
        }
        account.last_used = now;
        account.record_end(settlement);
        self.update_failures(settlement, now);
        if is_inherited { HeldState::Inherited } else { HeldState::Pending }
    }

    /// Returns the programs with turns that have ended and whose settlements are not queued for the log yet.
    pub fn unqueued_ends(&self) -> Vec<ProgramLabel> {
        let accounts = self.accounts.iter().filter(|(_, it)| it.has_unqueued_end());
        accounts.map(|(program, _)| program.clone()).collect()
    }

    /// Returns what has become of a settlement that was pending.
    pub fn held_state(&self, settlement: &Settlement) -> HeldState {
        if self.is_closed {
            return HeldState::NotHere;
        }
        let account = self.accounts.get(&settlement.program);
        let is_recorded = account.is_none_or(|it| it.recorded.contains(&settlement.grant));
        if is_recorded { HeldState::Recorded } else { HeldState::Pending }
    }

    /// Resets the failure count of the target that ran a turn, and increments that of the target
    /// that failed it.
    ///
    /// The owner counts them because turns enter at many hosts, each of which sees too few of them
    /// to notice that a target fails.
    fn update_failures(&mut self, settlement: &Settlement, now: Duration) {
        if let Some(target) = &settlement.target {
            self.failures.remove(target);
        }
        if let Some(failed) = &settlement.failed {
            let (count, last) = self.failures.entry(failed.clone()).or_default();
            *count += 1;
            *last = now;
        }
    }

    /// Closes the ledger, and returns a copy for the host that replaces this owner while the log is
    /// unavailable.
    ///
    /// From then on only the copy grants, under the same ceilings, so nothing has to be recorded.
    /// Ceilings that are still pending here count as not recorded. The copy's last-use times are
    /// ages, to be converted by [`Ledger::accept_transfer`].
    pub fn close_for_transfer(&mut self, now: Duration) -> Ledger {
        let mut copy = self.clone();
        // Failure times count from this process's start and mean nothing at the other host.
        copy.failures.clear();
        self.is_closed = true;
        for account in copy.accounts.values_mut() {
            account.pending_ceiling = None;
            // An age, since the other host counts time from its own start.
            account.last_used = now.saturating_sub(account.last_used);
        }
        copy
    }

    /// Converts the ages in a transferred ledger to last-use times of this process.
    pub fn accept_transfer(&mut self, now: Duration) {
        for account in self.accounts.values_mut() {
            account.last_used = now.saturating_sub(account.last_used);
            account.open.values_mut().for_each(|it| it.since = now);
        }
    }

    /// Closes the ledger of the claim with `epoch`, and returns the records that give a new owner
    /// exact balances.
    ///
    /// Turns in progress can no longer be settled here. The next owner settles them; until it does, and at
    /// owners that don't know how to, their tokens are uncertain.
    pub fn release(&mut self, epoch: u64) -> Vec<LedgerRecord> {
        self.is_closed = true;
        let settled = self.accounts.iter().flat_map(|(program, it)| {
            let settled = LedgerRecord::Settled {
                program: program.clone(),
                budget: it.budget,
                tokens: it.spent,
                ended: Vec::new(),
            };
            let has_uncertain = it.spent < it.committed();
            let uncertain = has_uncertain.then(|| self.ceiling_record(program, it.committed()));
            let open = it.open.iter().map(|(request, open)| LedgerRecord::Open {
                program: program.clone(),
                request: request.clone(),
                grant: open.grant,
                tokens: open.tokens,
            });
            let balance = [self.unrecorded_record(program), Some(settled), uncertain];
            balance.into_iter().flatten().chain(open)
        });
        settled.chain([LedgerRecord::Released { epoch }]).collect()
    }

    /// Returns the grants of all turns in progress.
    pub fn open_grants(&self) -> Vec<GrantId> {
        self.accounts.values().flat_map(|it| it.open.values()).map(|it| it.grant).collect()
    }

    /// Removes the accounts of programs that were not used for `age`, and expired failure counts.
    pub fn expire(&mut self, now: Duration, age: Duration) {
        self.accounts.retain(|_, it| now < it.last_used + age);
        self.failures.retain(|_, (_, last)| now < *last + FAILURE_TTL);
    }
}
