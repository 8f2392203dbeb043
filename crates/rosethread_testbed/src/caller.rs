//! A caller: what a customer's program does to use the system.
//!
//! It asks for hosts, keeps the answer, carries the continuation from turn to turn, supplies
//! history again when asked to, and repeats requests under the same identifier.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures::StreamExt;
use reqwest::{RequestBuilder, Response};
use rosethread_fakes::expected_completion;
use rosethread_platform::SseBuffer;
use rosethread_program::{Exchange, Usage};
use serde::Deserialize;
use serde_json::{Value, json};

/// The pause before a request is repeated, unless the answer names one.
const PAUSE: Duration = Duration::from_millis(150);

/// The longest pause before a request is repeated.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    /// What is known about the call: `not-run`, `unknown` or `failed`; `lost` if nothing is.
    pub outcome: String,
    /// The reason's code.
    pub reason: String,
    /// The particulars.
    pub detail: String,
}

/// A call's answer, and how it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResult {
    /// The whole answer.
    pub text: String,
    /// Whether the answer is the one that the program's own history demands.
    pub is_expected: bool,
    /// The time from the first sending to the first text.
    pub first_token: Duration,
    /// The time from the first sending to the last text.
    pub total: Duration,
    /// How often the request was sent.
    pub attempts: u32,
}

#[derive(Deserialize)]
struct ProblemBody {
    outcome: String,
    reason: String,
    detail: String,
    retry_after_ms: Option<u64>,
    from_turn: Option<u32>,
}

enum Attempt {
    Done(String, Option<Duration>),
    Problem(ProblemBody),
    Broken(String),
}

#[derive(Clone, Debug, Deserialize)]
struct ProgressBody {
    continuation: String,
}

/// A member's access to a deployment.
#[derive(Clone)]
pub struct Caller {
    http: reqwest::Client,
    key: String,
    hosts: Vec<SocketAddr>,
}

/// A program as its caller sees it.
pub struct CallerProgram {
    caller: Caller,
    /// The program's identifier.
    pub id: String,
    continuation: String,
    turn: u32,
    requests: u64,
    /// The whole conversation: the elements of the prompt's JSON array.
    transcript: String,
    exchanges: Vec<Exchange>,
    host: usize,
    hosts: Vec<SocketAddr>,
}

impl Caller {
    /// Returns the access of the member with `key`, who knows `hosts` to ask.
    pub fn new(http: reqwest::Client, key: String, hosts: Vec<SocketAddr>) -> Caller {
        Caller { http, key, hosts }
    }

    /// Asks any host which hosts to use.
    pub async fn locate(&self, model: &str) -> Vec<SocketAddr> {
        for host in &self.hosts {
            let url = format!("http://{host}/v1/locate?model={model}");
            let request = self.http.get(url).bearer_auth(&self.key);
            let Ok(reply) = request.timeout(Duration::from_secs(1)).send().await else {
                continue;
            };
            let Ok(body) = reply.json::<Value>().await else {
                continue;
            };
            let hosts = body["hosts"].as_array().into_iter().flatten();
            let hosts: Vec<SocketAddr> =
                hosts.filter_map(|it| it["address"].as_str()?.parse().ok()).collect();
            if !hosts.is_empty() {
                return hosts;
            }
        }
        self.hosts.clone()
    }

    /// Creates a program, trying hosts until `patience` ends.
    pub async fn create(
        &self,
        body: Value,
        hosts: &[SocketAddr],
        patience: Duration,
    ) -> Result<CallerProgram, CallError> {
        let start = Instant::now();
        let mut last = lost("no host answered".to_owned());
        for host in (0..hosts.len()).cycle() {
            if patience <= start.elapsed() {
                break;
            }
            let url = format!("http://{}/v1/programs", hosts[host]);
            let request = self.http.post(url).bearer_auth(&self.key).json(&body);
            match request.timeout(Duration::from_secs(5)).send().await {
                Ok(reply) if reply.status().is_success() => {
                    let Ok(created) = reply.json::<Value>().await else {
                        continue;
                    };
                    return Ok(CallerProgram {
                        caller: self.clone(),
                        id: text_of(&created["program"]),
                        continuation: text_of(&created["continuation"]),
                        turn: 0,
                        requests: 0,
                        transcript: String::new(),
                        exchanges: Vec::new(),
                        host,
                        hosts: hosts.to_vec(),
                    });
                }
                Ok(reply) => {
                    if let Ok(problem) = reply.json::<ProblemBody>().await {
                        last = error_of(&problem);
                    }
                    tokio::time::sleep(PAUSE).await;
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
        Err(last)
    }
}

fn text_of(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn lost(detail: String) -> CallError {
    CallError { outcome: "lost".to_owned(), reason: "lost".to_owned(), detail }
}

fn error_of(problem: &ProblemBody) -> CallError {
    CallError {
        outcome: problem.outcome.clone(),
        reason: problem.reason.clone(),
        detail: problem.detail.clone(),
    }
}

impl CallerProgram {
    /// Returns the sealed continuation for the next call.
    pub fn continuation(&self) -> &str {
        &self.continuation
    }

    /// Calls the model with one more user message, until `deadline` is over.
    pub async fn chat(
        &mut self,
        content: &str,
        max_tokens: u64,
        deadline: Duration,
    ) -> Result<CallResult, CallError> {
        let message = json!({"role": "user", "content": content}).to_string();
        let input = format!("[{message}]");
        let separator = if self.transcript.is_empty() { "" } else { "," };
        let prompt = format!("[{}{separator}{message}]", self.transcript);
        let expected = expected_completion(&prompt, max_tokens);
        let body = format!(
            "{{\"messages\":{input},\"max_tokens\":{max_tokens},\"stream\":true,\
             \"rosethread_history\":HISTORY}}"
        );
        let result = self.repeat("/v1/chat/completions", &body, true, deadline).await?;
        let answer = Value::from(result.text.as_str());
        let answer = format!("{{\"role\":\"assistant\",\"content\":{answer}}}");
        self.transcript = format!("{}{separator}{message},{answer}", self.transcript);
        self.finish(input, &result.text, true);
        Ok(CallResult { is_expected: result.text == expected, ..result })
    }

    /// Calls a plain service that must not be called twice.
    pub async fn call_service(
        &mut self,
        service: &str,
        body: &str,
        deadline: Duration,
    ) -> Result<CallResult, CallError> {
        let path = format!("/v1/services/{service}/run");
        let result = self.repeat(&path, body, false, deadline).await?;
        let expected = rosethread_fakes::FakeService::response_body(body);
        self.finish(body.to_owned(), &result.text, false);
        Ok(CallResult { is_expected: result.text == expected, ..result })
    }

    fn finish(&mut self, input: String, answer: &str, prompted: bool) {
        let request = self.request_id().parse().expect("request identifiers are valid");
        let answer = answer.to_owned();
        let usage = Usage::default();
        self.exchanges.push(Exchange { request, input, answer, prompted, usage });
        self.turn += 1;
        self.requests += 1;
    }

    fn request_id(&self) -> String {
        format!("r{}", self.requests)
    }

    /// Takes up the identifier of a fresh request after one that was given up.
    pub fn skip_request(&mut self) {
        self.requests += 1;
    }

    /// Sends a request until it has an answer or a final refusal.
    async fn repeat(
        &mut self,
        path: &str,
        body: &str,
        is_chat: bool,
        deadline: Duration,
    ) -> Result<CallResult, CallError> {
        let start = Instant::now();
        let mut attempts = 0;
        let mut from_turn = None;
        let mut last = lost("the deadline passed".to_owned());
        while start.elapsed() < deadline {
            let left = deadline - start.elapsed();
            let sent = body.replace("HISTORY", &self.history_from(from_turn));
            let request = self.request(path, attempts != 0, is_chat, left).body(sent);
            attempts += 1;
            let attempt = self.attempt(request, is_chat, start).await;
            let pause = match attempt {
                Attempt::Done(text, first) => {
                    let total = start.elapsed();
                    let first_token = first.unwrap_or(total);
                    return Ok(CallResult {
                        text,
                        is_expected: true,
                        first_token,
                        total,
                        attempts,
                    });
                }
                Attempt::Problem(problem) => {
                    last = error_of(&problem);
                    if is_final(&problem, is_chat) {
                        return Err(last);
                    }
                    from_turn = problem.from_turn;
                    problem.retry_after_ms.map_or(PAUSE, Duration::from_millis).min(MAX_PAUSE)
                }
                Attempt::Broken(detail) => {
                    last = lost(detail);
                    self.host += 1;
                    Duration::from_millis(20)
                }
            };
            tokio::time::sleep(pause).await;
        }
        Err(last)
    }

    /// Returns the turns that the system asked for, as JSON.
    fn history_from(&self, turn: Option<u32>) -> String {
        let Some(turn) = turn else {
            return "[]".to_owned();
        };
        let supplied = self.exchanges.get(turn as usize..).unwrap_or_default();
        serde_json::to_string(supplied).unwrap_or_default()
    }

    fn request(
        &self,
        path: &str,
        is_retry: bool,
        is_repeatable: bool,
        left: Duration,
    ) -> RequestBuilder {
        let host = self.hosts[self.host % self.hosts.len()];
        let left_ms = left.as_millis().max(1) as u64;
        self.caller
            .http
            .post(format!("http://{host}{path}"))
            .bearer_auth(&self.caller.key)
            .header("content-type", "application/json")
            .header("x-rosethread-program", &self.id)
            .header("x-rosethread-request", self.request_id())
            .header("x-rosethread-turn", self.turn)
            .header("x-rosethread-continuation", &self.continuation)
            .header("x-rosethread-repeatable", is_repeatable.to_string())
            .header("x-rosethread-retry", is_retry.to_string())
            .header("x-rosethread-deadline-ms", left_ms)
            .timeout(left + Duration::from_millis(500))
    }

    async fn attempt(&mut self, request: RequestBuilder, is_chat: bool, start: Instant) -> Attempt {
        let reply = match request.send().await {
            Ok(reply) => reply,
            Err(error) => return Attempt::Broken(error.to_string()),
        };
        if !reply.status().is_success() {
            let status = reply.status();
            return match reply.json::<ProblemBody>().await {
                Ok(problem) => Attempt::Problem(problem),
                Err(_) => Attempt::Broken(format!("status {status}")),
            };
        }
        if is_chat { self.read_stream(reply, start).await } else { self.read_body(reply).await }
    }

    async fn read_body(&mut self, reply: Response) -> Attempt {
        let continuation = reply.headers().get("x-rosethread-continuation");
        let continuation = continuation.and_then(|it| it.to_str().ok()).map(str::to_owned);
        match (reply.text().await, continuation) {
            (Ok(text), Some(continuation)) => {
                self.continuation = continuation;
                Attempt::Done(text, None)
            }
            _ => Attempt::Broken("the answer broke off".to_owned()),
        }
    }

    async fn read_stream(&mut self, reply: Response, start: Instant) -> Attempt {
        let mut body = reply.bytes_stream();
        let mut buffer = SseBuffer::default();
        let mut text = String::new();
        let mut first = None;
        while let Some(Ok(bytes)) = body.next().await {
            buffer.push(&bytes);
            while let Some(data) = buffer.next_data() {
                let Ok(chunk) = serde_json::from_str::<Value>(&data) else {
                    continue;
                };
                if let Ok(problem) = serde_json::from_value::<ProblemBody>(chunk.clone()) {
                    return Attempt::Problem(problem);
                }
                let content = chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
                if !content.is_empty() {
                    first.get_or_insert_with(|| start.elapsed());
                    text.push_str(content);
                }
                let progress = serde_json::from_value(chunk["rosethread"].clone());
                if let Ok(ProgressBody { continuation }) = progress {
                    self.continuation = continuation;
                    return Attempt::Done(text, first);
                }
            }
        }
        Attempt::Broken("the stream broke off".to_owned())
    }

    /// Ends the program.
    pub async fn close(&mut self) -> bool {
        for _ in 0..4 {
            let host = self.hosts[self.host % self.hosts.len()];
            let request = self
                .caller
                .http
                .delete(format!("http://{host}/v1/programs/{}", self.id))
                .bearer_auth(&self.caller.key)
                .header("x-rosethread-continuation", &self.continuation)
                .timeout(Duration::from_secs(3));
            if request.send().await.is_ok_and(|it| it.status().is_success()) {
                return true;
            }
            self.host += 1;
            tokio::time::sleep(PAUSE).await;
        }
        false
    }
}

/// Tells whether repeating the request cannot help.
fn is_final(problem: &ProblemBody, is_repeatable: bool) -> bool {
    let is_hopeless = matches!(
        problem.reason.as_str(),
        "bad-request"
            | "unauthorized"
            | "forbidden"
            | "program-ended"
            | "budget-spent"
            | "history-mismatch"
            | "request-mismatch"
            | "bad-continuation"
            | "stale-turn"
    );
    is_hopeless || (!is_repeatable && problem.outcome != "not-run")
}
