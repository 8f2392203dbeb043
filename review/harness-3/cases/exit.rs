//! A server drains and exits while it sends a stream that has neither a length nor chunks.

use std::{thread, time::Duration};

use crate::{
    Stage, Verdict,
    cases::{HOST, next_id, put_config, route, start_hosts},
    http::send_once,
    server::{Behaviour, Server, event},
    store::Store,
};

/// `drain_timeout_ms` of the sheet, and a little longer.
const DRAIN: Duration = Duration::from_millis(2_200);

const EVENTS: u64 = 10;
const PAUSE: Duration = Duration::from_millis(290);

const MACHINES: usize = 2;

/// One server of seven is taken away, a share of 0.14.
const SERVERS: usize = 7;
const STREAMS: usize = 28;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let (store, address) = Store::start();
    let behaviour = Behaviour { events: EVENTS, pause: PAUSE, is_unframed: true };
    let servers: Vec<Server> = (1..=SERVERS)
        .map(|it| Server::start(&format!("i-lm-{it}"), "lm", behaviour, &store, record))
        .collect();
    let extra = ",\"retain\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":400";
    put_config(&store, 7, &[route("check", "stream", "lm", 4_000, extra)]);
    let Some(hosts) = start_hosts(stage, MACHINES, address) else {
        return Verdict::NotRun;
    };
    thread::sleep(Duration::from_secs(3));
    let calls: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (caller, record) = (hosts[number % MACHINES].caller(), record.clone());
            thread::spawn(move || {
                let id = next_id();
                let headers = [
                    ("Host", HOST.to_owned()),
                    ("Attempt-Id", id.clone()),
                    ("Token-Usage", "1460,576".to_owned()),
                    ("Deadline-Ms", "4000".to_owned()),
                ];
                record.line(&format!("send {id} to {caller}"));
                let limit = Duration::from_secs(5);
                let answer = send_once(caller, "POST", "/check/1", &headers, b"estimate", limit);
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                let events = body.matches("\n\n").count();
                record.line(&format!(
                    "answer {id} {} with {events} events, complete {} {}",
                    answer.status, answer.is_complete, answer.error
                ));
                let whole: String = (1..=EVENTS).map(|it| event(&id, it)).collect();
                (answer.is_whole(), body == whole)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(400));
    if stage.has_trouble {
        record.line(&format!("{} streams run at the server", servers[0].runs().len()));
        servers[0].drain(&store, DRAIN);
    }
    let answers: Vec<_> = calls.into_iter().filter_map(|it| it.join().ok()).collect();
    let whole = answers.iter().filter(|it| it.0 && it.1).count();
    let cut = answers.iter().filter(|it| it.0 && !it.1).count();
    record.say(&format!(
        "of {} streams {whole} came whole, and {cut} ended as complete before their last event",
        answers.len()
    ));
    if answers.len() != STREAMS || stage.has_trouble && servers[0].runs().is_empty() {
        Verdict::NotRun
    } else if cut == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
