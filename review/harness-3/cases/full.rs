//! Kept turns fill the platform's store, and then all processes are killed.

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

const MACHINES: usize = 4;

/// The size of a kept turn's input: the largest of the sheet's requests, and the usual one of a kept turn.
const LARGE_BYTES: usize = 100_000;
const SMALL_BYTES: usize = 1_680;

/// Kept turns a second: what is owed for 60 s fits the store.
const KEPT_PER_S: u64 = 52;

/// How long traffic goes on before the final fault.
const BEFORE: Duration = Duration::from_secs(88);

/// `recovery_s` of the sheet, and the time in which requests are counted behind it.
const RECOVERY: Duration = Duration::from_secs(12);
const COUNTED: Duration = Duration::from_secs(6);

/// The time for which the processes are down.
const DOWN: Duration = Duration::from_secs(1);

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let (store, address) = Store::start();
    let behaviour = Behaviour { events: 4, pause: Duration::from_millis(20), is_unframed: false };
    let _servers: Vec<Server> = (1..=4)
        .map(|it| Server::start(&format!("i-lm-{it}"), "lm", behaviour, &store, record))
        .collect();
    let extra = |kept: bool| {
        format!(
            ",\"retain\":{kept},\"retention_s\":60.0,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":400"
        )
    };
    let routes = [
        route("chat", "stream", "lm", 4_000, &extra(true)),
        route("check", "stream", "lm", 4_000, &extra(false)),
    ];
    put_config(&store, 7, &routes);
    let Some(mut hosts) = start_hosts(stage, MACHINES, address) else {
        return Verdict::NotRun;
    };
    let callers: Vec<_> = hosts.iter().map(Host::caller).collect();
    let bytes = if stage.has_trouble { LARGE_BYTES } else { SMALL_BYTES };
    let is_over = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let keepers: Vec<_> = (0..KEPT_PER_S / 4)
        .map(|client| {
            let (callers, record, is_over) = (callers.clone(), record.clone(), is_over.clone());
            let counts = counts.clone();
            thread::spawn(move || {
                let mut number = client as usize;
                let mut next = Instant::now();
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let part = counts.part();
                    let caller = callers[number % callers.len()];
                    let answer = send_turn(caller, "/chat/1", bytes, &record);
                    counts.count(part, &answer);
                    next += Duration::from_millis(250);
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            })
        })
        .collect();
    let others = send_others(&callers, &counts, &is_over, record);
    thread::sleep(BEFORE);
    let stored = store.bytes() >> 20;
    counts.begin(1);
    record.line("final fault: all processes are killed");
    hosts.iter_mut().for_each(Host::kill);
    thread::sleep(DOWN);
    hosts.iter_mut().for_each(Host::launch);
    let back = Instant::now();
    thread::sleep(RECOVERY);
    record.line(&format!("{} s after the machines are back", back.elapsed().as_secs()));
    counts.begin(2);
    thread::sleep(COUNTED);
    is_over.store(true, Ordering::Relaxed);
    for client in keepers.into_iter().chain(others) {
        let _ = client.join();
    }
    let (before, after) = (counts.of(0), counts.of(2));
    record.say(&format!(
        "the store held {stored} MB, and rejected appends {:?}; served were {} of {} requests before the final \
         fault, and {} of {} that were sent later than {} s after the machines were back",
        store.rejected(),
        before.0,
        before.1,
        after.0,
        after.1,
        RECOVERY.as_secs()
    ));
    if before.0 * 4 < before.1 {
        Verdict::NotRun
    } else if after.0 * 4 < after.1 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Requests that were served, and all, before the final fault, during the recovery, and after it.
#[derive(Default)]
struct Counts {
    part: AtomicUsize,
    served: [AtomicUsize; 3],
    sent: [AtomicUsize; 3],
}

impl Counts {
    fn begin(&self, part: usize) {
        self.part.store(part, Ordering::Relaxed);
    }

    /// Returns the part in which a request is sent now.
    fn part(&self) -> usize {
        self.part.load(Ordering::Relaxed)
    }

    fn count(&self, part: usize, answer: &Answer) {
        self.sent[part].fetch_add(1, Ordering::Relaxed);
        self.served[part].fetch_add(usize::from(answer.is_whole()), Ordering::Relaxed);
    }

    fn of(&self, part: usize) -> (usize, usize) {
        (self.served[part].load(Ordering::Relaxed), self.sent[part].load(Ordering::Relaxed))
    }
}

/// Sends the first turns of new programs that are not kept.
fn send_others(
    callers: &[SocketAddr],
    counts: &Arc<Counts>,
    is_over: &Arc<AtomicBool>,
    record: &Record,
) -> Vec<thread::JoinHandle<()>> {
    let start = |client| {
        let (callers, record) = (callers.to_vec(), record.clone());
        let (counts, is_over) = (counts.clone(), is_over.clone());
        thread::spawn(move || {
            let mut number: usize = client;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let part = counts.part();
                let caller = callers[number % callers.len()];
                let answer = send_turn(caller, "/check/1", 600, &record);
                counts.count(part, &answer);
                thread::sleep(Duration::from_millis(200));
            }
        })
    };
    (0..4).map(start).collect()
}

fn send_turn(caller: SocketAddr, path: &str, bytes: usize, record: &Record) -> Answer {
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
    record.line(&format!("send {id} {path} {bytes} bytes to {caller}"));
    let body = vec![b'a'; bytes];
    let answer = send_once(caller, "POST", path, &headers, &body, Duration::from_secs(5));
    record.line(&format!(
        "answer {id} {} complete {} after {} ms {}",
        answer.status, answer.is_complete, answer.millis, answer.error
    ));
    answer
}
