//! Turns are stored for longer than programs need them, until the store takes no more records. From then
//! on turns that continue others are refused, although the store, the hosts and the servers are sound.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict, client,
    client::{Turn, run_parallel},
    host::Deployment,
    record::Record,
    store::Store,
    target::{Servers, Work},
};

/// The turns that all clients together send in a second.
const TURNS_PER_S: u64 = 50;
const CLIENTS: u64 = 25;
/// The input of a turn: with the trouble the largest of the sheet, without it the sheet's mean.
const LARGE_INPUT: usize = 100_000;
const USUAL_INPUT: usize = 17_000;
/// The longest time for which the clients send turns before the programs under test go on.
const FILL_TIME: Duration = Duration::from_secs(88);
/// When the programs under test send their first turns.
const FIRST_TURNS_AT: Duration = Duration::from_secs(60);
const PROGRAMS: u64 = 24;
const TRIES: u64 = 6;
const BUDGET: u64 = 300;
const TOKENS_PER_EVENT: u64 = 10;
/// The most tokens of a first turn, and of the turn after it.
const FIRST_TOKENS: u64 = 50;
const NEXT_TOKENS: u64 = 100;

/// A first turn of a program, or the one after it.
fn turn<'a>(
    program: &'a str,
    previous: Option<&'a str>,
    max_tokens: u64,
    finish: Duration,
    body: &'a [u8],
) -> Turn<'a> {
    let timeout = Duration::from_secs(3);
    let prompt_tokens = body.len() / 4;
    let path = "/review/4b";
    Turn {
        path,
        program,
        previous,
        budget: BUDGET,
        prompt_tokens,
        max_tokens,
        finish,
        timeout,
        body,
    }
}

/// Sends first turns of new programs, with pauses, until `is_over`; returns their attempt ids.
fn send_first_turns(
    record: &Record,
    hosts: &[SocketAddr],
    client: u64,
    input: usize,
    is_over: &AtomicBool,
) -> Vec<(String, Instant, bool)> {
    let pause = Duration::from_secs(CLIENTS) / TURNS_PER_S as u32;
    let mut sent = Vec::new();
    let body = vec![b'i'; input];
    let mut next = Instant::now() + pause.mul_f64(client as f64 / CLIENTS as f64);
    for number in 0_u64.. {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next = (next + pause).max(Instant::now());
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let program = format!("{:06x}", 0x100_000 + client * 4_096 + number);
        let at = Instant::now();
        let turn = turn(&program, None, FIRST_TOKENS, Duration::from_secs(30), &body);
        let (attempt, answer) = turn.send(record, hosts);
        sent.push((attempt, at, answer.status == 200 && answer.is_complete));
    }
    sent
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start(Duration::from_secs(300));
    let servers = Servers::new(record, |request| {
        let usage = request.headers.get("token-usage").cloned().unwrap_or_default();
        let tokens = usage.rsplit(',').next().and_then(|it| it.parse().ok()).unwrap_or(50);
        Work {
            first: Duration::from_millis(20),
            gap: Duration::from_millis(2),
            events: tokens / TOKENS_PER_EVENT,
        }
    });
    for number in 1..=9 {
        servers.start(&store, "llm", &format!("i-llm-{number}"), 32);
    }
    let rest = r#""max_attempts":2,"sticky":true,"resumable":false,"gap_target_ms":300,"retain":true,"retention_s":60.0"#;
    let routes = client::route("review", "stream", "llm", 3_000, rest);
    let config = client::config(&routes, &client::engine("llm", 32, TOKENS_PER_EVENT));
    let deployment = Deployment { hosts: 8, spares: 0, retention_s: 300 };
    let hosts = case.start_hosts(&store, &config, deployment)?;
    let fronts: Vec<SocketAddr> = hosts.iter().map(|it| it.front()).collect();
    let input = if case.is_troubled { LARGE_INPUT } else { USUAL_INPUT };
    let is_over = Arc::new(AtomicBool::new(false));
    let started = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, fronts, is_over) = (record.clone(), fronts.clone(), is_over.clone());
            thread::spawn(move || send_first_turns(&record, &fronts, client, input, &is_over))
        })
        .collect();
    thread::sleep(FIRST_TURNS_AT);

    // The programs under test: their first turns are answered whole.
    let finish = Duration::from_secs(50);
    let usual_body = vec![b'i'; USUAL_INPUT];
    let mut programs = Vec::new();
    for number in 0..PROGRAMS {
        let program = format!("3fa8{number:02x}");
        let turn = turn(&program, None, FIRST_TOKENS, finish, &usual_body);
        let (attempt, answer) = turn.send(record, &fronts);
        if answer.status != 200 || !answer.is_complete {
            return Err(format!("the first turn of {program} was not served"));
        }
        programs.push((program, attempt, Instant::now()));
    }
    while store.usage().1 == 0 && started.elapsed() < FILL_TIME {
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(1));
    let (bytes, rejected) = store.usage();
    let seconds = started.elapsed().as_secs();
    record.say(format!(
        "after {seconds} s the store holds {} MB and has rejected {rejected} appends",
        bytes / 1_000_000
    ));

    if case.is_troubled && rejected == 0 {
        return Err("the store was not filled in time".to_owned());
    }

    // Each program goes on from its first turn.
    let window = Instant::now();
    let results = run_parallel(programs, |(program, previous, answered)| {
        let mut tries = Vec::new();
        for _ in 0..TRIES {
            let finish = finish.saturating_sub(answered.elapsed());
            let turn = turn(&program, Some(&previous), NEXT_TOKENS, finish, &usual_body);
            let (attempt, answer) = turn.send(record, &fronts);
            let is_served = answer.status == 200 && answer.is_complete;
            tries.push((attempt, answer.status, finish));
            if is_served || matches!(answer.status, 402 | 404) {
                break;
            }
            thread::sleep(answer.retry_after().min(Duration::from_millis(1_300)));
        }
        (program, tries, answered.elapsed())
    });
    is_over.store(true, Ordering::Relaxed);
    let first_turns: Vec<_> = clients.into_iter().flat_map(|it| it.join().unwrap()).collect();

    let runs = servers.runs();
    let has_run = |attempt: &String| runs.contains(attempt);
    let in_window: Vec<_> = first_turns.iter().filter(|it| window < it.1).collect();
    let reached = in_window.iter().filter(|it| has_run(&it.0)).count();
    let whole = in_window.iter().filter(|it| it.2).count();
    record.say(format!(
        "first turns since then: {} sent, {reached} reached a server, {whole} were answered whole",
        in_window.len()
    ));
    // The rule counts turns only while nine tenths of first turns reach a server.
    let is_counted = in_window.len() * 9 <= reached * 10;
    let mut broken = 0;
    for (program, tries, age) in &results {
        let reached = tries.iter().filter(|it| has_run(&it.0)).count();
        let statuses: Vec<u16> = tries.iter().map(|it| it.1).collect();
        let is_before_aim = tries.iter().all(|it| !it.2.is_zero());
        let is_kept = *age < Duration::from_secs(60);
        let is_broken = is_counted && reached == 0 && 5 <= tries.len() && is_before_aim && is_kept;
        record.say(format!(
            "program {program}: {} tries of the turn after one answered whole, statuses {statuses:?}, \
             {reached} reached a server, {} s after that answer{}",
            tries.len(),
            age.as_secs(),
            if is_broken { " LOST" } else { "" }
        ));
        broken += u64::from(is_broken);
    }
    record.say(format!("{broken} of {PROGRAMS} turns reached no server in five tries or more"));
    Ok(broken != 0)
}
