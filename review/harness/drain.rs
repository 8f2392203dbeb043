//! A host gets SIGTERM, still takes requests later on, and ends before it has answered them.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict, client,
    client::run_parallel,
    get,
    host::{Deployment, SIGTERM},
    http::Answer,
    record::Record,
    store::Store,
    target::{Servers, Work},
};

/// `grace_period_s`.
const GRACE: Duration = Duration::from_secs(8);
/// The pauses between the 14 events of a stream; pauses up to 400 ms are on time.
const GAP: Duration = Duration::from_millis(235);
const EVENTS: u64 = 14;
const STREAM_TIMEOUT: Duration = Duration::from_secs(4);
/// The time that an unsafe request takes at the server, and the time that it has.
const WORK: Duration = Duration::from_millis(3_100);
const INVOICE_TIMEOUT: Duration = Duration::from_secs(6);
/// When the requests are sent, after the SIGTERM.
const SEND_TIMES_MS: [u64; 6] = [4_450, 4_480, 4_510, 4_540, 4_570, 4_600];

/// Marks the requests that are sent before the SIGTERM, which take little time.
const EARLY_PREFIX: &str = "3000";

/// Sends a request and returns the answer and when it ended.
fn send(record: &Record, to: SocketAddr, attempt: &str, is_stream: bool) -> (Answer, Instant) {
    let (path, headers, timeout) = if is_stream {
        let headers = vec![
            ("Token-Usage", "1460,252".to_owned()),
            ("Prompt-Prefix", format!("5c1e07a2:1200,{attempt}:260")),
            ("Model", "m".to_owned()),
        ];
        ("/plan/2f", headers, STREAM_TIMEOUT)
    } else {
        ("/invoice/3c", Vec::new(), INVOICE_TIMEOUT)
    };
    let answer = client::post(record, to, attempt, path, headers, b"a request", timeout);
    (answer, Instant::now())
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start(Duration::from_secs(300));
    let servers = Servers::new(record, |request| {
        let attempt = request.headers.get("attempt-id").cloned().unwrap_or_default();
        let is_early = attempt.starts_with(EARLY_PREFIX);
        if request.path.starts_with("/plan/") {
            let gap = if is_early { Duration::from_millis(20) } else { GAP };
            Work::Stream { first: Duration::from_millis(60), gap, events: EVENTS }
        } else {
            Work::Whole(if is_early { Duration::from_millis(100) } else { WORK })
        }
    });
    for (service, name) in
        [("llm", "i-llm-1"), ("llm", "i-llm-2"), ("app", "i-app-1"), ("app", "i-app-2")]
    {
        servers.start(&store, service, name, 24);
    }
    let rest = r#""max_attempts":1,"sticky":true,"resumable":true,"gap_target_ms":400"#;
    let plan = client::route("plan", "stream", "llm", STREAM_TIMEOUT.as_millis() as u64, rest);
    let invoice_ms = INVOICE_TIMEOUT.as_millis() as u64;
    let invoice = client::route("invoice", "unsafe", "app", invoice_ms, r#""max_attempts":1"#);
    let app = r#"{"name":"app","health_path":"/healthz","max_conns":100}"#;
    let services = format!("{},{app}", client::engine("llm", 24, 18));
    let config = client::config(&format!("{plan},{invoice}"), &services);
    let deployment = Deployment { hosts: 3, spares: 0, retention_s: 300 };
    let mut hosts = case.start_hosts(&store, &config, deployment)?;
    let to = hosts[0].front();
    for number in 0..4 {
        let attempt = format!("{EARLY_PREFIX}{number:012x}");
        let (answer, _) = send(record, to, &attempt, number % 2 == 0);
        if !answer.is_complete || answer.status != 200 {
            return Err(format!("a request before the SIGTERM was not served: {}", answer.end));
        }
    }
    // No disruption for longer than `contact_ms`.
    thread::sleep(Duration::from_secs(4));
    let resolved = get(hosts[1].directory(), "/v1/resolve?name=a.example&region=r&zone=zone-a");
    let list = String::from_utf8_lossy(&resolved.body).into_owned();
    record.say(format!("the clients ask where to connect: {list}"));
    if !list.contains(&to.to_string()) {
        return Err("the directory does not name front-1".to_owned());
    }
    let term = Instant::now();
    if case.is_troubled {
        record.say("SIGTERM to front-1".to_owned());
        hosts[0].signal(SIGTERM);
    }
    let requests: Vec<(String, u64, bool)> = (0..)
        .zip(SEND_TIMES_MS)
        .flat_map(|(number, at): (u64, u64)| {
            let attempt = |is_stream| format!("400{}{number:012x}", u8::from(is_stream));
            [(attempt(true), at, true), (attempt(false), at, false)]
        })
        .collect();
    let (results, ended) = thread::scope(|scope| {
        let clients = scope.spawn(|| {
            run_parallel(requests, |(attempt, at, is_stream)| {
                let until = term + Duration::from_millis(at);
                thread::sleep(until.saturating_duration_since(Instant::now()));
                let result = send(record, to, &attempt, is_stream);
                (attempt, is_stream, result)
            })
        });
        // The platform ends a process that still runs after the grace period.
        let mut ended = None;
        while term.elapsed() < GRACE {
            if ended.is_none() && !hosts[0].is_running() {
                ended = Some(term.elapsed());
            }
            thread::sleep(Duration::from_millis(5));
        }
        if ended.is_none() && case.is_troubled {
            hosts[0].kill();
        }
        (clients.join().expect("no client panics"), ended)
    });
    if let Some(at) = ended {
        record.say(format!("front-1 ended {} ms after the SIGTERM", at.as_millis()));
    }
    let runs = servers.runs();
    let mut lost = 0;
    for (attempt, is_stream, (answer, ended)) in results {
        let was_run = runs.contains(&attempt);
        // The excuses of the rule: the client's deadline and the route's timeout, which are the same
        // here, were not reached, and the request was sent later than 3 s after the SIGTERM.
        let timeout = if is_stream { STREAM_TIMEOUT } else { INVOICE_TIMEOUT };
        let is_in_time = ended.duration_since(answer.sent) < timeout;
        let sent_at = answer.sent.duration_since(term);
        let is_planned = ended.duration_since(term) < GRACE + Duration::from_secs(1);
        let is_lost = was_run
            && !answer.is_complete
            && is_in_time
            && Duration::from_secs(3) < sent_at
            && is_planned;
        record.say(format!(
            "{attempt} ({}): sent {} ms after the SIGTERM, run by a server: {was_run}, status {}, \
             events {}, ended at {} ms: {}{}",
            if is_stream { "stream" } else { "unsafe" },
            sent_at.as_millis(),
            answer.status,
            answer.events(),
            ended.duration_since(term).as_millis(),
            answer.end,
            if is_lost { " LOST" } else { "" }
        ));
        lost += u64::from(is_lost);
    }
    record.say(format!("{lost} requests that servers ran ended without a complete answer"));
    Ok(lost != 0)
}
