//! Machines are killed twice, each time while programs have turns under way at the others.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Stage, Verdict,
    cases::{HOST, next_id, put_config, route, start_hosts},
    hosts::Host,
    http::{Answer, send_once},
    record::Record,
    server::{Behaviour, Server},
    store::Store,
};

const MACHINES: usize = 5;

/// The machines that are killed at the same moment, three of five, and when. Clients use the others.
const KILLS: [(u64, [usize; 3]); 2] = [(3_000, [2, 3, 4]), (9_000, [0, 1, 4])];

/// The time for which they are down.
const DOWN: Duration = Duration::from_millis(1_000);

/// When tries count from: `contact_ms` and a second after the machines are back for the last time.
const COUNTED: Duration = Duration::from_millis(14_000);

const ALL_TIME: Duration = Duration::from_millis(26_000);

const PROGRAMS: usize = 30;

/// Clients that send first turns of new programs meanwhile.
const FIRST_CLIENTS: usize = 4;

const BUDGET: u64 = 1_944;
const TURN_TOKENS: u64 = 576;
const EVENTS: u64 = 4;
const EVENT_TOKENS: u64 = 18;

/// Tries without reaching a server that break the rule.
const TRIES: usize = 5;

/// What became of the programs.
#[derive(Default)]
struct Found {
    /// Programs that were refused for good though their budgets hold one more turn.
    lost: AtomicUsize,
    /// First turns that reached a server in the time that counts, and all.
    first_served: AtomicUsize,
    first_sent: AtomicUsize,
}

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let (store, address) = Store::start();
    let pause = Duration::from_millis(150);
    let behaviour = Behaviour { events: EVENTS, pause, is_unframed: false };
    let servers: Vec<Server> = (1..=6)
        .map(|it| Server::start(&format!("i-lm-{it}"), "lm", behaviour, &store, record))
        .collect();
    let kept = ",\"retain\":true,\"retention_s\":60.0,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":300";
    put_config(&store, 7, &[route("chat", "stream", "lm", 4_000, kept)]);
    let Some(mut hosts) = start_hosts(stage, MACHINES, address) else {
        return Verdict::NotRun;
    };
    thread::sleep(Duration::from_secs(3));
    let callers: Vec<SocketAddr> = hosts.iter().map(Host::caller).collect();
    let started = Instant::now();
    let (found, is_over) = (Arc::new(Found::default()), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    for number in 0..PROGRAMS {
        let (callers, record, found) = (callers.clone(), record.clone(), found.clone());
        let servers = servers.clone();
        clients.push(thread::spawn(move || {
            run_program(number, &callers, &servers, started, &found, &record);
        }));
    }
    let first_turns: Vec<_> = (0..FIRST_CLIENTS)
        .map(|client| {
            let (callers, record, found) = (callers.clone(), record.clone(), found.clone());
            let is_over = is_over.clone();
            thread::spawn(move || {
                send_first_turns(client, &callers, started, &is_over, &found, &record);
            })
        })
        .collect();
    if stage.has_trouble {
        for (at, killed) in KILLS {
            thread::sleep(Duration::from_millis(at).saturating_sub(started.elapsed()));
            killed.iter().for_each(|it| hosts[*it].kill());
            thread::sleep(DOWN);
            killed.iter().for_each(|it| hosts[*it].launch());
        }
    }
    for client in clients {
        let _ = client.join();
    }
    is_over.store(true, Ordering::Relaxed);
    for client in first_turns {
        let _ = client.join();
    }
    let lost = found.lost.load(Ordering::Relaxed);
    let first =
        (found.first_served.load(Ordering::Relaxed), found.first_sent.load(Ordering::Relaxed));
    record.say(&format!(
        "{lost} of {PROGRAMS} programs reached no server in {TRIES} tries or more though their budgets hold one more \
         turn; meanwhile {} of {} first turns were served",
        first.0, first.1
    ));
    if first.0 * 10 < first.1 * 9 {
        Verdict::NotRun
    } else if lost == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Returns a machine that runs now and will for the next seconds, as the directory names it.
fn pick(callers: &[SocketAddr], number: usize, started: Instant) -> SocketAddr {
    let now = started.elapsed().as_millis() as u64;
    let next = KILLS.iter().find(|it| now < it.0 + 2_000).unwrap_or(&KILLS[1]);
    let safe: Vec<_> = (0..MACHINES).filter(|it| !next.1.contains(it)).collect();
    callers[safe[number % safe.len()]]
}

/// Runs a program turn by turn until it is told that its budget is spent.
fn run_program(
    number: usize,
    callers: &[SocketAddr],
    servers: &[Server],
    started: Instant,
    found: &Found,
    record: &Record,
) {
    let program = next_id();
    let mut previous: Option<String> = None;
    let (mut tokens, mut tries) = (0, 0);
    while started.elapsed() < ALL_TIME {
        let sent = started.elapsed();
        let caller = pick(callers, number, started);
        let (id, answer) = send_turn(caller, &program, previous.as_deref(), record);
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if answer.status == 200 {
            tokens += text.matches("\n\n").count() as u64 * EVENT_TOKENS;
        }
        if answer.is_whole() {
            (previous, tries) = (Some(id), 0);
            thread::sleep(Duration::from_millis(50));
            continue;
        }
        let has_reached = servers.iter().flat_map(Server::runs).any(|it| it.id == id);
        if COUNTED < sent && previous.is_some() && !has_reached && tokens + TURN_TOKENS <= BUDGET {
            tries += 1;
            record.line(&format!(
                "program {program}: try {tries} without a server, {} {}; it has had {tokens} of {BUDGET} tokens",
                answer.status,
                text.chars().take(200).collect::<String>()
            ));
            if tries == TRIES {
                found.lost.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
        if answer.status == 402 {
            record.line(&format!("program {program}: 402 after {tokens} of {BUDGET} tokens"));
            return;
        }
        thread::sleep(Duration::from_millis(500));
    }
}

/// Sends first turns of new programs in the time that counts.
fn send_first_turns(
    client: usize,
    callers: &[SocketAddr],
    started: Instant,
    is_over: &AtomicBool,
    found: &Found,
    record: &Record,
) {
    thread::sleep(COUNTED.saturating_sub(started.elapsed()));
    let mut number = client;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let caller = pick(callers, number, started);
        let (_, answer) = send_turn(caller, &next_id(), None, record);
        found.first_sent.fetch_add(1, Ordering::Relaxed);
        found.first_served.fetch_add(usize::from(answer.is_whole()), Ordering::Relaxed);
    }
}

fn send_turn(
    caller: SocketAddr,
    program: &str,
    previous: Option<&str>,
    record: &Record,
) -> (String, Answer) {
    let id = next_id();
    let mut headers = vec![
        ("Host", HOST.to_owned()),
        ("Attempt-Id", id.clone()),
        ("Program-Id", program.to_owned()),
        ("Session-Id", format!("s{program}")),
        ("Finish-Ms", "60000".to_owned()),
        ("Token-Budget", BUDGET.to_string()),
        ("Token-Usage", format!("840,{TURN_TOKENS}")),
        ("Prompt-Prefix", format!("{}:840", &id[8..])),
        ("Deadline-Ms", "4000".to_owned()),
    ];
    if let Some(previous) = previous {
        headers.push(("Previous-Turn", previous.to_owned()));
    }
    record.line(&format!("send {id} of {program} to {caller}"));
    let answer = send_once(caller, "POST", "/chat/1", &headers, b"in", Duration::from_secs(5));
    record.line(&format!(
        "answer {id} {} complete {} {}",
        answer.status, answer.is_complete, answer.error
    ));
    (id, answer)
}
