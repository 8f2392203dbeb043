//! Clients send large turns of legal size on a route that keeps what was said.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Stage, Verdict,
    cases::{HOST, next_id, put_config, route, start_hosts},
    hosts::{Host, MEMORY_MB},
    http::{Answer, send_once},
    server::{Behaviour, Server},
    store::Store,
};

const MACHINES: usize = 2;

/// The size of a turn's input: the largest of the sheet's requests, and the usual one of a kept turn.
const LARGE_BYTES: usize = 100_000;
const SMALL_BYTES: usize = 1_680;

/// The clients, and the time between two turns of one.
const CLIENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(60);

/// How long clients send large turns, and all turns.
const LARGE_TIME: Duration = Duration::from_secs(46);
const ALL_TIME: Duration = Duration::from_secs(110);

/// The delay before a process that has ended starts again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let (store, address) = Store::start();
    let behaviour = Behaviour { events: 4, pause: Duration::from_millis(20), is_unframed: false };
    let _servers: Vec<Server> = (1..=4)
        .map(|it| Server::start(&format!("i-lm-{it}"), "lm", behaviour, &store, record))
        .collect();
    let kept = ",\"retain\":true,\"retention_s\":60.0,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":400";
    put_config(&store, 7, &[route("chat", "stream", "lm", 4_000, kept)]);
    let Some(hosts) = start_hosts(stage, MACHINES, address) else {
        return Verdict::NotRun;
    };
    let callers: Vec<_> = hosts.iter().map(Host::caller).collect();
    let has_trouble = stage.has_trouble;
    let is_over = Arc::new(AtomicBool::new(false));
    let (served, failed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let started = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (callers, record) = (callers.clone(), record.clone());
            let (is_over, served, failed) = (is_over.clone(), served.clone(), failed.clone());
            thread::spawn(move || {
                let mut number = client;
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let caller = callers[number % callers.len()];
                    let is_large = has_trouble && started.elapsed() < LARGE_TIME;
                    let bytes = if is_large { LARGE_BYTES } else { SMALL_BYTES };
                    let answer = send_turn(caller, bytes, &record);
                    let count = if answer.is_whole() { &served } else { &failed };
                    count.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    let (ends, peak) = watch(hosts, started, record);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    record.say(&format!(
        "{} turns served, {} not; stored {} MB; rejected appends {:?}; most memory {:?} MB; \
         processes that ended for memory over {MEMORY_MB} MB: {ends:?}",
        served.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed),
        store.bytes() >> 20,
        store.rejected(),
        peak.iter().map(|it| it >> 20).collect::<Vec<_>>()
    ));
    let worst = ends.iter().filter(|it| 3 <= **it).count();
    if 2 <= worst { Verdict::Broken } else { Verdict::Held }
}

/// Sends the first turn of a new program.
fn send_turn(caller: std::net::SocketAddr, bytes: usize, record: &crate::record::Record) -> Answer {
    let id = next_id();
    let headers = [
        ("Host", HOST.to_owned()),
        ("Attempt-Id", id.clone()),
        ("Program-Id", format!("p{id}")),
        ("Session-Id", format!("s{id}")),
        ("Finish-Ms", "8000".to_owned()),
        ("Token-Budget", "4608".to_owned()),
        ("Token-Usage", format!("{bytes},576")),
        ("Prompt-Prefix", format!("{}:{bytes}", &id[8..])),
        ("Deadline-Ms", "4000".to_owned()),
    ];
    record.line(&format!("send {id} {bytes} bytes to {caller}"));
    let body = vec![b'a'; bytes];
    let answer = send_once(caller, "POST", "/chat/1", &headers, &body, Duration::from_secs(5));
    record.line(&format!(
        "answer {id} {} complete {} after {} ms {}",
        answer.status, answer.is_complete, answer.millis, answer.error
    ));
    answer
}

/// Does what the platform does: kills a process whose memory is over the limit, and starts it again. Returns
/// how often each one ended, and the most memory of each.
fn watch(hosts: Vec<Host>, started: Instant, record: &crate::record::Record) -> (Vec<usize>, Vec<usize>) {
    let hosts = Mutex::new(hosts);
    let mut hosts = hosts.into_inner().unwrap();
    let mut ends = vec![0; hosts.len()];
    let mut peak = vec![0; hosts.len()];
    let mut restarts: Vec<Option<Instant>> = vec![None; hosts.len()];
    let mut reported = Instant::now();
    while started.elapsed() < ALL_TIME {
        for (index, host) in hosts.iter_mut().enumerate() {
            if let Some(at) = restarts[index] {
                if at <= Instant::now() {
                    host.launch();
                    restarts[index] = None;
                }
                continue;
            }
            let memory = host.memory_bytes().unwrap_or(0);
            peak[index] = peak[index].max(memory);
            if MEMORY_MB << 20 < memory || host.has_ended() {
                record.say(&format!("{} has {} MB and is killed", host.name, memory >> 20));
                host.kill();
                ends[index] += 1;
                restarts[index] = Some(Instant::now() + RESTART_DELAY);
            }
        }
        if Duration::from_secs(2) < reported.elapsed() {
            reported = Instant::now();
            let memory: Vec<_> = hosts.iter().map(|it| it.memory_bytes().unwrap_or(0) >> 20).collect();
            record.line(&format!("memory in MB: {memory:?}"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    (ends, peak)
}
