//! One kept turn in ten is large, and still within the operator's limit on bodies.

use std::time::Duration;

use crate::{
    Stage, Verdict,
    cases::{HOST, next_id, put_config, route, start_hosts},
    http::Client,
    server::{Behaviour, Server, event},
    store::Store,
};

/// The sizes of turns: a usual one, and a large one. The operator's limit (`max_body_bytes`) is 4,194,304.
const SMALL_BYTES: usize = 1_680;
const LARGE_BYTES: usize = 2_500_000;

/// The size of a large turn without the trouble: what one call to the store takes (`call_bytes`) holds it.
const FITTING_BYTES: usize = 1_500_000;

const TURNS: usize = 60;
const EVENTS: u64 = 4;
const MACHINES: usize = 2;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let (store, address) = Store::start();
    let behaviour =
        Behaviour { events: EVENTS, pause: Duration::from_millis(20), is_unframed: false };
    let servers: Vec<Server> = (1..=3)
        .map(|it| Server::start(&format!("i-lm-{it}"), "lm", behaviour, &store, record))
        .collect();
    let kept = ",\"retain\":true,\"retention_s\":60.0,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":400";
    put_config(&store, 7, &[route("chat", "stream", "lm", 4_000, kept)]);
    let Some(hosts) = start_hosts(stage, MACHINES, address) else {
        return Verdict::NotRun;
    };
    std::thread::sleep(Duration::from_secs(3));
    let large = if stage.has_trouble { LARGE_BYTES } else { FITTING_BYTES };
    let (mut served, mut sent) = ([0, 0], [0, 0]);
    let mut client: Option<Client> = None;
    for number in 0..TURNS {
        let is_large = number % 10 == 9;
        let bytes = if is_large { large } else { SMALL_BYTES };
        let caller = hosts[number / 10 % MACHINES].caller();
        if number % 10 == 0 {
            client = None;
        }
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
        if client.is_none() {
            client = Client::connect(caller).ok();
        }
        let Some(connection) = &mut client else {
            return Verdict::NotRun;
        };
        record.line(&format!("send {id} {bytes} bytes to {caller} on a kept connection"));
        let limit = Duration::from_secs(5);
        let answer = connection.send("POST", "/chat/1", &headers, &vec![b'a'; bytes], limit);
        let runs = servers.iter().flat_map(Server::runs).filter(|it| it.id == id).count();
        let whole: String = (1..=EVENTS).map(|it| event(&id, it)).collect();
        let is_served = answer.is_whole() && answer.body == whole.as_bytes();
        record.line(&format!(
            "answer {id} {} with {} of {} bytes, complete {}, ran {runs} times; {}",
            answer.status,
            answer.body.len(),
            whole.len(),
            answer.is_complete,
            answer.error
        ));
        if !is_served {
            client = None;
        }
        sent[usize::from(is_large)] += 1;
        served[usize::from(is_large)] += usize::from(is_served);
    }
    let all = (served[0] + served[1], sent[0] + sent[1]);
    record.say(&format!(
        "served whole: {} of {} turns, and {} of the {} largest ({large} bytes); the store rejected {:?}",
        all.0,
        all.1,
        served[1],
        sent[1],
        store.rejected()
    ));
    // Less than half as often as the whole kind of request.
    if 2 * served[1] * all.1 < all.0 * sent[1] { Verdict::Broken } else { Verdict::Held }
}
