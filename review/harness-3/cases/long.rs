//! Conversations whose turns have legal sizes grow long, and go on.

use std::time::Duration;

use crate::{
    Stage, Verdict,
    cases::{HOST, next_id, put_config, route, start_hosts},
    http::{Answer, send_once},
    record::Record,
    server::{Behaviour, Server},
    store::Store,
};

/// The size of a turn's input: under the operator's limit (`max_body_bytes`, 4,194,304) and what one call to the
/// store takes (`call_bytes`, 2,097,152).
const TURN_BYTES: usize = 1_900_000;

/// The turns of a conversation before the one that is tried, with the trouble and without it.
const LONG_TURNS: usize = 9;
const SHORT_TURNS: usize = 8;

const CONVERSATIONS: usize = 6;
const MACHINES: usize = 10;

/// The tries of a turn, and how many of them without reaching a server break the rule.
const MOST_TRIES: usize = 8;
const TRIES: usize = 5;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let (store, address) = Store::start();
    let behaviour = Behaviour { events: 4, pause: Duration::from_millis(20), is_unframed: false };
    let servers: Vec<Server> = (1..=4)
        .map(|it| Server::start(&format!("i-lm-{it}"), "lm", behaviour, &store, record))
        .collect();
    let kept = ",\"retain\":true,\"retention_s\":60.0,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":300";
    put_config(&store, 7, &[route("chat", "stream", "lm", 4_000, kept)]);
    let Some(hosts) = start_hosts(stage, MACHINES, address) else {
        return Verdict::NotRun;
    };
    std::thread::sleep(Duration::from_secs(4));
    let turns = if stage.has_trouble { LONG_TURNS } else { SHORT_TURNS };
    let (mut lost, mut first_served) = (0, 0);
    // Clients pick one of the machines at random.
    let mut random = u64::from(std::process::id()) | 1;
    let mut pick = || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        hosts[(random >> 20) as usize % MACHINES].caller()
    };
    for _ in 0..CONVERSATIONS {
        let program = next_id();
        let mut previous: Option<String> = None;
        for turn in 0..turns {
            // A turn is sent again, to the next machine, until it is answered whole.
            let mut answered = None;
            for _ in 0..4 * MACHINES {
                let caller = pick();
                let (id, answer) =
                    send_turn(caller, &program, previous.as_deref(), TURN_BYTES, record);
                if answer.is_whole() {
                    answered = Some(id);
                    break;
                }
                std::thread::sleep(Duration::from_millis(200));
            }
            if answered.is_none() {
                record.say("a conversation did not grow");
                return Verdict::NotRun;
            }
            first_served += usize::from(turn == 0);
            previous = answered;
        }
        let mut misses = 0;
        for _ in 0..MOST_TRIES {
            let caller = pick();
            let (id, answer) = send_turn(caller, &program, previous.as_deref(), 600, record);
            if servers.iter().flat_map(Server::runs).any(|it| it.id == id) {
                break;
            }
            misses += 1;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            record.line(&format!("try {misses} reached no server: {} {text}", answer.status));
            std::thread::sleep(Duration::from_millis(300));
        }
        lost += usize::from(TRIES <= misses);
    }
    record.say(&format!(
        "{lost} of {CONVERSATIONS} conversations of {turns} turns of {TURN_BYTES} bytes reached no server in {TRIES} \
         tries or more; all {first_served} first turns were served"
    ));
    if lost == 0 { Verdict::Held } else { Verdict::Broken }
}

fn send_turn(
    caller: std::net::SocketAddr,
    program: &str,
    previous: Option<&str>,
    bytes: usize,
    record: &Record,
) -> (String, Answer) {
    let id = next_id();
    let mut headers = vec![
        ("Host", HOST.to_owned()),
        ("Attempt-Id", id.clone()),
        ("Program-Id", program.to_owned()),
        ("Session-Id", format!("s{program}")),
        ("Finish-Ms", "60000".to_owned()),
        ("Token-Budget", "20000".to_owned()),
        ("Token-Usage", format!("{bytes},576")),
        ("Prompt-Prefix", format!("{}:{bytes}", &id[8..])),
        ("Deadline-Ms", "4000".to_owned()),
    ];
    if let Some(previous) = previous {
        headers.push(("Previous-Turn", previous.to_owned()));
    }
    record.line(&format!("send {id} of {program}, {bytes} bytes, to {caller}"));
    let body = vec![b'a'; bytes];
    let answer = send_once(caller, "POST", "/chat/1", &headers, &body, Duration::from_secs(5));
    record.line(&format!(
        "answer {id} {} complete {} {}",
        answer.status, answer.is_complete, answer.error
    ));
    (id, answer)
}
