//! Compares the program's state machine with a test oracle made of plain lists.
//!
//! Random steps include crashes of the owner, after which a successor replays the journal.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use rosethread_cases::{StatelessReference, StepStrategy};
use rosethread_program::{
    Admission, Budget, BudgetError, CallDescriptor, CallOutcome, Event, Exchange, Grant, Program,
    Recovery, Usage,
};
use rosethread_types::{Outcome, RequestId};

const TOKENS: u64 = 1_000;

fn grant() -> Grant {
    Grant {
        program: format!("lyra.0.{:032x}", 7).parse().unwrap(),
        class: "long".parse().unwrap(),
        model: "m".parse().unwrap(),
        budget: Budget { tokens: TOKENS, calls: 30, wall: Duration::from_secs(60), block: 150 },
        parent: None,
        created_ms: 0,
    }
}

fn request(number: u32) -> RequestId {
    format!("r{number}").parse().unwrap()
}

fn input(number: u32) -> String {
    format!("[\"{number}\"]")
}

#[derive(Clone, Debug)]
enum Step {
    /// A call; its request number and turn are relative to the next ones.
    Admit { request: i32, turn: i32, max_cost: u64, repeatable: bool },
    /// The running call ends with an answer that costs a percentage of its maximum.
    Finish { percent: u64 },
    /// The running call ends without an answer, at a percentage of its maximum cost.
    EndUnanswered { outcome: Outcome, percent: u64 },
    /// The owner crashes, and a successor rebuilds the program from the journal.
    Crash,
}

impl StepStrategy for Machine {
    type Step = Step;

    fn step_strategy() -> BoxedStrategy<Step> {
        let outcome =
            prop_oneof![Just(Outcome::NotRun), Just(Outcome::Unknown), Just(Outcome::Failed)];
        let admit = (-2..2, -1..2, 1_u64..120, any::<bool>());
        let admit = admit.prop_map(|(request, turn, max_cost, repeatable)| Step::Admit {
            request,
            turn,
            max_cost,
            repeatable,
        });
        prop_oneof![
            6 => admit,
            4 => (0_u64..=100).prop_map(|percent| Step::Finish { percent }),
            2 => (outcome, 0_u64..=100)
                .prop_map(|(outcome, percent)| Step::EndUnanswered { outcome, percent }),
            1 => Just(Step::Crash),
        ]
        .boxed()
    }
}

/// The program under test, its journal and the expected state.
struct Oracle {
    program: Program,
    journal: Vec<Event>,
    /// The finished requests, in turn order.
    finished: Vec<u32>,
    /// The running request, its maximum cost and whether it may be repeated.
    running: Option<(u32, u64, bool)>,
    /// Tokens that were spent, or may have been spent before a crash.
    spent: u64,
    /// The lowest request number that no call has started under.
    next: u32,
    /// Calls that must not be repeated and whose outcome is unknown.
    unknown: Vec<u32>,
}

impl Oracle {
    fn new() -> Oracle {
        Oracle {
            program: Program::new(grant()),
            journal: vec![Event::Claimed(grant())],
            finished: Vec::new(),
            running: None,
            spent: 0,
            next: 0,
            unknown: Vec::new(),
        }
    }

    fn admit(&mut self, relative: i32, turn: i32, max_cost: u64, repeatable: bool) {
        let number = (self.next as i32 + relative).max(0) as u32;
        let turn = (self.finished.len() as i32 + turn).max(0) as u32;
        let call = CallDescriptor::new(request(number), turn, true, &input(number), max_cost)
            .repeatable(repeatable)
            .retry(true);
        let admission = self.program.admit(&call, 1);
        match admission {
            Admission::Start => {
                assert!(self.running.is_none(), "two calls at once");
                assert_eq!(turn as usize, self.finished.len(), "out of order");
                assert!(!self.finished.contains(&number), "a finished request ran again");
                assert!(!self.unknown.contains(&number), "a request ran twice");
                if !repeatable {
                    self.journal.push(Event::Intended(request(number)));
                }
                self.running = Some((number, max_cost, repeatable));
                self.next = self.next.max(number + 1);
            }
            Admission::Join => assert_eq!(self.running.map(|it| it.0), Some(number)),
            Admission::Replay(exchange) => {
                assert!(self.finished.contains(&number));
                assert_eq!(exchange.answer, format!("answer {number}"));
            }
            Admission::ExtendLimit(limit) => {
                self.journal.push(Event::Reserved(limit));
                self.program.account.confirm_limit(limit);
            }
            Admission::Wait | Admission::Refuse(_) => (),
        }
    }

    fn finish(&mut self, percent: u64) {
        let Some((number, max_cost, _)) = self.running.take() else {
            return;
        };
        let cost = max_cost * percent / 100;
        let exchange = Exchange {
            request: request(number),
            input: input(number),
            answer: format!("answer {number}"),
            prompted: true,
            usage: Usage::default(),
        };
        let event = self.program.finish(&request(number), CallOutcome::Answered { exchange, cost });
        self.journal.extend(event);
        self.finished.push(number);
        self.spent += cost;
    }

    fn end_unanswered(&mut self, outcome: Outcome, percent: u64) {
        let Some((number, max_cost, repeatable)) = self.running.take() else {
            return;
        };
        let cost = max_cost * percent / 100;
        let ending = CallOutcome::Unanswered { outcome, cost };
        self.journal.extend(self.program.finish(&request(number), ending));
        self.spent += cost;
        if !repeatable && outcome != Outcome::NotRun {
            self.unknown.push(number);
        }
    }

    fn crash(&mut self) {
        if let Some((number, max_cost, repeatable)) = self.running.take() {
            // The target may have used all of the held tokens.
            self.spent += max_cost;
            if !repeatable {
                self.unknown.push(number);
            }
        }
        let mut recovery = Recovery::default();
        for event in self.journal.clone() {
            recovery.apply(event);
        }
        self.program = recovery.build().expect("the program was claimed");
        self.program.mark_taken_over();
    }

    fn check(&self) {
        let account = &self.program.account;
        assert!(self.spent <= account.spent, "{} spent, {account:?}", self.spent);
        assert!(account.spent + account.held <= account.journalled_limit.max(account.spent));
        assert!(account.spent + account.held <= TOKENS, "{account:?}");
        let history = self.program.history.exchanges();
        let requests: Vec<RequestId> = history.iter().map(|it| it.request.clone()).collect();
        let expected: Vec<RequestId> = self.finished.iter().map(|it| request(*it)).collect();
        assert_eq!(requests, expected);
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = Oracle;
    type Reference = StatelessReference<Machine>;

    fn init_test(_state: &()) -> Oracle {
        Oracle::new()
    }

    fn apply(mut oracle: Oracle, _state: &(), step: Step) -> Oracle {
        match step {
            Step::Admit { request, turn, max_cost, repeatable } => {
                oracle.admit(request, turn, max_cost, repeatable);
            }
            Step::Finish { percent } => oracle.finish(percent),
            Step::EndUnanswered { outcome, percent } => oracle.end_unanswered(outcome, percent),
            Step::Crash => oracle.crash(),
        }
        oracle
    }

    fn check_invariants(oracle: &Oracle, _state: &()) {
        oracle.check();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn agrees_with_the_oracle(sequential 1..80 => Machine);
}

#[test]
fn a_checkpoint_replaces_earlier_events() {
    let mut oracle = Oracle::new();
    oracle.admit(0, 0, 50, true);
    oracle.finish(100);
    oracle.admit(0, 0, 50, false);
    let mut recovery = Recovery::default();
    recovery.apply(oracle.program.checkpoint());
    let mut program = recovery.build().unwrap();
    assert_eq!(program.history, oracle.program.history);
    let call = CallDescriptor::new(request(1), 1, true, &input(1), 10).repeatable(false);
    let Admission::Refuse(refusal) = program.admit(&call, 1) else {
        panic!("a call that may have run was admitted again");
    };
    assert_eq!(refusal.outcome, Outcome::Unknown);
}

/// After a crash, exactly the journalled block counts as spent.
#[test]
fn a_crash_strands_at_most_the_block() {
    let mut oracle = Oracle::new();
    oracle.admit(0, 0, 50, true);
    oracle.finish(100);
    oracle.crash();
    assert_eq!(oracle.program.account.stranded, 100);
    assert_eq!(oracle.program.account.spent, 150);
}

#[test]
fn a_hold_beyond_the_block_needs_a_journalled_limit() {
    let mut program = Program::new(grant());
    assert_eq!(program.account.hold(150), Ok(()));
    assert_eq!(program.account.hold(1), Err(BudgetError::LimitNotJournalled { limit: 301 }));
    program.account.confirm_limit(301);
    assert_eq!(program.account.hold(1), Ok(()));
}
