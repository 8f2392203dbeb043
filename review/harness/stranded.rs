//! A host is killed. Programs that begin afterwards, on calm hosts, are refused the next turn again and
//! again although their budgets hold it.

use std::{
    net::SocketAddr,
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

const PROGRAMS: u64 = 36;
/// The tokens that all turns of a program may generate.
const BUDGET: u64 = 800;
/// The most tokens that a turn may generate, and those that it does generate.
const TURN_LIMIT: u64 = 100;
const TURN_TOKENS: u64 = 50;
const TOKENS_PER_EVENT: u64 = 10;
/// The turns of a program: with them its budget is not spent.
const TURNS: u64 = 14;
const TRIES: u64 = 6;
/// The time in which a program should finish.
const AIM: Duration = Duration::from_secs(40);
/// The time from the restart of the host to the first turn; `contact_ms` is 3 s.
const CALM: Duration = Duration::from_secs(8);

/// What became of a program.
struct Outcome {
    program: String,
    /// The turns that were answered whole, and the tokens of all events.
    turns: u64,
    tokens: u64,
    /// The tries of the turn that was not served.
    failed: Vec<(String, u16)>,
}

fn run_program(record: &Record, hosts: &[SocketAddr], program: String) -> Outcome {
    let started = Instant::now();
    let mut outcome = Outcome { program, turns: 0, tokens: 0, failed: Vec::new() };
    let mut previous: Option<String> = None;
    while outcome.turns < TURNS && (outcome.failed.len() as u64) < TRIES {
        let turn = Turn {
            path: "/review/4b",
            program: &outcome.program,
            previous: previous.as_deref(),
            budget: BUDGET,
            prompt_tokens: 1_840,
            max_tokens: TURN_LIMIT,
            finish: AIM.saturating_sub(started.elapsed()),
            timeout: Duration::from_secs(3),
            body: b"what the editor says in this turn",
        };
        let (attempt, answer) = turn.send(record, hosts);
        outcome.tokens += answer.events() * TOKENS_PER_EVENT;
        if answer.status == 200 && answer.is_complete {
            outcome.turns += 1;
            outcome.failed.clear();
            previous = Some(attempt);
            // The program works on the answer; its turn is settled meanwhile.
            thread::sleep(Duration::from_millis(200));
        } else {
            outcome.failed.push((attempt, answer.status));
            if matches!(answer.status, 402 | 404) {
                break;
            }
            thread::sleep(answer.retry_after().min(Duration::from_secs(1)));
        }
    }
    outcome
}

fn run_all(record: &Record, hosts: &[SocketAddr], prefix: &str) -> Vec<Outcome> {
    let programs = (0..PROGRAMS).map(|it| format!("{prefix}{it:02x}")).collect();
    run_parallel(programs, |it| run_program(record, hosts, it))
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start(Duration::from_secs(300));
    let servers = Servers::new(record, |_| Work {
        first: Duration::from_millis(20),
        gap: Duration::from_millis(5),
        events: TURN_TOKENS / TOKENS_PER_EVENT,
    });
    for number in 1..=4 {
        servers.start(&store, "llm", &format!("i-llm-{number}"), 32);
    }
    let rest = r#""max_attempts":2,"sticky":true,"resumable":false,"gap_target_ms":300,"retain":true,"retention_s":60.0"#;
    let routes = client::route("review", "stream", "llm", 3_000, rest);
    let config = client::config(&routes, &client::engine("llm", 32, TOKENS_PER_EVENT));
    let deployment = Deployment { hosts: 3, spares: 0, retention_s: 300 };
    let mut hosts = case.start_hosts(&store, &config, deployment)?;
    let fronts: Vec<SocketAddr> = hosts.iter().map(|it| it.front()).collect();
    let before = run_all(record, &fronts, "77d2");
    if before.iter().any(|it| it.turns != TURNS) {
        return Err("a program before the trouble did not end".to_owned());
    }
    record.say(format!("{PROGRAMS} programs of {TURNS} turns have ended"));
    if case.is_troubled {
        record.say("SIGKILL to front-2".to_owned());
        hosts[1].kill();
        thread::sleep(Duration::from_secs(1));
        hosts[1].start_process()?;
        case.wait_until_ready(&hosts[1])?;
        record.say("front-2 was started again".to_owned());
    }
    thread::sleep(CALM);
    record.say("new programs begin".to_owned());
    let outcomes = run_all(record, &fronts, "3fa8");
    let runs = servers.runs();
    let mut broken = 0;
    for it in &outcomes {
        let reached = it.failed.iter().filter(|(id, _)| runs.contains(id)).count();
        let holds_turn = it.tokens + TURN_LIMIT <= BUDGET;
        let is_broken = 1 <= it.turns && 5 <= it.failed.len() && reached == 0 && holds_turn;
        let statuses: Vec<u16> = it.failed.iter().map(|it| it.1).collect();
        record.say(format!(
            "program {}: {} turns, {} tokens of {BUDGET}, then statuses {statuses:?}, \
             {reached} reached a server{}",
            it.program,
            it.turns,
            it.tokens,
            if is_broken { " LOST" } else { "" }
        ));
        broken += u64::from(is_broken);
    }
    let first = outcomes.iter().filter(|it| 1 <= it.turns).count();
    record.say(format!("first turns of {first} of {PROGRAMS} programs were served"));
    record.say(format!("{broken} of {PROGRAMS} programs could not go on"));
    Ok(broken != 0 && PROGRAMS as usize * 9 <= first * 10)
}
