//! An HTTP client that uses the service as a customer's agent program does.
//!
//! It looks up the hosts for a model, passes the continuation of each answer to the next call,
//! sends turns of the history again when a node asks for them, and retries a request under the same
//! request identifier.

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

/// The delay before a retry, unless the response sets one.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The upper limit of the delay that a response can set.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The error of a call that got no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    /// What became of the call: `not-run`, `unknown` or `failed` as reported by the node, or `lost`
    /// if no node reported an outcome.
    pub outcome: String,
    /// The code of the refusal's reason, or `lost`.
    pub reason: String,
    /// A description of the error.
    pub detail: String,
}

/// The answer to a call, with its latency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResult {
    /// The complete text of the answer.
    pub text: String,
    /// Whether the text is what the fake target computes from this program's own prompt.
    pub is_expected: bool,
    /// The time from the first attempt to the first text; equal to `total` for a service.
    pub first_token: Duration,
    /// The time from the first attempt to the end of the answer.
    pub total: Duration,
    /// The number of times the request was sent.
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

/// The result of sending a request once.
enum Attempt {
    /// The complete text, and the time to its first part if it was streamed.
    Completed(String, Option<Duration>),
    /// An error response, or an error event in the stream.
    Problem(ProblemBody),
    /// No complete response, with a description of the failure.
    Failed(String),
}

#[derive(Clone, Debug, Deserialize)]
struct ProgressBody {
    continuation: String,
}

/// A client of a deployment with the API key of one member.
#[derive(Clone)]
pub struct Caller {
    http: reqwest::Client,
    key: String,
    hosts: Vec<SocketAddr>,
}

/// A program with the state that its caller keeps.
pub struct CallerProgram {
    caller: Caller,
    /// The program's identifier.
    pub id: String,
    continuation: String,
    turn: u32,
    request_count: u64,
    /// The conversation so far: the elements of the prompt's JSON array, joined by commas.
    transcript: String,
    exchanges: Vec<Exchange>,
    host: usize,
    hosts: Vec<SocketAddr>,
}

impl Caller {
    /// Returns a client with the API key `key`, which looks up hosts at any of `hosts`.
    pub fn new(http: reqwest::Client, key: String, hosts: Vec<SocketAddr>) -> Caller {
        Caller { http, key, hosts }
    }

    /// Returns the hosts to use for `model`, from the first host that answers.
    ///
    /// Falls back to the hosts that the client was created with.
    pub async fn locate(&self, model: &str) -> Vec<SocketAddr> {
        for host in &self.hosts {
            let url = format!("http://{host}/v1/locate?model={model}");
            let request = self.http.get(url).bearer_auth(&self.key);
            let Ok(response) = request.timeout(Duration::from_secs(1)).send().await else {
                continue;
            };
            let Ok(body) = response.json::<Value>().await else {
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

    /// Creates a program, and tries `hosts` in turn until `time_limit` has passed.
    ///
    /// Returns the last refusal if none of them created it.
    pub async fn create(
        &self,
        body: Value,
        hosts: &[SocketAddr],
        time_limit: Duration,
    ) -> Result<CallerProgram, CallError> {
        let start = Instant::now();
        let mut last = lost_call("no host responded".to_owned());
        for host in (0..hosts.len()).cycle() {
            if time_limit <= start.elapsed() {
                break;
            }
            let url = format!("http://{}/v1/programs", hosts[host]);
            let request = self.http.post(url).bearer_auth(&self.key).json(&body);
            match request.timeout(Duration::from_secs(5)).send().await {
                Ok(response) if response.status().is_success() => {
                    let Ok(created) = response.json::<Value>().await else {
                        continue;
                    };
                    return Ok(CallerProgram {
                        caller: self.clone(),
                        id: json_text(&created["program"]),
                        continuation: json_text(&created["continuation"]),
                        turn: 0,
                        request_count: 0,
                        transcript: String::new(),
                        exchanges: Vec::new(),
                        host,
                        hosts: hosts.to_vec(),
                    });
                }
                Ok(response) => {
                    if let Ok(problem) = response.json::<ProblemBody>().await {
                        last = call_error(&problem);
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
        Err(last)
    }
}

fn json_text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn lost_call(detail: String) -> CallError {
    CallError { outcome: "lost".to_owned(), reason: "lost".to_owned(), detail }
}

fn call_error(problem: &ProblemBody) -> CallError {
    CallError {
        outcome: problem.outcome.clone(),
        reason: problem.reason.clone(),
        detail: problem.detail.clone(),
    }
}

impl CallerProgram {
    /// Returns the sealed continuation that the next call sends.
    pub fn continuation(&self) -> &str {
        &self.continuation
    }

    /// Calls the model with one more user message, and retries until `deadline` has passed.
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
        let result = self.send_with_retries("/v1/chat/completions", &body, true, deadline).await?;
        let answer = Value::from(result.text.as_str());
        let answer = format!("{{\"role\":\"assistant\",\"content\":{answer}}}");
        self.transcript = format!("{}{separator}{message},{answer}", self.transcript);
        self.record_exchange(input, &result.text, true);
        Ok(CallResult { is_expected: result.text == expected, ..result })
    }

    /// Calls a plain service with a request that must run at most once.
    pub async fn call_service(
        &mut self,
        service: &str,
        body: &str,
        deadline: Duration,
    ) -> Result<CallResult, CallError> {
        let path = format!("/v1/services/{service}/run");
        let result = self.send_with_retries(&path, body, false, deadline).await?;
        let expected = rosethread_fakes::FakeService::response_body(body);
        self.record_exchange(body.to_owned(), &result.text, false);
        Ok(CallResult { is_expected: result.text == expected, ..result })
    }

    fn record_exchange(&mut self, input: String, answer: &str, prompted: bool) {
        let request = self.request_id().parse().expect("request identifiers are valid");
        let answer = answer.to_owned();
        let usage = Usage::default();
        self.exchanges.push(Exchange { request, input, answer, prompted, usage });
        self.turn += 1;
        self.request_count += 1;
    }

    fn request_id(&self) -> String {
        format!("r{}", self.request_count)
    }

    /// Uses a new request identifier for the next call, after a request that failed for good.
    pub fn skip_request(&mut self) {
        self.request_count += 1;
    }

    /// Sends a request until it gets an answer or a permanent refusal, or the deadline passes.
    async fn send_with_retries(
        &mut self,
        path: &str,
        body: &str,
        is_chat: bool,
        deadline: Duration,
    ) -> Result<CallResult, CallError> {
        let start = Instant::now();
        let mut attempts = 0;
        let mut from_turn = None;
        let mut last = lost_call("the deadline passed".to_owned());
        while start.elapsed() < deadline {
            let time_left = deadline - start.elapsed();
            let request_body = body.replace("HISTORY", &self.supplied_history(from_turn));
            let request =
                self.build_request(path, attempts != 0, is_chat, time_left).body(request_body);
            attempts += 1;
            let attempt = self.send_once(request, is_chat, start).await;
            let delay = match attempt {
                Attempt::Completed(text, first) => {
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
                    last = call_error(&problem);
                    if is_final(&problem, is_chat) {
                        return Err(last);
                    }
                    from_turn = problem.from_turn;
                    problem
                        .retry_after_ms
                        .map_or(RETRY_DELAY, Duration::from_millis)
                        .min(MAX_RETRY_DELAY)
                }
                Attempt::Failed(detail) => {
                    last = lost_call(detail);
                    self.host += 1;
                    Duration::from_millis(20)
                }
            };
            tokio::time::sleep(delay).await;
        }
        Err(last)
    }

    /// Returns the turns from `turn` on as JSON, or an empty array if no node asked for turns.
    fn supplied_history(&self, turn: Option<u32>) -> String {
        let Some(turn) = turn else {
            return "[]".to_owned();
        };
        let supplied = self.exchanges.get(turn as usize..).unwrap_or_default();
        serde_json::to_string(supplied).unwrap_or_default()
    }

    fn build_request(
        &self,
        path: &str,
        is_retry: bool,
        is_repeatable: bool,
        time_left: Duration,
    ) -> RequestBuilder {
        let host = self.hosts[self.host % self.hosts.len()];
        let left_ms = time_left.as_millis().max(1) as u64;
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
            .timeout(time_left + Duration::from_millis(500))
    }

    async fn send_once(
        &mut self,
        request: RequestBuilder,
        is_chat: bool,
        start: Instant,
    ) -> Attempt {
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => return Attempt::Failed(error.to_string()),
        };
        if !response.status().is_success() {
            let status = response.status();
            return match response.json::<ProblemBody>().await {
                Ok(problem) => Attempt::Problem(problem),
                Err(_) => Attempt::Failed(format!("status {status}")),
            };
        }
        if is_chat {
            self.read_stream(response, start).await
        } else {
            self.read_body(response).await
        }
    }

    async fn read_body(&mut self, response: Response) -> Attempt {
        let continuation = response.headers().get("x-rosethread-continuation");
        let continuation = continuation.and_then(|it| it.to_str().ok()).map(str::to_owned);
        match (response.text().await, continuation) {
            (Ok(text), Some(continuation)) => {
                self.continuation = continuation;
                Attempt::Completed(text, None)
            }
            _ => Attempt::Failed(
                "the response body or its continuation header is missing".to_owned(),
            ),
        }
    }

    async fn read_stream(&mut self, response: Response, start: Instant) -> Attempt {
        let mut body = response.bytes_stream();
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
                    return Attempt::Completed(text, first);
                }
            }
        }
        Attempt::Failed("the event stream ended without a final event".to_owned())
    }

    /// Closes the program, with up to four attempts, and tells whether a node confirmed it.
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
            tokio::time::sleep(RETRY_DELAY).await;
        }
        false
    }
}

/// Tells whether the refusal is permanent, so that a retry cannot succeed.
fn is_final(problem: &ProblemBody, is_repeatable: bool) -> bool {
    let is_permanent = matches!(
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
    is_permanent || (!is_repeatable && problem.outcome != "not-run")
}
