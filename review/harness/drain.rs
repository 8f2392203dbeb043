//! A host gets SIGTERM, still takes requests later on, and ends before it has answered them.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict, client,
    client::{Turn, run_parallel},
    get,
    host::{Deployment, SIGTERM},
    http::Answer,
    record::Record,
    store::Store,
    target::{Servers, Work},
};

/// `grace_period_s`.
const GRACE: Duration = Duration::from_secs(8);
/// `timeout_ms` of the route, which is the clients' deadline too.
const TIMEOUT: Duration = Duration::from_secs(3);
/// The events of a stream and the pauses between them; pauses up to 300 ms are on time.
const EVENTS: u64 = 12;
const GAP: Duration = Duration::from_millis(260);
/// When the turns are sent, after the SIGTERM; each takes 2.92 s at its server.
const SEND_TIMES_MS: [u64; 8] = [4_640, 4_655, 4_670, 4_685, 4_700, 4_715, 4_730, 4_745];

/// Begins the names of the programs whose turns are sent before the SIGTERM, and take little time.
const EARLY_PREFIX: &str = "3000";

/// Sends the first turn of a program, and returns its attempt id, the answer, and when that ended.
fn send(record: &Record, to: SocketAddr, program: &str) -> (String, Answer, Instant) {
    let turn = Turn {
        path: "/review/2f",
        program,
        previous: None,
        budget: 4_600,
        prompt_tokens: 1_840,
        max_tokens: 575,
        finish: Duration::from_secs(20),
        timeout: TIMEOUT,
        body: b"what the editor says in this turn",
    };
    let (attempt, answer) = turn.send(record, &[to]);
    (attempt, answer, Instant::now())
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start(Duration::from_secs(300));
    let servers = Servers::new(record, |request| {
        let program = request.headers.get("program-id").cloned().unwrap_or_default();
        let is_early = program.starts_with(EARLY_PREFIX);
        let gap = if is_early { Duration::from_millis(20) } else { GAP };
        Work { first: Duration::from_millis(60), gap, events: EVENTS }
    });
    for number in 1..=4 {
        servers.start(&store, "llm", &format!("i-llm-{number}"), 32);
    }
    let rest = r#""max_attempts":2,"sticky":true,"resumable":false,"gap_target_ms":300,"retain":true,"retention_s":60.0"#;
    let routes = client::route("review", "stream", "llm", TIMEOUT.as_millis() as u64, rest);
    let config = client::config(&routes, &client::engine("llm", 32, 18));
    let deployment = Deployment { hosts: 3, spares: 0, retention_s: 300 };
    let mut hosts = case.start_hosts(&store, &config, deployment)?;
    let to = hosts[0].front();
    for number in 0..4 {
        let (_, answer, _) = send(record, to, &format!("{EARLY_PREFIX}{number:02x}"));
        if !answer.is_complete || answer.status != 200 {
            return Err(format!("a turn before the SIGTERM was not served: {}", answer.end));
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
    let (results, ended) = thread::scope(|scope| {
        let clients = scope.spawn(|| {
            run_parallel((0..).zip(SEND_TIMES_MS).collect(), |(number, at): (u64, u64)| {
                let until = term + Duration::from_millis(at);
                thread::sleep(until.saturating_duration_since(Instant::now()));
                send(record, to, &format!("4000{number:02x}"))
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
    for (attempt, answer, ended) in results {
        let was_run = runs.contains(&attempt);
        // The excuses of the rule: the client's deadline and the route's timeout, which are the same
        // here, were not reached, and the request was sent later than 3 s after the SIGTERM.
        let is_in_time = ended.duration_since(answer.sent) < TIMEOUT;
        let sent_at = answer.sent.duration_since(term);
        let is_planned = ended.duration_since(term) < GRACE + Duration::from_secs(1);
        let is_lost = was_run
            && !answer.is_complete
            && is_in_time
            && Duration::from_secs(3) < sent_at
            && is_planned;
        record.say(format!(
            "{attempt}: sent {} ms after the SIGTERM, run by a server: {was_run}, status {}, events {} of \
             {EVENTS}, ended at {} ms, after {} ms of {}: {}{}",
            sent_at.as_millis(),
            answer.status,
            answer.events(),
            ended.duration_since(term).as_millis(),
            ended.duration_since(answer.sent).as_millis(),
            TIMEOUT.as_millis(),
            answer.end,
            if is_lost { " LOST" } else { "" }
        ));
        lost += u64::from(is_lost);
    }
    record.say(format!(
        "{lost} of {} turns that servers ran ended without a complete answer",
        SEND_TIMES_MS.len()
    ));
    Ok(lost != 0)
}
