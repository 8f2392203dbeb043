//! One shard's log and its owners, with a plain list of the tokens that callers received.

use std::collections::BTreeSet;

use rosethread_entry::{
    EndedGrants, GrantId, GrantRequest, HeldGrant, HeldState, Ledger, LedgerRecord, QueuedCeiling,
    Settlement, Verdict,
};
use rosethread_types::{Incarnation, ProgramLabel};

use crate::{BUDGETS, LATER, NOW, TURN_TOKENS};

/// One owner of the shard, current or former, with its records that have not reached the log.
pub struct Owner {
    /// The epoch under which it writes to the log; zero if it cannot write.
    pub epoch: u64,
    /// The epoch of the claim from which its accounts come.
    pub claim: u64,
    pub ledger: Ledger,
    pub ended: EndedGrants,
    /// Grants, by program, that the owner was asked for and for which it received no settlement.
    pub unsettled: BTreeSet<(usize, GrantId)>,
    /// The records that have not reached the log; those of one entry are appended together.
    pub queued: Vec<(Option<QueuedCeiling>, Vec<LedgerRecord>)>,
    /// Turns that wait for a queued ceiling: the program and the request.
    pub waiting: Vec<(usize, GrantRequest)>,
}

impl Owner {
    /// Queues the ceiling that `plan` returns, if it returns one.
    fn queue(&mut self, program: &ProgramLabel, plan: impl FnOnce(&Ledger) -> Option<u64>) {
        if let Some(tokens) = plan(&self.ledger) {
            let (queued, records) = self.ledger.queue_ceiling(program, tokens);
            self.queued.push((Some(queued), records));
        }
    }
}

/// A granted turn.
pub struct Granted {
    pub owner: usize,
    pub program: usize,
    pub ask: GrantRequest,
    /// The tokens that the caller received; none while the turn is in progress.
    pub used: Option<u64>,
    /// What the carrier holds, if the owner told it the claim; it is held until the end of the test.
    pub held: Option<HeldGrant>,
}

/// One shard's log and all its owners.
#[derive(Default)]
pub struct Shard {
    pub log: Vec<LedgerRecord>,
    /// The epoch below which the log refuses appends.
    pub fence: u64,
    pub owners: Vec<Owner>,
    pub granted: Vec<Granted>,
    /// Requests as they were sent, with the positions of owner and program.
    pub sent: Vec<(usize, usize, GrantRequest)>,
    pub request_count: u32,
    /// The grants that were settled at an owner with an open ledger; held ones once the log has that.
    pub settled: BTreeSet<GrantId>,
    /// Whether an owner has claimed the shard after another one, so that it knows earlier grants
    /// only from records.
    pub has_takeover: bool,
    /// Whether an owner has taken turns in progress for lost.
    pub has_lost_turns: bool,
    /// Whether the turns that are sent from now on are stored.
    pub is_stored: bool,
}

/// Appends records to the log, and notes which grants are settled by them.
fn append<'a>(
    log: &mut Vec<LedgerRecord>,
    settled: &mut BTreeSet<GrantId>,
    records: impl IntoIterator<Item = &'a LedgerRecord>,
) {
    for record in records {
        match record {
            LedgerRecord::Settled { ended, .. } => settled.extend(ended),
            // Released before the owner knew that the log has the settlement.
            LedgerRecord::Open { grant, .. } => drop(settled.remove(grant)),
            _ => (),
        }
        log.push(record.clone());
    }
}

pub fn budget_of(program: usize) -> u64 {
    BUDGETS[program] * TURN_TOKENS
}

impl Shard {
    /// Adds an owner that claims the shard with a higher epoch, and with accounts handed over to it.
    pub fn claim(&mut self, handed_over: &[LedgerRecord]) {
        let mut ledger = Ledger::default();
        for record in self.log.iter().chain(handed_over) {
            ledger.replay(record);
        }
        append(&mut self.log, &mut self.settled, handed_over);
        let unsettled = self.unsettled_grants(&ledger);
        ledger.set_settled_by(LATER);
        self.fence += 1;
        let epoch = self.fence;
        ledger.set_epoch(epoch);
        let owner = format!("node-{epoch}").parse().unwrap();
        self.log.push(LedgerRecord::Claim { epoch, owner, run: Incarnation(epoch) });
        self.log.push(LedgerRecord::Bounded { epoch });
        self.owners.push(Owner {
            epoch,
            claim: epoch,
            ledger,
            ended: EndedGrants::default(),
            unsettled,
            queued: Vec::new(),
            waiting: Vec::new(),
        });
    }

    /// Returns the grants of turns that were in progress as the last owner closed its ledger, and are still to
    /// be settled at the next one, which has `ledger`.
    pub fn unsettled_grants(&self, ledger: &Ledger) -> BTreeSet<(usize, GrantId)> {
        let open: BTreeSet<GrantId> =
            ledger.open_grants().into_iter().filter(|it| !self.settled.contains(it)).collect();
        let sent = self.sent.iter().map(|(_, program, ask)| (*program, ask.grant));
        sent.filter(|(_, grant)| open.contains(grant)).collect()
    }

    pub fn release(&mut self, owner: usize) -> Vec<LedgerRecord> {
        let it = &mut self.owners[owner];
        it.ledger.release(it.claim)
    }

    /// Returns the position of the owner that is `back` places before the newest, or of the first.
    pub fn position(&self, back: usize) -> usize {
        self.owners.len() - 1 - back.min(self.owners.len() - 1)
    }

    /// Sends a new turn's request to an owner, and returns the owner's position and the request.
    pub fn send(&mut self, back: usize, program: usize, tokens: u64) -> (usize, GrantRequest) {
        self.request_count += 1;
        let ask = GrantRequest {
            program: format!("p{program}").parse().unwrap(),
            session: "s".parse().unwrap(),
            request: format!("r{}", self.request_count).parse().unwrap(),
            budget: budget_of(program),
            tokens,
            grant: GrantId(u64::from(self.request_count)),
            is_stored: self.is_stored,
        };
        let owner = self.position(back);
        self.owners[owner].unsettled.insert((program, ask.grant));
        self.sent.push((owner, program, ask.clone()));
        (owner, ask)
    }

    /// Delivers a turn's settlement to an owner.
    pub fn settle(&mut self, owner: usize, program: usize, settlement: &Settlement) {
        let it = &mut self.owners[owner];
        it.unsettled.remove(&(program, settlement.grant));
        it.ended.insert(settlement.grant, NOW);
        if it.ledger.settle(settlement, NOW) {
            self.settled.insert(settlement.grant);
            let program = &settlement.program;
            it.queue(program, |ledger| ledger.plan_settled_ceiling(program));
        }
    }

    /// Delivers the settlement of a held grant to an owner.
    pub fn settle_held(
        &mut self,
        owner: usize,
        program: usize,
        (settlement, held): (&Settlement, HeldGrant),
    ) {
        let it = &mut self.owners[owner];
        it.ended.insert(settlement.grant, NOW);
        if it.ledger.settle_held(settlement, held, NOW) == HeldState::NotHere {
            return;
        }
        it.unsettled.remove(&(program, settlement.grant));
        let program = &settlement.program;
        it.queue(program, |ledger| ledger.plan_settled_ceiling(program));
    }

    /// Delivers a request to an owner, and checks the verdict.
    pub fn request_grant(&mut self, owner: usize, program: usize, ask: GrantRequest) {
        let it = &mut self.owners[owner];
        if it.ended.contains(ask.grant) {
            return;
        }
        let was_granted = self.granted.iter().any(|it| it.ask.grant == ask.grant);
        match it.ledger.request_grant(&ask, NOW) {
            Verdict::Granted { reserved, .. } => {
                it.queue(&ask.program, |ledger| ledger.plan_ceiling(&ask.program, ask.tokens));
                if !was_granted {
                    let held = reserved.filter(|_| ask.is_stored);
                    let held =
                        held.map(|epoch| HeldGrant { tokens: ask.tokens, epoch, is_kept: true });
                    self.granted.push(Granted { owner, program, ask, used: None, held });
                }
            }
            Verdict::Record(tokens) => {
                let (queued, records) = it.ledger.raise_ceiling(&ask.program, tokens);
                it.queued.push((Some(queued), records));
                it.waiting.push((program, ask));
            }
            Verdict::Spent => {
                let ended = self.spent_tokens(program);
                assert!(
                    budget_of(program) < ended + ask.tokens,
                    "reported as spent at {ended} tokens"
                );
            }
            Verdict::Uncertain | Verdict::Closed => (),
        }
    }

    /// Appends all queued records of an owner unless it is fenced, and repeats the requests that waited.
    pub fn flush(&mut self, owner: usize) {
        self.flush_some(owner, usize::MAX, false);
    }

    /// Appends the first `count` of an owner's queued entries unless it is fenced, and repeats the requests
    /// that waited. The owner learns of the appends in the reverse order if `is_reversed`.
    pub fn flush_some(&mut self, owner: usize, count: usize, is_reversed: bool) {
        let it = &mut self.owners[owner];
        if it.epoch < self.fence {
            return;
        }
        let mut appended: Vec<_> = it.queued.drain(..count.min(it.queued.len())).collect();
        append(&mut self.log, &mut self.settled, appended.iter().flat_map(|(_, it)| it));
        if is_reversed {
            appended.reverse();
        }
        for queued in appended.iter().filter_map(|(queued, _)| queued.as_ref()) {
            it.ledger.confirm_ceiling(queued);
        }
        for (program, ask) in std::mem::take(&mut it.waiting) {
            self.request_grant(owner, program, ask);
        }
    }

    /// Returns the tokens that callers received in turns that have ended.
    pub fn settled_tokens(&self, program: usize) -> u64 {
        let turns = self.granted.iter().filter(|it| it.program == program);
        turns.filter_map(|it| it.used).sum()
    }

    /// Returns the tokens that may count as spent: any turn may have been taken for lost, and then counts in
    /// full until its end is reported to the owner.
    fn spent_tokens(&self, program: usize) -> u64 {
        if !self.has_lost_turns {
            return self.settled_tokens(program);
        }
        self.granted.iter().filter(|it| it.program == program).map(|it| it.ask.tokens).sum()
    }

    /// Returns the tokens that callers received, or may still receive in turns in progress.
    pub fn max_spent(&self, program: usize) -> u64 {
        let turns = self.granted.iter().filter(|it| it.program == program);
        turns.map(|it| it.used.unwrap_or(it.ask.tokens)).sum()
    }

    /// Returns the most tokens that one of the program's turns may generate.
    pub fn longest_turn(&self, program: usize) -> u64 {
        let turns = self.granted.iter().filter(|it| it.program == program);
        turns.map(|it| it.ask.tokens).max().unwrap_or(0)
    }

    /// Reports the end of a turn whose grant is held to an owner, once more.
    pub fn report_held(&mut self, turn: usize, owner: usize) {
        let held: Vec<(usize, Settlement, HeldGrant)> = self
            .granted
            .iter()
            .filter_map(|it| Some((it.program, settlement(&it.ask, it.used?), it.held?)))
            .collect();
        if let Some((program, settlement, held)) = held.get(turn % held.len().max(1)) {
            self.settle_held(owner, *program, (settlement, *held));
        }
    }

    /// Ends a turn in progress, and settles it at the owners that `owners` returns, given its own.
    pub fn end(
        &mut self,
        turn: usize,
        share: u64,
        owners: impl FnOnce(&Shard, usize) -> Vec<usize>,
    ) {
        let open: Vec<usize> =
            (0..self.granted.len()).filter(|it| self.granted[*it].used.is_none()).collect();
        let Some(index) = open.get(turn % open.len().max(1)) else {
            return;
        };
        let granted = &mut self.granted[*index];
        let used = granted.ask.tokens * share / 100;
        granted.used = Some(used);
        // An owner returns at once what a turn reserved that used nothing.
        granted.held = granted.held.filter(|_| used != 0);
        let (owner, program, held) = (granted.owner, granted.program, granted.held);
        let settlement = settlement(&granted.ask, used);
        for owner in owners(self, owner) {
            match held {
                Some(held) => self.settle_held(owner, program, (&settlement, held)),
                None => self.settle(owner, program, &settlement),
            }
        }
    }

    /// Settles a turn that waits for a record and so was never granted.
    pub fn cancel_waiting(&mut self, back: usize, turn: usize) {
        let owner = self.position(back);
        let waiting = &self.owners[owner].waiting;
        let Some((program, ask)) = waiting.get(turn % waiting.len().max(1)).cloned() else {
            return;
        };
        self.settle(owner, program, &settlement(&ask, 0));
    }
}

pub fn settlement(ask: &GrantRequest, used: u64) -> Settlement {
    Settlement {
        program: ask.program.clone(),
        session: ask.session.clone(),
        request: ask.request.clone(),
        used,
        target: None,
        failed: None,
        grant: ask.grant,
    }
}
