//! Budgets over any order of grants, crashes, late owners and handovers, against a plain list of
//! what callers were handed.

use std::{collections::BTreeSet, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use rosethread_cases::{StatelessReference, StepStrategy};
use rosethread_entry::{
    EndedGrants, GrantId, GrantRequest, Ledger, LedgerRecord, Settlement, Verdict,
};
use rosethread_types::Incarnation;

/// The most tokens of one turn.
const TURN: u64 = 100;

/// The programs and their budgets, in turns.
const BUDGETS: [u64; 3] = [2, 3, 11];

/// Time plays no part in what may be granted.
const NOW: Duration = Duration::ZERO;

#[derive(Clone, Debug)]
enum Step {
    /// A turn asks an owner, which may be an old one that has not noticed.
    Ask { owner: usize, program: usize },
    /// A turn under way ends after a share of its tokens, in percent; its owner hears of it or not,
    /// and so does another one that was asked.
    End { turn: usize, share: u64, is_told: bool, other: Option<usize> },
    /// The caller of a turn leaves while the turn's request is on its way to an owner, which hears of
    /// the end first.
    Leave { owner: usize, program: usize },
    /// The caller of a turn leaves while the turn waits for a record at an owner.
    LeaveRecord { owner: usize, turn: usize },
    /// A request reaches the owner to which it was sent, or reaches it once more.
    Arrive { request: usize },
    /// An owner's queued records reach the log, unless a newer owner has claimed the shard.
    Flush { owner: usize },
    /// A new owner claims the shard.
    Claim,
    /// A new owner claims the shard after the last one has handed its accounts over.
    HandOver,
    /// An owner settles all accounts in the log and stops.
    Release,
    /// The last owner hands its ledger on to another host, which goes on without the log.
    HandOn,
}

impl StepStrategy for Budgets {
    type Step = Step;

    fn step_strategy() -> BoxedStrategy<Step> {
        prop_oneof![
            10 => (0_usize..3, 0_usize..BUDGETS.len())
                .prop_map(|(owner, program)| Step::Ask { owner, program }),
            8 => (0_usize..8, 0_u64..=100, prop::bool::weighted(0.8), prop::option::of(0_usize..3))
                .prop_map(|(turn, share, is_told, other)| Step::End { turn, share, is_told, other }),
            2 => (0_usize..3, 0_usize..BUDGETS.len())
                .prop_map(|(owner, program)| Step::Leave { owner, program }),
            2 => (0_usize..3, 0_usize..4)
                .prop_map(|(owner, turn)| Step::LeaveRecord { owner, turn }),
            4 => (0_usize..20).prop_map(|request| Step::Arrive { request }),
            6 => (0_usize..3).prop_map(|owner| Step::Flush { owner }),
            1 => Just(Step::Claim),
            1 => Just(Step::HandOver),
            1 => Just(Step::Release),
            1 => Just(Step::HandOn),
        ]
        .boxed()
    }
}

/// One owner of the shard and its records that have not reached the log.
struct Owner {
    /// The epoch under which it writes; zero if it cannot.
    epoch: u64,
    /// The epoch of the claim from which its accounts come.
    claim: u64,
    ledger: Ledger,
    ended: EndedGrants,
    /// Grants that the owner was asked for, and whose end it was not told, by program.
    awaited: BTreeSet<(usize, GrantId)>,
    queued: Vec<LedgerRecord>,
    /// Turns that wait for a ceiling among the queued records.
    waiting: Vec<(usize, GrantRequest, u64)>,
}

/// A granted turn.
struct Granted {
    owner: usize,
    program: usize,
    ask: GrantRequest,
    /// What the caller was handed; nothing while the turn is under way.
    used: Option<u64>,
}

#[derive(Default)]
struct World {
    log: Vec<LedgerRecord>,
    /// The epoch below which the log refuses appends.
    fence: u64,
    owners: Vec<Owner>,
    granted: Vec<Granted>,
    /// Requests as they were sent, with the positions of owner and program.
    sent: Vec<(usize, usize, GrantRequest)>,
    asked: u32,
    /// Whether an owner had to go by records, since it does not know what was granted before.
    has_successor: bool,
}

fn budget(program: usize) -> u64 {
    BUDGETS[program] * TURN
}

impl World {
    fn claim(&mut self, handed_over: &[LedgerRecord]) {
        let mut ledger = Ledger::default();
        for record in self.log.iter().chain(handed_over) {
            ledger.replay(record);
        }
        self.fence += 1;
        let epoch = self.fence;
        let owner = format!("node-{epoch}").parse().unwrap();
        self.log.extend(handed_over.iter().cloned());
        self.log.push(LedgerRecord::Claim { epoch, owner, run: Incarnation(epoch) });
        self.owners.push(Owner {
            epoch,
            claim: epoch,
            ledger,
            ended: EndedGrants::default(),
            awaited: BTreeSet::new(),
            queued: Vec::new(),
            waiting: Vec::new(),
        });
    }

    fn release(&mut self, owner: usize) -> Vec<LedgerRecord> {
        let it = &mut self.owners[owner];
        it.ledger.release(it.claim)
    }

    /// Returns the position of an owner, counted from the newest.
    fn owner(&self, back: usize) -> usize {
        self.owners.len() - 1 - back.min(self.owners.len() - 1)
    }

    /// Returns a new turn's request to an owner, and the owner's position.
    fn send(&mut self, back: usize, program: usize) -> (usize, GrantRequest) {
        self.asked += 1;
        let ask = GrantRequest {
            program: format!("p{program}").parse().unwrap(),
            session: "s".parse().unwrap(),
            request: format!("r{}", self.asked).parse().unwrap(),
            budget: budget(program),
            tokens: TURN,
            grant: GrantId(u64::from(self.asked)),
        };
        let owner = self.owner(back);
        self.owners[owner].awaited.insert((program, ask.grant));
        self.sent.push((owner, program, ask.clone()));
        (owner, ask)
    }

    /// Tells an owner of a turn's end.
    fn settle(&mut self, owner: usize, program: usize, settlement: &Settlement) {
        let it = &mut self.owners[owner];
        it.awaited.remove(&(program, settlement.grant));
        it.ended.insert(settlement.grant, NOW);
        it.ledger.settle(settlement, NOW);
    }

    fn ask(&mut self, owner: usize, program: usize, ask: GrantRequest) {
        let it = &mut self.owners[owner];
        if it.ended.contains(ask.grant) {
            return;
        }
        let was_granted = self.granted.iter().any(|it| it.ask.grant == ask.grant);
        match it.ledger.request_grant(&ask, NOW) {
            Verdict::Granted { .. } => {
                if let Some(tokens) = it.ledger.plan_ceiling(&ask.program, TURN) {
                    it.queued.push(it.ledger.ceiling_record(&ask.program, tokens));
                }
                if !was_granted {
                    self.granted.push(Granted { owner, program, ask, used: None });
                }
            }
            Verdict::Record(tokens) => {
                it.queued.push(it.ledger.ceiling_record(&ask.program, tokens));
                it.waiting.push((program, ask, tokens));
            }
            Verdict::Spent => {
                let ended = self.ended(program);
                assert!(budget(program) < ended + TURN, "said to be spent at {ended}");
            }
            Verdict::Uncertain | Verdict::Closed => (),
        }
    }

    fn flush(&mut self, owner: usize) {
        let it = &mut self.owners[owner];
        if it.epoch < self.fence {
            return;
        }
        let queued = std::mem::take(&mut it.queued);
        for record in &queued {
            if let LedgerRecord::Ceiling { program, tokens, .. } = record {
                it.ledger.confirm_ceiling(program, *tokens);
            }
        }
        self.log.extend(queued);
        for (program, ask, _) in std::mem::take(&mut it.waiting) {
            self.ask(owner, program, ask);
        }
    }

    /// Returns what callers were handed in turns that have ended.
    fn ended(&self, program: usize) -> u64 {
        let turns = self.granted.iter().filter(|it| it.program == program);
        turns.filter_map(|it| it.used).sum()
    }

    /// Returns what callers were handed, or may be yet.
    fn handed(&self, program: usize) -> u64 {
        let turns = self.granted.iter().filter(|it| it.program == program);
        turns.map(|it| it.used.unwrap_or(it.ask.tokens)).sum()
    }

    fn end(&mut self, turn: usize, share: u64, owners: impl FnOnce(&World, usize) -> Vec<usize>) {
        let open: Vec<usize> =
            (0..self.granted.len()).filter(|it| self.granted[*it].used.is_none()).collect();
        let Some(index) = open.get(turn % open.len().max(1)) else {
            return;
        };
        let granted = &mut self.granted[*index];
        let used = granted.ask.tokens * share / 100;
        granted.used = Some(used);
        let (owner, program) = (granted.owner, granted.program);
        let settlement = settlement(&granted.ask, used);
        for owner in owners(self, owner) {
            self.settle(owner, program, &settlement);
        }
    }

    /// Ends a turn that waits for a record, which it was never granted.
    fn leave_record(&mut self, back: usize, turn: usize) {
        let owner = self.owner(back);
        let waiting = &self.owners[owner].waiting;
        let Some((program, ask, _)) = waiting.get(turn % waiting.len().max(1)).cloned() else {
            return;
        };
        self.settle(owner, program, &settlement(&ask, 0));
    }
}

fn settlement(ask: &GrantRequest, used: u64) -> Settlement {
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

struct Budgets;

impl StateMachineTest for Budgets {
    type SystemUnderTest = World;
    type Reference = StatelessReference<Budgets>;

    fn init_test(_state: &()) -> World {
        let mut world = World::default();
        world.claim(&[]);
        world
    }

    fn apply(mut world: World, _state: &(), step: Step) -> World {
        match step {
            Step::Ask { owner, program } => {
                let (owner, ask) = world.send(owner, program);
                world.ask(owner, program, ask);
            }
            Step::End { turn, share, is_told, other } => world.end(turn, share, |world, owner| {
                let other = other.map(|it| world.owner(it)).filter(|it| *it != owner);
                is_told.then_some(owner).into_iter().chain(other).collect()
            }),
            Step::Leave { owner, program } => {
                let (owner, ask) = world.send(owner, program);
                world.settle(owner, program, &settlement(&ask, 0));
            }
            Step::LeaveRecord { owner, turn } => world.leave_record(owner, turn),
            Step::Arrive { request } => {
                let back = request % world.sent.len().max(1);
                if let Some((owner, program, ask)) = world.sent.iter().rev().nth(back).cloned() {
                    world.ask(owner, program, ask);
                }
            }
            Step::Flush { owner } => {
                let owner = world.owner(owner);
                world.flush(owner);
            }
            Step::Claim => {
                world.has_successor = true;
                world.claim(&[]);
            }
            Step::HandOver => {
                world.has_successor = true;
                let last = world.owner(0);
                let records = world.release(last);
                world.claim(&records);
            }
            Step::HandOn => {
                let last = world.owner(0);
                let ledger = world.owners[last].ledger.close_for_transfer(NOW);
                // An epoch of zero can write nothing: the log has seen a higher one.
                let claim = world.owners[last].claim;
                let awaited = world.owners[last].awaited.clone();
                world.owners.push(Owner {
                    epoch: 0,
                    claim,
                    ledger,
                    ended: EndedGrants::default(),
                    awaited,
                    queued: Vec::new(),
                    waiting: Vec::new(),
                });
            }
            Step::Release => {
                let last = world.owner(0);
                let records = world.release(last);
                world.owners[last].queued.extend(records);
                world.flush(last);
            }
        }
        world
    }

    fn check_invariants(world: &World, _state: &()) {
        for program in 0..BUDGETS.len() {
            let (handed, budget) = (world.handed(program), budget(program));
            // What users allow to one that does not know.
            let slack = if world.has_successor { TURN } else { 0 };
            assert!(handed <= budget + slack, "program {program} got {handed} of {budget}");
            let label = format!("p{program}").parse().unwrap();
            for it in &world.owners {
                let turns = it.awaited.iter().filter(|(of, _)| *of == program).count();
                let held = it.ledger.balance(&label).turns;
                assert!(held <= turns, "program {program}: {held} turns hold tokens of {turns}");
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        cases: 3_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_order_of_events_overspends(sequential 1..80 => Budgets);
}

/// One owner grants turns of which each uses half; it dies before `dies_at`, and a successor goes on.
fn check_takeover(turns: u64, dies_at: u64, has_log: bool) {
    let mut world = World::default();
    let program = BUDGETS.iter().position(|it| *it == turns).unwrap();
    world.claim(&[]);
    for turn in 0..turns {
        if turn == dies_at {
            world.claim(&[]);
        }
        let owner = world.owner(0);
        let ask = GrantRequest {
            program: "p".parse().unwrap(),
            session: "s".parse().unwrap(),
            request: format!("r{turn}").parse().unwrap(),
            budget: turns * TURN,
            tokens: TURN,
            grant: GrantId(turn),
        };
        world.ask(owner, program, ask);
        if has_log {
            world.flush(owner);
        }
        assert_eq!(world.granted.len() as u64, turn + 1, "turn {turn} was not granted");
        world.end(0, 50, |_, owner| vec![owner]);
    }
}

rosethread_cases::cases!(check_takeover {
    two_turns_finish_after_a_takeover: (2, 1, true);
    three_turns_finish_after_a_takeover_at_the_second: (3, 1, true);
    three_turns_finish_after_a_takeover_at_the_third: (3, 2, true);
    eleven_turns_finish_after_an_early_takeover: (11, 2, true);
    eleven_turns_finish_after_a_late_takeover: (11, 9, true);
    a_new_program_finishes_under_a_successor: (3, 0, true);
});

/// Lets a host that has been up for an hour claim the shard of a spent program, tidy up a while
/// later, and decide about another turn.
fn check_tidied(after_s: u64, is_known: bool) {
    let (up, age) = (Duration::from_secs(3_600), Duration::from_secs(120));
    let ask = GrantRequest {
        program: "p".parse().unwrap(),
        session: "s".parse().unwrap(),
        request: "r".parse().unwrap(),
        budget: 2 * TURN,
        tokens: TURN,
        grant: GrantId(1),
    };
    let owner = "node-1".parse().unwrap();
    let (program, budget) = (ask.program.clone(), ask.budget);
    let mut ledger = Ledger::default();
    ledger.replay(&LedgerRecord::Claim { epoch: 1, owner, run: Incarnation(1) });
    ledger.replay(&LedgerRecord::Ceiling { program, budget, spent: budget, tokens: budget });
    ledger.reset_last_used(up);
    let now = up + Duration::from_secs(after_s);
    ledger.expire(now, age);
    assert_eq!(ledger.len(), usize::from(is_known));
    assert_eq!(ledger.request_grant(&ask, now) == Verdict::Spent, is_known);
}

rosethread_cases::cases!(check_tidied {
    // Guards against BUDGET: a host that had been up for long forgot all that it had just recovered.
    a_spent_program_is_known_at_the_tidying_after_a_claim: (2, true);
    // Guards against BUDGET: a recovered account is remembered for less than one that was used.
    a_spent_program_is_known_until_its_age_after_a_claim: (119, true);
    // Guards against accounts that are never forgotten.
    a_recovered_program_without_turns_is_forgotten: (120, false);
});

/// A call asks under one grant after the other, and the grants end in the order of `ends`.
fn check_retry(asks: &[u64], ends: &[u64], is_held: bool) {
    let mut ledger = Ledger::default();
    let ask = |grant: u64| GrantRequest {
        program: "p".parse().unwrap(),
        session: "s".parse().unwrap(),
        request: "r".parse().unwrap(),
        budget: TURN,
        tokens: TURN,
        grant: GrantId(grant),
    };
    for grant in asks {
        assert!(matches!(ledger.request_grant(&ask(*grant), NOW), Verdict::Granted { .. }));
    }
    for grant in ends {
        ledger.settle(&settlement(&ask(*grant), 0), NOW);
    }
    let balance = ledger.balance(&"p".parse().unwrap());
    assert_eq!(balance.open, if is_held { TURN } else { 0 });
}

rosethread_cases::cases!(check_retry {
    a_turn_that_asks_twice_holds_its_tokens_once: (&[1, 1], &[], true);
    a_turn_that_asked_twice_returns_its_tokens: (&[1, 1], &[1], false);
    // Guards against tokens without an account: the end of a try returned those of its retry.
    a_retry_keeps_its_tokens_when_the_earlier_try_ends: (&[1, 2], &[1], true);
    a_retry_returns_its_tokens: (&[1, 2], &[1, 2], false);
    the_end_of_a_try_that_held_nothing_returns_nothing: (&[1], &[2], true);
});
