//! Conversations go on for longer than the store keeps records. After the hosts were restarted in turn,
//! their next turns are never taken, although the turns before them were answered a moment ago.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict, client,
    client::{Turn, run_parallel},
    host::{Deployment, SIGTERM},
    record::Record,
    store::Store,
    target::{Servers, Work},
};

/// How long the store keeps records, as the settings say; `retention_s` of the route is the same.
const RETENTION: Duration = Duration::from_secs(60);
const PROGRAMS: u64 = 24;
/// When the programs send the first turns of their conversations, and the last one before the restarts.
const TURN_TIMES_S: [u64; 4] = [0, 16, 32, 46];
/// When the first host gets SIGTERM; the others follow.
const RESTARTS_AT: Duration = Duration::from_secs(50);
/// The pause between the restarts: the process ends and is ready again.
const GAP: Duration = Duration::from_secs(1);
const TRIES: u64 = 6;
/// The time that a program has from its first turn on; its editor pauses between the turns.
const AIM: Duration = Duration::from_secs(160);

/// A conversation, with its last turn that was answered whole.
#[derive(Clone)]
struct Program {
    name: String,
    last: Option<(String, Instant)>,
}

/// Sends one turn of each program, all at the same time, and returns the programs and their tries.
fn send_round(
    record: &Record,
    hosts: &[SocketAddr],
    programs: Vec<Program>,
    started: Instant,
) -> Vec<(Program, Vec<(String, u16)>, bool)> {
    run_parallel(programs, |mut program| {
        let mut tries = Vec::new();
        for _ in 0..TRIES {
            let previous = program.last.as_ref().map(|it| it.0.as_str());
            let turn = Turn {
                path: "/review/4b",
                program: &program.name,
                previous,
                budget: 4_600,
                prompt_tokens: 1_840,
                max_tokens: 100,
                finish: AIM.saturating_sub(started.elapsed()),
                timeout: Duration::from_secs(3),
                body: b"what the editor says in this turn",
            };
            let (attempt, answer) = turn.send(record, hosts);
            tries.push((attempt.clone(), answer.status));
            if answer.status == 200 && answer.is_complete {
                program.last = Some((attempt, Instant::now()));
                return (program, tries, true);
            }
            thread::sleep(answer.retry_after().min(Duration::from_secs(1)));
        }
        (program, tries, false)
    })
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start(RETENTION);
    let servers = Servers::new(record, |_| Work {
        first: Duration::from_millis(20),
        gap: Duration::from_millis(5),
        events: 10,
    });
    for number in 1..=4 {
        servers.start(&store, "llm", &format!("i-llm-{number}"), 32);
    }
    let rest = r#""max_attempts":2,"sticky":true,"resumable":false,"gap_target_ms":300,"retain":true,"retention_s":60.0"#;
    let routes = client::route("review", "stream", "llm", 3_000, rest);
    let config = client::config(&routes, &client::engine("llm", 32, 10));
    let deployment = Deployment { hosts: 3, spares: 0, retention_s: RETENTION.as_secs() };
    let mut hosts = case.start_hosts(&store, &config, deployment)?;
    let fronts: Vec<SocketAddr> = hosts.iter().map(|it| it.front()).collect();
    let started = Instant::now();
    let mut programs: Vec<Program> =
        (0..PROGRAMS).map(|it| Program { name: format!("3fa8{it:02x}"), last: None }).collect();
    for at in TURN_TIMES_S {
        thread::sleep(Duration::from_secs(at).saturating_sub(started.elapsed()));
        let round = send_round(record, &fronts, programs, started);
        if !round.iter().all(|it| it.2) {
            return Err("a turn before the restarts was not served".to_owned());
        }
        record.say(format!("{PROGRAMS} programs have each got an answer at {at} s"));
        programs = round.into_iter().map(|it| it.0).collect();
    }
    thread::sleep(RESTARTS_AT.saturating_sub(started.elapsed()));
    if case.is_troubled {
        for host in &mut hosts {
            record.say(format!("SIGTERM to {}", host.name));
            host.signal(SIGTERM);
            let until = Instant::now() + Duration::from_secs(8);
            while host.is_running() && Instant::now() < until {
                thread::sleep(Duration::from_millis(20));
            }
            host.kill();
            host.start_process()?;
            case.wait_until_ready(host)?;
            record.say(format!("{} was started again", host.name));
            thread::sleep(GAP);
        }
    }
    // The last restart lies longer than `contact_ms` back, and the store has dropped the first turns.
    let resume_at =
        (RETENTION + Duration::from_secs(2)).max(started.elapsed() + Duration::from_secs(5));
    thread::sleep(resume_at.saturating_sub(started.elapsed()));
    record.say(format!("the next turns are sent at {} s", started.elapsed().as_secs()));
    let window = Instant::now();
    let before: Vec<Program> = programs.clone();
    let new: Vec<Program> =
        (0..PROGRAMS).map(|it| Program { name: format!("77d2{it:02x}"), last: None }).collect();
    let (round, others) = thread::scope(|scope| {
        let others = scope.spawn(|| send_round(record, &fronts, new, Instant::now()));
        (send_round(record, &fronts, programs, started), others.join())
    });
    let others = others.map_err(|_| "the other programs' client ended")?;

    let runs = servers.runs();
    let has_run = |attempt: &String| runs.contains(attempt);
    let count_reached = |tries: &[(String, u16)]| tries.iter().filter(|it| has_run(&it.0)).count();
    let reached = others.iter().filter(|it| count_reached(&it.1) != 0).count() as u64;
    record.say(format!("first turns of {reached} of {PROGRAMS} new programs reached a server"));
    // The rule counts turns only while nine tenths of first turns reach a server.
    let is_counted = PROGRAMS * 9 <= reached * 10;
    let mut broken = 0;
    for ((program, tries, is_served), before) in round.iter().zip(&before) {
        let answered = before.last.as_ref().map_or(window, |it| it.1);
        let age = answered.elapsed();
        let is_kept = age < RETENTION;
        let reached = count_reached(tries);
        let is_gone = tries.iter().any(|it| matches!(it.1, 404 | 410));
        let is_unreached = is_counted && reached == 0 && 5 <= tries.len();
        let is_broken = is_kept && !is_served && (is_gone || is_unreached);
        let statuses: Vec<u16> = tries.iter().map(|it| it.1).collect();
        record.say(format!(
            "program {}: {} tries of the turn after one that was answered whole, statuses {statuses:?}, \
             {reached} reached a server; the last try ended {} s after that answer{}",
            program.name,
            tries.len(),
            age.as_secs(),
            if is_broken { " LOST" } else { "" }
        ));
        broken += u64::from(is_broken);
    }
    record.say(format!("{broken} of {PROGRAMS} conversations could not go on"));
    Ok(broken != 0)
}
