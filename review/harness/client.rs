//! The client of all cases: sends requests and turns of programs as `PROTOCOL.md` describes them.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Answer, Connection},
    record::Record,
};

/// The limits on clients in all configurations.
const LIMITS: &str = r#"{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}"#;

/// The host of all routes.
const HOST: &str = "a.example";

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// Returns a configuration with these routes and services, each a list of JSON objects.
pub fn config(routes: &str, services: &str) -> String {
    format!(r#"{{"version":7,"routes":[{routes}],"services":[{services}],"limits":{LIMITS}}}"#)
}

/// Returns a route of [`config`]; `rest` holds the fields in which routes differ.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, rest: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","route_kind":"{kind}",
        "service":"{service}","timeout_ms":{timeout_ms},"target_latency_ms":250,"priority":1,{rest}}}"#
    )
}

/// Returns a service of model servers.
pub fn engine(name: &str, capacity: u32, event_tokens: u64) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/healthz","max_conns":250,"engine":{{
        "capacity":{capacity},"kv_capacity_tokens":1022409,"tokens_per_event":{event_tokens}}}}}"#
    )
}

/// Sends a POST request on a new connection, and notes it and its answer in the record.
pub fn post(
    record: &Record,
    to: SocketAddr,
    attempt: &str,
    path: &str,
    headers: Vec<(&str, String)>,
    body: &[u8],
    timeout: Duration,
) -> Answer {
    let deadline = Instant::now() + timeout;
    let mut all = vec![
        ("Host", HOST.to_owned()),
        ("Attempt-Id", attempt.to_owned()),
        ("Deadline-Ms", timeout.as_millis().to_string()),
    ];
    all.extend(headers);
    record.line(format!("sent   {attempt} {path} to {to} body {}", body.len()));
    let answer = match Connection::open(to) {
        Ok(mut connection) => connection.call("POST", path, &all, body, deadline),
        Err(error) => Answer { end: format!("not connected: {error}"), ..Answer::default() },
    };
    let (status, events) = (answer.status, answer.events());
    record.line(format!("answer {attempt} status {status} events {events} {}", answer.end));
    answer
}

/// A turn of a program.
pub struct Turn<'a> {
    pub path: &'a str,
    pub program: &'a str,
    /// The turn that this one goes on from.
    pub previous: Option<&'a str>,
    pub budget: u64,
    pub prompt_tokens: usize,
    /// The most tokens that the turn generates.
    pub max_tokens: u64,
    /// The time until the program should be finished.
    pub finish: Duration,
    pub timeout: Duration,
    pub body: &'a [u8],
}

impl Turn<'_> {
    /// Sends the turn to the next of `hosts`, and returns its attempt id and the answer.
    pub fn send(&self, record: &Record, hosts: &[SocketAddr]) -> (String, Answer) {
        let number = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
        let attempt = format!("{number:016x}");
        let to = hosts[number as usize % hosts.len()];
        let mut headers = vec![
            ("Program-Id", self.program.to_owned()),
            ("Session-Id", format!("{}-s", self.program)),
            ("Finish-Ms", self.finish.as_millis().to_string()),
            ("Token-Budget", self.budget.to_string()),
            ("Token-Usage", format!("{},{}", self.prompt_tokens, self.max_tokens)),
            ("Prompt-Prefix", format!("{}:{}", self.program, self.prompt_tokens)),
            ("Model", "m".to_owned()),
        ];
        headers.extend(self.previous.map(|it| ("Previous-Turn", it.to_owned())));
        record.line(format!(
            "turn   {attempt} program {} previous {}",
            self.program,
            self.previous.unwrap_or("none")
        ));
        let answer = post(record, to, &attempt, self.path, headers, self.body, self.timeout);
        (attempt, answer)
    }
}

/// Runs `work` for each item, all at the same time, and returns the results in order.
pub fn run_parallel<T, R, F>(items: Vec<T>, work: F) -> Vec<R>
where
    T: Send,
    R: Send,
    F: Fn(T) -> R + Sync,
{
    let work = &work;
    thread::scope(|scope| {
        let threads: Vec<_> =
            items.into_iter().map(|item| scope.spawn(move || work(item))).collect();
        threads.into_iter().map(|it| it.join().expect("a client does not panic")).collect()
    })
}
