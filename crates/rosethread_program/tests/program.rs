//! The program's state machine against an oracle of plain lists, with crashes and recoveries.

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
    /// A call with a request number, relative to the next one, a relative turn and a worst case.
    Admit { request: i32, turn: i32, worst: u64, repeatable: bool },
    /// The running call ends with an answer that costs a share of its worst case.
    Finish { share: u64 },
    /// The running call ends without an answer.
    Refuse { outcome: Outcome, share: u64 },
    /// The owner dies, and a successor rebuilds the program from the journal.
    Crash,
}

impl StepStrategy for Machine {
    type Step = Step;

    fn step_strategy() -> BoxedStrategy<Step> {
        let outcome =
            prop_oneof![Just(Outcome::NotRun), Just(Outcome::Unknown), Just(Outcome::Failed)];
        let admit = (-2..2, -1..2, 1_u64..120, any::<bool>());
        let admit = admit.prop_map(|(request, turn, worst, repeatable)| Step::Admit {
            request,
            turn,
            worst,
            repeatable,
        });
        prop_oneof![
            6 => admit,
            4 => (0_u64..=100).prop_map(|share| Step::Finish { share }),
            2 => (outcome, 0_u64..=100)
                .prop_map(|(outcome, share)| Step::Refuse { outcome, share }),
            1 => Just(Step::Crash),
        ]
        .boxed()
    }
}

/// What must be true, as plain lists.
struct Oracle {
    program: Program,
    journal: Vec<Event>,
    /// The requests that finished, in order.
    finished: Vec<u32>,
    /// The running request, its worst case and whether it may be repeated.
    running: Option<(u32, u64, bool)>,
    /// Tokens spent for certain.
    spent: u64,
    next: u32,
    /// Calls that must not be repeated and have no known outcome.
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

    fn admit(&mut self, relative: i32, turn: i32, worst: u64, repeatable: bool) {
        let number = (self.next as i32 + relative).max(0) as u32;
        let turn = (self.finished.len() as i32 + turn).max(0) as u32;
        let head = CallDescriptor::new(request(number), turn, true, &input(number), worst)
            .repeatable(repeatable)
            .retry(true);
        let admission = self.program.admit(&head, 1);
        match admission {
            Admission::Start => {
                assert!(self.running.is_none(), "two calls at once");
                assert_eq!(turn as usize, self.finished.len(), "out of order");
                assert!(!self.finished.contains(&number), "a finished request ran again");
                assert!(!self.unknown.contains(&number), "a request ran twice");
                if !repeatable {
                    self.journal.push(Event::Intended(request(number)));
                }
                self.running = Some((number, worst, repeatable));
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

    fn finish(&mut self, share: u64) {
        let Some((number, worst, _)) = self.running.take() else {
            return;
        };
        let cost = worst * share / 100;
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

    fn refuse(&mut self, outcome: Outcome, share: u64) {
        let Some((number, worst, repeatable)) = self.running.take() else {
            return;
        };
        let cost = worst * share / 100;
        let finish = CallOutcome::Unanswered { outcome, cost };
        self.journal.extend(self.program.finish(&request(number), finish));
        self.spent += cost;
        if !repeatable && outcome != Outcome::NotRun {
            self.unknown.push(number);
        }
    }

    fn crash(&mut self) {
        if let Some((number, worst, repeatable)) = self.running.take() {
            // The target may have done all of the work.
            self.spent += worst;
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
            Step::Admit { request, turn, worst, repeatable } => {
                oracle.admit(request, turn, worst, repeatable);
            }
            Step::Finish { share } => oracle.finish(share),
            Step::Refuse { outcome, share } => oracle.refuse(outcome, share),
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
fn a_checkpoint_replaces_all_that_came_before() {
    let mut oracle = Oracle::new();
    oracle.admit(0, 0, 50, true);
    oracle.finish(100);
    oracle.admit(0, 0, 50, false);
    let mut recovery = Recovery::default();
    recovery.apply(oracle.program.checkpoint());
    let mut program = recovery.build().unwrap();
    assert_eq!(program.history, oracle.program.history);
    let head = CallDescriptor::new(request(1), 1, true, &input(1), 10).repeatable(false);
    let Admission::Refuse(refusal) = program.admit(&head, 1) else {
        panic!("a call that may have run was admitted again");
    };
    assert_eq!(refusal.outcome, Outcome::Unknown);
}

/// The whole journalled block counts as spent after a crash, and no more.
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
fn a_hold_needs_the_journal_beyond_the_block() {
    let mut program = Program::new(grant());
    assert_eq!(program.account.hold(150), Ok(()));
    assert_eq!(program.account.hold(1), Err(BudgetError::LimitNotJournalled { limit: 301 }));
    program.account.confirm_limit(301);
    assert_eq!(program.account.hold(1), Ok(()));
}
