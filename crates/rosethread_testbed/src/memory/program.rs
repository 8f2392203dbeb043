//! A simulated caller that runs one program, with retries, duplicate sends and dropped responses.

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
use rosethread_node::{Answer, Call, CallEvent, CallPayload, Close, Create};
use rosethread_platform::Clock;
use rosethread_program::{Exchange, Usage};
use rosethread_types::{Digest, Outcome, ProgramId, Reason, Refusal};
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    document::parse_name,
    memory::{
        network::Network,
        oracle::{Observations, RequestContent, SentRequest, count_executions},
    },
};

/// The time after which a caller stops retrying a request; longer than any fault.
const REQUEST_TIME_LIMIT: Duration = Duration::from_secs(60);

/// The time a caller waits for a response before it retries.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// The delay before a retry, unless the refusal sets one.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The token limit of one answer.
const MAX_TOKENS: u64 = 40;

/// What all callers of a run share.
pub(super) struct RunContext {
    pub(super) network: Arc<Network>,
    pub(super) targets: Arc<FakeTargets>,
    pub(super) contacts: Vec<Contact>,
    pub(super) clock: Clock,
    pub(super) observed: Mutex<Observations>,
}

impl RunContext {
    pub(super) fn observed(&self) -> MutexGuard<'_, Observations> {
        self.observed.lock().expect("no caller panics")
    }
}

/// A program with the state that its caller keeps.
pub(super) struct ProgramDriver {
    context: Arc<RunContext>,
    random: Pcg64,
    name: String,
    id: ProgramId,
    continuation: String,
    turn: u32,
    request_count: u32,
    transcript: String,
    exchanges: Vec<Exchange>,
    /// The program's token budget.
    budget: u64,
    /// The tokens spent so far, as the last answer reported them.
    spent: u64,
    /// The tokens generated in finished turns, counted by the caller itself.
    generated: u64,
}

/// The last event of a response: an answer or a refusal.
enum CallEnd {
    Answer(Answer),
    Refusal(Refusal),
}

/// Creates a program and runs its turns.
pub(super) async fn run_program(context: Arc<RunContext>, name: String, seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    sleep(Duration::from_millis(random.random_range(0..8_000))).await;
    let member = if random.random::<bool>() { "lyra" } else { "donau" };
    let budget = if random.random_range(0..3) == 0 { 600 } else { 20_000 };
    let is_supplied = random.random_range(0..3) == 0;
    let create = Create {
        member: parse_name(member),
        class: parse_name(if is_supplied { "supplied" } else { "journalled" }),
        model: parse_name("m"),
        parent: None,
        tokens: Some(budget),
        calls: None,
        wall_ms: None,
        is_forwarded: false,
    };
    let Some((id, continuation)) = create_program(&context, &mut random, create).await else {
        context.observed().record_violation(
            "every request gets a final response",
            format!("program {name} was not created"),
        );
        return;
    };
    context.observed().budgets.insert(id.clone(), budget);
    let mut driver = ProgramDriver {
        context,
        random,
        name,
        id,
        continuation,
        turn: 0,
        request_count: 0,
        transcript: String::new(),
        exchanges: Vec::new(),
        budget,
        spent: 0,
        generated: 0,
    };
    driver.run_turns().await;
    driver.close_program().await;
}

async fn create_program(
    context: &Arc<RunContext>,
    random: &mut Pcg64,
    create: Create,
) -> Option<(ProgramId, String)> {
    let start = Instant::now();
    while start.elapsed() < REQUEST_TIME_LIMIT {
        let contact = &context.contacts[random.random_range(0..context.contacts.len())];
        let response = context.network.create(contact, create.clone());
        if let Ok(Some(Ok(created))) = timeout(RESPONSE_TIMEOUT, response).await {
            return Some((created.program, created.continuation));
        }
        sleep(RETRY_DELAY).await;
    }
    None
}

impl ProgramDriver {
    /// Makes two to six calls: a quarter to a service, a quarter non-repeatable and the others
    /// repeatable model calls. Stops at the first call that fails for good.
    async fn run_turns(&mut self) {
        let turns = self.random.random_range(2..7);
        for _ in 0..turns {
            let kind = self.random.random_range(0..4);
            let can_continue = match kind {
                0 => self.call_service().await,
                1 => self.chat(false).await,
                _ => self.chat(true).await,
            };
            if !can_continue {
                return;
            }
            sleep(Duration::from_millis(self.random.random_range(50..1_500))).await;
        }
        self.context.observed().finished_programs += 1;
    }

    async fn chat(&mut self, repeatable: bool) -> bool {
        let tokens = self.random.random_range(1..MAX_TOKENS + 10);
        let text = format!("{} turn {} request {}", self.name, self.turn, self.request_count);
        let content = prompt_for_output(&text, tokens);
        let message = json!({"role": "user", "content": content}).to_string();
        let separator = if self.transcript.is_empty() { "" } else { "," };
        let prompt = format!("[{}{separator}{message}]", self.transcript);
        let expected = expected_completion(&prompt, MAX_TOKENS);
        let digest = Digest::default().chain(&[prompt.as_bytes()]);
        let input = format!("[{message}]");
        let work = CallPayload::Model { messages: input.clone(), max_tokens: Some(MAX_TOKENS) };
        let Some(answer) =
            self.send_request(work, repeatable, RequestContent::Prompt(digest)).await
        else {
            return false;
        };
        let is_truncated = answer.text.len() < expected.len() && expected.starts_with(&answer.text);
        let is_short_of_budget = self.budget < self.spent + MAX_TOKENS + input.len() as u64 + 8;
        if answer.text != expected && !(is_truncated && is_short_of_budget) {
            let detail = format!("turn {} of {}: {:?}", self.turn, self.id, answer.text);
            self.context
                .observed()
                .record_violation("an answer is complete and belongs to its request", detail);
        }
        self.generated += count_tokens(&answer.text);
        let response = format!(
            "{{\"role\":\"assistant\",\"content\":{}}}",
            serde_json::Value::from(answer.text.as_str())
        );
        self.transcript = format!("{}{separator}{message},{response}", self.transcript);
        self.record_answer(input, &answer, true);
        true
    }

    async fn call_service(&mut self) -> bool {
        let body = format!("{{\"of\":\"{}\",\"request\":{}}}", self.id, self.request_count);
        let work = CallPayload::Service {
            service: parse_name("tool"),
            path: "run".to_owned(),
            body: body.clone(),
        };
        let content = RequestContent::Body(body.clone());
        let Some(answer) = self.send_request(work, false, content).await else {
            return false;
        };
        if answer.text != FakeService::response_body(&body) {
            let detail = format!("service call {} of {}", self.turn, self.id);
            self.context
                .observed()
                .record_violation("an answer is complete and belongs to its request", detail);
        }
        self.record_answer(body, &answer, false);
        true
    }

    fn record_answer(&mut self, input: String, answer: &Answer, prompted: bool) {
        if answer.turn != self.turn {
            let detail = format!("{}: got turn {} for {}", self.id, answer.turn, self.turn);
            self.context
                .observed()
                .record_violation("an answer is complete and belongs to its request", detail);
        }
        if answer.spent < self.spent || self.budget < answer.spent {
            let detail = format!(
                "{} spent {} after {} of {}",
                self.id, answer.spent, self.spent, self.budget
            );
            self.context.observed().record_violation("programs never exceed their budget", detail);
        }
        if self.budget < self.generated {
            let detail = format!("{} generated {} of {}", self.id, self.generated, self.budget);
            self.context.observed().record_violation("programs never exceed their budget", detail);
        }
        self.spent = answer.spent;
        self.continuation = answer.continuation.clone();
        let request = self.request_id();
        let answer = answer.text.clone();
        let usage = Usage::default();
        self.exchanges.push(Exchange { request, input, answer, prompted, usage });
        self.turn += 1;
        self.request_count += 1;
        self.context.observed().answers += 1;
    }

    fn request_id(&self) -> rosethread_types::RequestId {
        parse_name(&format!("r{}", self.request_count))
    }

    /// Sends a request until it is answered, and records how it ended.
    ///
    /// Returns `None` if it was refused for good, after which the program cannot continue.
    async fn send_request(
        &mut self,
        work: CallPayload,
        repeatable: bool,
        content: RequestContent,
    ) -> Option<Answer> {
        self.context.observed().requests.push(SentRequest {
            program: self.id.clone(),
            turn: self.turn,
            content: content.clone(),
            repeatable,
        });
        match self.send_with_retries(&work, repeatable, &content).await {
            Some(CallEnd::Answer(answer)) => Some(answer),
            Some(CallEnd::Refusal(refusal)) => {
                let mut observed = self.context.observed();
                if denies_history(&refusal) {
                    let detail = format!("turn {} of {}: {refusal}", self.turn, self.id);
                    observed.record_violation("the history of a program is never lost", detail);
                }
                if refusal.outcome == Outcome::Unknown {
                    observed.unknown_outcomes += 1;
                }
                *observed.refusals.entry(refusal.reason.code()).or_default() += 1;
                None
            }
            None => {
                let detail = format!("turn {} of {} got no response at all", self.turn, self.id);
                self.context
                    .observed()
                    .record_violation("every request gets a final response", detail);
                None
            }
        }
    }

    async fn send_with_retries(
        &mut self,
        work: &CallPayload,
        repeatable: bool,
        content: &RequestContent,
    ) -> Option<CallEnd> {
        let start = Instant::now();
        let mut is_first = true;
        let mut from_turn = None;
        let mut last = None;
        while start.elapsed() < REQUEST_TIME_LIMIT {
            // Both copies of a duplicated request must be marked as a retry: either may run first.
            let is_duplicated = self.random.random_range(0..10) == 0;
            let retry = !is_first || is_duplicated;
            let call = self.build_call(work, repeatable, retry, from_turn);
            is_first = false;
            self.context.observed().attempts += 1;
            if is_duplicated {
                let copy = self.send(call.clone());
                tokio::spawn(async move {
                    // The response to the copy is dropped, as if it were lost on the network.
                    let _ = timeout(RESPONSE_TIMEOUT, copy).await;
                });
            }
            let wait = if self.random.random_range(0..12) == 0 {
                Duration::from_millis(self.random.random_range(1..300))
            } else {
                RESPONSE_TIMEOUT
            };
            let response = self.send(call);
            let refusal = match timeout(wait, response).await {
                Ok(Some(CallEnd::Answer(answer))) => return Some(CallEnd::Answer(answer)),
                Ok(Some(CallEnd::Refusal(refusal))) => refusal,
                Ok(None) | Err(_) => {
                    sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            let flags = format!("repeatable {repeatable}, retry {retry}");
            self.check_not_run(&refusal, content, &flags);
            if is_final(&refusal, repeatable) {
                return Some(CallEnd::Refusal(refusal));
            }
            from_turn = refusal.from_turn;
            sleep(refusal.retry_after.unwrap_or(RETRY_DELAY).min(Duration::from_secs(1))).await;
            last = Some(refusal);
        }
        let refusal = last?;
        let detail =
            format!("turn {} of {} after {REQUEST_TIME_LIMIT:?}: {refusal}", self.turn, self.id);
        self.context.observed().record_violation("every request gets a final response", detail);
        Some(CallEnd::Refusal(refusal))
    }

    /// Checks that no target executed a request that was refused with the outcome `not-run`.
    fn check_not_run(&self, refusal: &Refusal, content: &RequestContent, flags: &str) {
        if refusal.outcome != Outcome::NotRun {
            return;
        }
        let count = count_executions(&self.context.targets, content);
        if count != 0 {
            let detail =
                format!("turn {} of {} ran {count} times ({flags}): {refusal}", self.turn, self.id);
            self.context
                .observed()
                .record_violation("a request reported as not run was not executed", detail);
        }
    }

    fn build_call(
        &self,
        work: &CallPayload,
        repeatable: bool,
        retry: bool,
        from: Option<u32>,
    ) -> Call {
        let supplied = from.and_then(|it| self.exchanges.get(it as usize..)).unwrap_or_default();
        Call {
            program: self.id.clone(),
            request: self.request_id(),
            turn: self.turn,
            work: work.clone(),
            repeatable,
            retry,
            deadline_ms: self.context.clock.now_ms() + RESPONSE_TIMEOUT.as_millis() as u64,
            continuation: Some(self.continuation.clone()),
            supplied: supplied.to_vec(),
            hops: 0,
        }
    }

    /// Sends a call to a random node; the future returns `None` if the node is not running or the
    /// response ends early.
    fn send(&mut self, call: Call) -> impl Future<Output = Option<CallEnd>> + use<> {
        let index = self.random.random_range(0..self.context.contacts.len());
        let context = self.context.clone();
        async move {
            let mut stream = context.network.call(&context.contacts[index], call).await?;
            let mut text = String::new();
            while let Some(event) = stream.recv().await {
                match event {
                    CallEvent::Text(part) => text.push_str(&part),
                    CallEvent::Done(answer) => {
                        if answer.text != text {
                            let detail =
                                format!("streamed {text:?}, final answer {:?}", answer.text);
                            context
                                .observed()
                                .record_violation("streamed text equals the final answer", detail);
                        }
                        return Some(CallEnd::Answer(answer));
                    }
                    CallEvent::Refused(refusal) => return Some(CallEnd::Refusal(refusal)),
                }
            }
            None
        }
    }

    /// Closes the program, or abandons it to the idle timeout with a probability of 1/4.
    async fn close_program(&mut self) {
        if self.random.random_range(0..4) == 0 {
            return;
        }
        for _ in 0..20 {
            let index = self.random.random_range(0..self.context.contacts.len());
            let close = Close {
                program: self.id.clone(),
                continuation: Some(self.continuation.clone()),
                hops: 0,
            };
            let closing = self.context.network.close(&self.context.contacts[index], close);
            if let Ok(Some(Ok(()))) = timeout(RESPONSE_TIMEOUT, closing).await {
                self.context.observed().closed.insert(self.id.clone());
                return;
            }
            sleep(Duration::from_secs(1)).await;
        }
    }
}

/// Tells whether the refusal rejects a program, turn or history that is valid.
///
/// Callers of this test never send an invalid one, so such a refusal means that state was lost.
fn denies_history(refusal: &Refusal) -> bool {
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

/// Tells whether the refusal is permanent, so that a retry cannot succeed.
fn is_final(refusal: &Refusal, repeatable: bool) -> bool {
    let is_permanent = matches!(
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
    // The same request may be sent again to learn its outcome: the journal prevents a second run.
    let may_resolve = matches!(
        refusal.reason,
        Reason::NotOwner | Reason::JournalUnavailable | Reason::HistoryNeeded
    );
    is_permanent || (!repeatable && refusal.outcome != Outcome::NotRun && !may_resolve)
}
