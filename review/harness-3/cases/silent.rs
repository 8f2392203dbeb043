//! Connections to the store go silent, and the operator withdraws a route.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Stage, Verdict,
    cases::{HOST, next_id, put_config, route, start_hosts},
    http::send_once,
    proxy::Proxy,
    server::{Behaviour, Server},
    store::Store,
};

/// `contact_ms`, `config_apply_ms` and `skew_max_ms` of the sheet.
const CONTACT: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// The time for which a connection has carried nothing that goes silent.
const IDLE: Duration = Duration::from_millis(1_000);

const MACHINES: usize = 3;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let (store, address) = Store::start();
    let proxy = Proxy::start(address);
    let plain = Behaviour { events: 0, pause: Duration::from_millis(20), is_unframed: false };
    let old = Server::start("i-old-1", "portal-a", plain, &store, record);
    let new = Server::start("i-new-1", "portal-b", plain, &store, record);
    let kept = route("kept", "safe", "portal-a", 1_200, "");
    let with_route =
        |service: &str| vec![kept.clone(), route("submit", "unsafe", service, 2_000, "")];
    put_config(&store, 7, &with_route("portal-a"));
    let Some(hosts) = start_hosts(stage, MACHINES, proxy.address) else {
        return Verdict::NotRun;
    };
    thread::sleep(Duration::from_secs(4));
    let call = |host: usize, path: &str| {
        let id = next_id();
        let headers = [
            ("Host", HOST.to_owned()),
            ("Attempt-Id", id.clone()),
            ("Deadline-Ms", "2000".to_owned()),
        ];
        record.line(&format!("send {id} {path} to {}", hosts[host].name));
        let limit = Duration::from_secs(3);
        let answer = send_once(hosts[host].caller(), "POST", path, &headers, b"report", limit);
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        record.line(&format!("answer {id} {} {body} {}", answer.status, answer.error));
        (id, answer)
    };
    // All machines follow a first change, so that all of them wait for the next one from now on.
    put_config(&store, 9, &{
        let mut routes = with_route("portal-a");
        routes.push(route("looks", "safe", "portal-a", 1_000, ""));
        routes
    });
    record.line("operator: version 9, a route is added");
    thread::sleep(Duration::from_millis(1_300));
    for host in 0..MACHINES {
        let (_, answer) = call(host, "/looks/1");
        if answer.status != 200 {
            record.say("a machine did not follow the first change");
            return Verdict::NotRun;
        }
    }
    if stage.has_trouble {
        let (count, open) = proxy.silence(IDLE);
        record.say(&format!("{count} of {open} connections to the store go silent"));
    }
    let silenced = Instant::now();
    thread::sleep(CONTACT + Duration::from_millis(100));
    put_config(&store, 12, &with_route("portal-b"));
    let acknowledged = Instant::now();
    record.line(
        "operator: version 12 is acknowledged: /submit/ goes to portal-b, /looks/ is withdrawn",
    );
    let (mut late, mut wrong) = (0, 0);
    let mut last = Duration::ZERO;
    while acknowledged.elapsed() < Duration::from_millis(7_000) {
        for host in 0..MACHINES {
            let since = acknowledged.elapsed();
            let (submit, _) = call(host, "/submit/1");
            let (look, _) = call(host, "/looks/1");
            let runs = old.runs();
            let stale =
                [&submit, &look].into_iter().filter(|it| runs.iter().any(|run| run.id == **it));
            let stale = stale.count();
            if CONFIG_APPLY < since {
                late += 2;
                wrong += stale;
            }
            if stale != 0 {
                last = last.max(since);
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.say(&format!(
        "{wrong} of {late} requests that were sent over {} ms after the acknowledgement, and over {} ms \
         after the connections went silent, ran at the old service; the last one was sent {} ms after it; \
         portal-b ran {}",
        CONFIG_APPLY.as_millis(),
        (acknowledged - silenced + CONFIG_APPLY).as_millis(),
        last.as_millis(),
        new.runs().len()
    ));
    if wrong == 0 { Verdict::Held } else { Verdict::Broken }
}
