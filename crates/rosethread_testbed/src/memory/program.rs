//! One caller's program in a run, with retries, duplicates and lost answers.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_fakes::{
    FakeService, FakeTargets, count_tokens, expected_completion, prompt_for_output,
};
use rosethread_membership::Contact;
use rosethread_node::{Answer, Call, CallEvent, Close, Create, Work};
use rosethread_platform::Clock;
use rosethread_program::{Exchange, Usage};
use rosethread_types::{Digest, Outcome, ProgramId, Reason, Refusal};
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    document::valid,
    memory::{
        network::Network,
        oracle::{Content, Observed, Request, executions},
    },
};

/// How long a caller goes on with one request; longer than any fault.
const PATIENCE: Duration = Duration::from_secs(60);

/// How long a caller waits for an answer before it asks again.
const ANSWER: Duration = Duration::from_secs(8);

/// The pause before a request is repeated.
const PAUSE: Duration = Duration::from_millis(200);

/// The most tokens of one answer.
const MAX_TOKENS: u64 = 40;

/// What all callers of a run share.
pub(super) struct World {
    pub(super) network: Arc<Network>,
    pub(super) targets: Arc<FakeTargets>,
    pub(super) contacts: Vec<Contact>,
    pub(super) clock: Clock,
    pub(super) observed: Mutex<Observed>,
}

impl World {
    pub(super) fn observed(&self) -> MutexGuard<'_, Observed> {
        self.observed.lock().expect("no caller panics")
    }
}

/// A program and its caller's memory of it.
pub(super) struct Driver {
    world: Arc<World>,
    random: Pcg64,
    name: String,
    id: ProgramId,
    continuation: String,
    turn: u32,
    requests: u32,
    transcript: String,
    exchanges: Vec<Exchange>,
    budget: u64,
    spent: u64,
    /// Tokens of the finished turns, counted by the caller itself.
    counted: u64,
}

/// How a request ended for its caller.
enum End {
    Answer(Answer),
    Refusal(Refusal),
}

/// Creates a program and runs its turns.
pub(super) async fn run(world: Arc<World>, name: String, seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    sleep(Duration::from_millis(random.random_range(0..8_000))).await;
    let member = if random.random::<bool>() { "lyra" } else { "donau" };
    let budget = if random.random_range(0..3) == 0 { 600 } else { 20_000 };
    let is_supplied = random.random_range(0..3) == 0;
    let create = Create {
        member: valid(member),
        class: valid(if is_supplied { "supplied" } else { "journalled" }),
        model: valid("m"),
        parent: None,
        tokens: Some(budget),
        calls: None,
        wall_ms: None,
        is_forwarded: false,
    };
    let Some((id, continuation)) = create_program(&world, &mut random, create).await else {
        world.observed().violate("no request lost", format!("{name} could not be created"));
        return;
    };
    world.observed().budgets.insert(id.clone(), budget);
    let mut driver = Driver {
        world,
        random,
        name,
        id,
        continuation,
        turn: 0,
        requests: 0,
        transcript: String::new(),
        exchanges: Vec::new(),
        budget,
        spent: 0,
        counted: 0,
    };
    driver.run_turns().await;
    driver.finish().await;
}

async fn create_program(
    world: &Arc<World>,
    random: &mut Pcg64,
    create: Create,
) -> Option<(ProgramId, String)> {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        let contact = &world.contacts[random.random_range(0..world.contacts.len())];
        let reply = world.network.create(contact, create.clone());
        if let Ok(Some(Ok(created))) = timeout(ANSWER, reply).await {
            return Some((created.program, created.continuation));
        }
        sleep(PAUSE).await;
    }
    None
}

impl Driver {
    async fn run_turns(&mut self) {
        let turns = self.random.random_range(2..7);
        for _ in 0..turns {
            let kind = self.random.random_range(0..4);
            let goes_on = match kind {
                0 => self.service().await,
                1 => self.chat(false).await,
                _ => self.chat(true).await,
            };
            if !goes_on {
                return;
            }
            sleep(Duration::from_millis(self.random.random_range(50..1_500))).await;
        }
        self.world.observed().finished_programs += 1;
    }

    async fn chat(&mut self, repeatable: bool) -> bool {
        let tokens = self.random.random_range(1..MAX_TOKENS + 10);
        let text = format!("{} turn {} request {}", self.name, self.turn, self.requests);
        let content = prompt_for_output(&text, tokens);
        let message = json!({"role": "user", "content": content}).to_string();
        let separator = if self.transcript.is_empty() { "" } else { "," };
        let prompt = format!("[{}{separator}{message}]", self.transcript);
        let expected = expected_completion(&prompt, MAX_TOKENS);
        let digest = Digest::default().chain(&[prompt.as_bytes()]);
        let input = format!("[{message}]");
        let work = Work::Model { messages: input.clone(), max_tokens: Some(MAX_TOKENS) };
        let Some(answer) = self.request(work, repeatable, Content::Prompt(digest)).await else {
            return false;
        };
        let is_cut = answer.text.len() < expected.len() && expected.starts_with(&answer.text);
        let is_short_of_budget = self.budget < self.spent + MAX_TOKENS + input.len() as u64 + 8;
        if answer.text != expected && !(is_cut && is_short_of_budget) {
            let detail = format!("turn {} of {}: {:?}", self.turn, self.id, answer.text);
            self.world.observed().violate("the whole answer to one's own request", detail);
        }
        self.counted += count_tokens(&answer.text);
        let reply = format!(
            "{{\"role\":\"assistant\",\"content\":{}}}",
            serde_json::Value::from(answer.text.as_str())
        );
        self.transcript = format!("{}{separator}{message},{reply}", self.transcript);
        self.note_answer(input, &answer, true);
        true
    }

    async fn service(&mut self) -> bool {
        let body = format!("{{\"of\":\"{}\",\"request\":{}}}", self.id, self.requests);
        let work =
            Work::Service { service: valid("tool"), path: "run".to_owned(), body: body.clone() };
        let content = Content::Body(body.clone());
        let Some(answer) = self.request(work, false, content).await else {
            return false;
        };
        if answer.text != FakeService::response_body(&body) {
            let detail = format!("service call {} of {}", self.turn, self.id);
            self.world.observed().violate("the whole answer to one's own request", detail);
        }
        self.note_answer(body, &answer, false);
        true
    }

    fn note_answer(&mut self, input: String, answer: &Answer, prompted: bool) {
        if answer.turn != self.turn {
            let detail = format!("{}: got turn {} for {}", self.id, answer.turn, self.turn);
            self.world.observed().violate("the whole answer to one's own request", detail);
        }
        if answer.spent < self.spent || self.budget < answer.spent {
            let detail = format!(
                "{} spent {} after {} of {}",
                self.id, answer.spent, self.spent, self.budget
            );
            self.world.observed().violate("never beyond the budget", detail);
        }
        if self.budget < self.counted {
            let detail = format!("{} generated {} of {}", self.id, self.counted, self.budget);
            self.world.observed().violate("never beyond the budget", detail);
        }
        self.spent = answer.spent;
        self.continuation = answer.continuation.clone();
        let request = self.request_id();
        let answer = answer.text.clone();
        let usage = Usage::default();
        self.exchanges.push(Exchange { request, input, answer, prompted, usage });
        self.turn += 1;
        self.requests += 1;
        self.world.observed().answers += 1;
    }

    fn request_id(&self) -> rosethread_types::RequestId {
        valid(&format!("r{}", self.requests))
    }

    /// Sends a request until it is answered; returns nothing if the program cannot go on.
    async fn request(&mut self, work: Work, repeatable: bool, content: Content) -> Option<Answer> {
        self.world.observed().requests.push(Request {
            program: self.id.clone(),
            turn: self.turn,
            content: content.clone(),
            repeatable,
        });
        match self.repeat(&work, repeatable, &content).await {
            Some(End::Answer(answer)) => Some(answer),
            Some(End::Refusal(refusal)) => {
                let mut observed = self.world.observed();
                if is_disowned(&refusal) {
                    let detail = format!("turn {} of {}: {refusal}", self.turn, self.id);
                    observed.violate("history never lost", detail);
                }
                if refusal.outcome == Outcome::Unknown {
                    observed.unknown_outcomes += 1;
                }
                *observed.refusals.entry(refusal.reason.code()).or_default() += 1;
                None
            }
            None => {
                let detail = format!("turn {} of {} has no end", self.turn, self.id);
                self.world.observed().violate("no request lost", detail);
                None
            }
        }
    }

    async fn repeat(&mut self, work: &Work, repeatable: bool, content: &Content) -> Option<End> {
        let start = Instant::now();
        let mut is_first = true;
        let mut from_turn = None;
        let mut last = None;
        while start.elapsed() < PATIENCE {
            // Copies of a request must say that there may be others.
            let is_doubled = self.random.random_range(0..10) == 0;
            let retry = !is_first || is_doubled;
            let call = self.call(work, repeatable, retry, from_turn);
            is_first = false;
            self.world.observed().attempts += 1;
            if is_doubled {
                let copy = self.send(call.clone());
                tokio::spawn(async move {
                    // The copy's answer is lost on its way.
                    let _ = timeout(ANSWER, copy).await;
                });
            }
            let patience = if self.random.random_range(0..12) == 0 {
                Duration::from_millis(self.random.random_range(1..300))
            } else {
                ANSWER
            };
            let sending = self.send(call);
            let refusal = match timeout(patience, sending).await {
                Ok(Some(End::Answer(answer))) => return Some(End::Answer(answer)),
                Ok(Some(End::Refusal(refusal))) => refusal,
                Ok(None) | Err(_) => {
                    sleep(PAUSE).await;
                    continue;
                }
            };
            let sending = format!("repeatable {repeatable}, retry {retry}");
            self.check_not_run(&refusal, content, &sending);
            if is_final(&refusal, repeatable) {
                return Some(End::Refusal(refusal));
            }
            from_turn = refusal.from_turn;
            sleep(refusal.retry_after.unwrap_or(PAUSE).min(Duration::from_secs(1))).await;
            last = Some(refusal);
        }
        let refusal = last?;
        let detail = format!("turn {} of {} after {PATIENCE:?}: {refusal}", self.turn, self.id);
        self.world.observed().violate("no request lost", detail);
        Some(End::Refusal(refusal))
    }

    /// Checks that "not run" is true when it is said.
    fn check_not_run(&self, refusal: &Refusal, content: &Content, sending: &str) {
        if refusal.outcome != Outcome::NotRun {
            return;
        }
        let count = executions(&self.world.targets, content);
        if count != 0 {
            let detail = format!(
                "turn {} of {} ran {count} times ({sending}): {refusal}",
                self.turn, self.id
            );
            self.world.observed().violate("not run is true", detail);
        }
    }

    fn call(&self, work: &Work, repeatable: bool, retry: bool, from: Option<u32>) -> Call {
        let supplied = from.and_then(|it| self.exchanges.get(it as usize..)).unwrap_or_default();
        Call {
            program: self.id.clone(),
            request: self.request_id(),
            turn: self.turn,
            work: work.clone(),
            repeatable,
            retry,
            deadline_ms: self.world.clock.now_ms() + ANSWER.as_millis() as u64,
            continuation: Some(self.continuation.clone()),
            supplied: supplied.to_vec(),
            hops: 0,
        }
    }

    /// Sends a call to any node; returns nothing if the answer broke off.
    fn send(&mut self, call: Call) -> impl Future<Output = Option<End>> + use<> {
        let index = self.random.random_range(0..self.world.contacts.len());
        let world = self.world.clone();
        async move {
            let mut stream = world.network.call(&world.contacts[index], call).await?;
            let mut text = String::new();
            while let Some(event) = stream.recv().await {
                match event {
                    CallEvent::Text(part) => text.push_str(&part),
                    CallEvent::Done(answer) => {
                        if answer.text != text {
                            let detail = format!("streamed {text:?}, got {:?}", answer.text);
                            world.observed().violate("the whole answer", detail);
                        }
                        return Some(End::Answer(answer));
                    }
                    CallEvent::Refused(refusal) => return Some(End::Refusal(refusal)),
                }
            }
            None
        }
    }

    /// Ends the program, or leaves it for the idle limit.
    async fn finish(&mut self) {
        if self.random.random_range(0..4) == 0 {
            return;
        }
        for _ in 0..20 {
            let index = self.random.random_range(0..self.world.contacts.len());
            let close = Close {
                program: self.id.clone(),
                continuation: Some(self.continuation.clone()),
                hops: 0,
            };
            let closing = self.world.network.close(&self.world.contacts[index], close);
            if let Ok(Some(Ok(()))) = timeout(ANSWER, closing).await {
                self.world.observed().closed.insert(self.id.clone());
                return;
            }
            sleep(Duration::from_secs(1)).await;
        }
    }
}

/// Tells whether the system denies a history that its caller has by right.
fn is_disowned(refusal: &Refusal) -> bool {
    matches!(
        refusal.reason,
        Reason::HistoryMismatch
            | Reason::StaleTurn
            | Reason::RequestMismatch
            | Reason::BadContinuation
            | Reason::UnknownProgram
            | Reason::ProgramEnded
    )
}

/// Tells whether repeating the request cannot help.
fn is_final(refusal: &Refusal, repeatable: bool) -> bool {
    let is_hopeless = matches!(
        refusal.reason,
        Reason::BadRequest
            | Reason::Forbidden
            | Reason::ProgramEnded
            | Reason::BudgetSpent
            | Reason::RequestMismatch
            | Reason::HistoryMismatch
            | Reason::BadContinuation
            | Reason::StaleTurn
    );
    // The same request may be sent again to learn its outcome: the journal lets it run once.
    let may_learn = matches!(
        refusal.reason,
        Reason::NotOwner | Reason::JournalUnavailable | Reason::HistoryNeeded
    );
    is_hopeless || (!repeatable && refusal.outcome != Outcome::NotRun && !may_learn)
}
