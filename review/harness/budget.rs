//! A machine is added after the log has dropped the claims of its partitions: two hosts grant tokens for
//! the same programs, each up to the whole budget.

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

/// How long the store keeps records, as the settings say; `retention_s` of the route is the same.
const RETENTION: Duration = Duration::from_secs(60);
const PROGRAMS: usize = 72;
/// The tokens that all turns of a program may generate.
const BUDGET: u64 = 2_000;
/// The most tokens of one turn, all of which the servers generate.
const TURN_TOKENS: u64 = 100;
const TOKENS_PER_EVENT: u64 = 10;
/// The turns of each program before the machine is added: a quarter of its budget.
const EARLY_TURNS: u64 = 5;
/// More turns than any budget holds.
const MAX_TURNS: u64 = 45;
/// How long a program goes on trying.
const PATIENCE: Duration = Duration::from_secs(30);

/// Sends turns of a program until `turns` have ended whole, a 402, or the end of patience; returns the
/// tokens that the client got, and whether the budget was said to be spent.
fn run_program(record: &Record, hosts: &[SocketAddr], program: &str, turns: u64) -> (u64, bool) {
    let until = Instant::now() + PATIENCE;
    let (mut tokens, mut done) = (0, 0);
    while done < turns && Instant::now() < until {
        let turn = Turn {
            path: "/check/2f",
            program,
            previous: None,
            budget: BUDGET,
            prompt_tokens: 1_840,
            max_tokens: TURN_TOKENS,
            finish: until.saturating_duration_since(Instant::now()),
            timeout: Duration::from_secs(3),
            body: b"the whole prompt of the turn",
        };
        let (_, answer) = turn.send(record, hosts);
        tokens += answer.events() * TOKENS_PER_EVENT;
        match answer.status {
            402 => return (tokens, true),
            200 if answer.is_complete => done += 1,
            503 => thread::sleep(answer.retry_after()),
            _ => thread::sleep(Duration::from_millis(200)),
        }
        thread::sleep(Duration::from_millis(10));
    }
    (tokens, false)
}

/// Runs other programs of a few turns, four at a time, for about this time.
fn run_others(record: &Record, hosts: &[SocketAddr], prefix: &str, time: Duration) {
    let until = Instant::now() + time;
    run_parallel((0..4).collect(), |client: u64| {
        for number in 0.. {
            if until <= Instant::now() {
                return;
            }
            run_program(record, hosts, &format!("{prefix}{client}{number:04x}"), 3);
            thread::sleep(Duration::from_millis(200));
        }
    });
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start(RETENTION);
    let servers = Servers::new(record, |_| Work {
        first: Duration::from_millis(5),
        gap: Duration::from_millis(1),
        events: TURN_TOKENS / TOKENS_PER_EVENT,
    });
    for number in 1..=4 {
        servers.start(&store, "llm", &format!("i-llm-{number}"), 32);
    }
    let rest = r#""max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":300,"retain":false,"retention_s":60.0"#;
    let routes = client::route("check", "stream", "llm", 3_000, rest);
    let config = client::config(&routes, &client::engine("llm", 32, TOKENS_PER_EVENT));
    let deployment = Deployment { hosts: 3, spares: 1, retention_s: RETENTION.as_secs() };
    let mut hosts = case.start_hosts(&store, &config, deployment)?;
    let mut fronts: Vec<SocketAddr> = hosts.iter().map(|it| it.front()).collect();

    record.say("the deployment runs for longer than the store keeps records".to_owned());
    run_others(record, &fronts, "77d2", RETENTION + Duration::from_secs(8));

    let programs: Vec<String> = (0..PROGRAMS).map(|it| format!("3fa8{it:02x}")).collect();
    let early =
        run_parallel(programs.clone(), |it| run_program(record, &fronts, &it, EARLY_TURNS).0);
    let expected = EARLY_TURNS * TURN_TOKENS;
    record.say(format!("{PROGRAMS} programs have got {expected} tokens each"));
    if early.iter().any(|it| *it != expected) {
        return Err("the first turns were not all served".to_owned());
    }
    if case.is_troubled {
        let added = hosts[0].add(3)?;
        case.wait_until_ready(&added)?;
        record.say(format!("{} was added to the system", added.name));
        fronts.push(added.front());
        hosts.push(added);
    }
    // Longer than `contact_ms`.
    run_others(record, &fronts, "88e3", Duration::from_secs(4));
    let late = run_parallel(programs.clone(), |it| run_program(record, &fronts, &it, MAX_TURNS));
    let mut broken = 0;
    for ((program, early), (tokens, is_spent)) in programs.iter().zip(early).zip(late) {
        let total = early + tokens;
        let is_broken = BUDGET + TURN_TOKENS < total;
        record.say(format!(
            "program {program}: {total} tokens of a budget of {BUDGET}, told that it is spent: {is_spent}{}",
            if is_broken { " BUDGET" } else { "" }
        ));
        broken += usize::from(is_broken);
    }
    let most = BUDGET + TURN_TOKENS;
    record.say(format!(
        "{broken} of {PROGRAMS} programs got more than their budget and one turn, {most}"
    ));
    Ok(broken != 0)
}
