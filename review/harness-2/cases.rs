//! What each case sends and checks.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::{Answer, Client},
    world::{
        self, digest, is_troubled, route, send_turn, verdict, Behaviour, Plan, Turn, World,
        HOST_NAME,
    },
};

const CHAT: &str = "/pufi791/";
const ASSIST: &str = "/lohu930/";
const FETCH: &str = "/puxa403/";

fn chat_route() -> String {
    let more = ",\"retain\":true,\"retention_s\":60.0,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":300";
    route("review-chat", CHAT, "stream", "lm-pool", more)
}

fn assist_route(retention_s: u32) -> String {
    let more = format!(
        ",\"retain\":false,\"retention_s\":{retention_s}.0,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":300"
    );
    route("colour-assist", ASSIST, "stream", "lm-pool", &more)
}

fn fetch_route() -> String {
    route("asset-fetch", FETCH, "unsafe", "edit-api", "")
}

fn behaviour() -> Behaviour {
    Behaviour { events: 4, event_bytes: 100, pause: Duration::from_millis(10), answer_bytes: 800 }
}

pub fn run(case: &str) -> i32 {
    match case {
        "stored" => stored(),
        "long" => long(),
        "big" => big(),
        "budget" => budget(),
        "full" => full(),
        "underway" => underway(),
        "crowd" => crowd(),
        _ => {
            eprintln!("no such case: {case}");
            2
        }
    }
}

fn text_body(seed: u64, bytes: usize) -> Vec<u8> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    (0..bytes)
        .map(|index| {
            if index % 8 == 0 {
                state ^= state << 13;
                state ^= state >> 7;
                state ^= state << 17;
            }
            b'a' + ((state >> (index % 8 * 8)) & 15) as u8
        })
        .collect()
}

/// A burst of first turns with bodies of legal size, and then ordinary callers.
fn stored() -> i32 {
    let plan = Plan {
        hosts: 3,
        servers: 3,
        applications: 3,
        memory_mb: 120,
        retention_s: 300,
        routes: format!("{},{},{}", chat_route(), assist_route(60), fetch_route()),
        behaviour: behaviour(),
    };
    let world = World::start(&plan);
    if !world.wait_until_ready() {
        return 2;
    }
    let body_bytes = if is_troubled() { 1 << 20 } else { 17_000 };
    let started = Instant::now();
    let send = |caller: usize, turn: usize, bytes: usize| {
        let id = world.new_id();
        let host = &world.hosts[(caller + turn) % world.hosts.len()];
        let body = text_body((turn * 100 + caller) as u64, bytes);
        let answer = Client::connect(host.caller, Duration::from_secs(10)).map(|mut client| {
            let program = format!("p{caller}x{turn}");
            let turn = Turn {
                program: &program,
                previous: None,
                budget: 10_000,
                max_output: 200,
                body: &body,
                deadline_ms: 8_000,
                finish_ms: 60_000,
                prefix: CHAT,
            };
            send_turn(&mut client, &id, &turn)
        });
        let answer =
            answer.unwrap_or_else(|it| Answer { error: it.to_string(), ..Answer::default() });
        world.record.line(&format!(
            "client: turn {id} of {bytes} bytes to {}: {} {} {} ran: {}",
            host.name,
            answer.status,
            if answer.is_whole { "whole" } else { "broken" },
            answer.error,
            world.run_of(&id).is_some()
        ));
        answer.status == 200 && answer.is_whole
    };
    let (burst, later, later_whole) =
        (AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for caller in 0..8 {
            let (send, burst, later, later_whole) = (&send, &burst, &later, &later_whole);
            scope.spawn(move || {
                // 320 turns in all, which the store has room for.
                for turn in 0..40 {
                    burst.fetch_add(usize::from(send(caller, turn, body_bytes)), Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(300));
                }
                let mut turn = 40;
                while started.elapsed() < Duration::from_secs(90) {
                    turn += 1;
                    later.fetch_add(1, Ordering::Relaxed);
                    later_whole
                        .fetch_add(usize::from(send(caller, turn, 17_000)), Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
    });
    let mut text = format!(
        "{} of 320 turns of {body_bytes} bytes answered whole; then {} of {} ordinary ones; the store holds {} MB",
        burst.into_inner(), later_whole.into_inner(), later.into_inner(), world.store.bytes() >> 20
    );
    let mut ended = 0;
    for host in &world.hosts {
        let (ends, peak) =
            (host.ends.load(Ordering::Relaxed), host.peak_kb.load(Ordering::Relaxed));
        ended += usize::from(3 <= ends);
        text.push_str(&format!("; {}: {ends} ends, at most {peak} kB", host.name));
    }
    verdict(&world, 2 <= ended, &text)
}

/// Conversations of ten turns with large bodies, at machines that callers pick at random.
fn long() -> i32 {
    let plan = Plan {
        hosts: 13,
        servers: 3,
        applications: 3,
        memory_mb: 512,
        retention_s: 300,
        routes: format!("{},{},{}", chat_route(), assist_route(60), fetch_route()),
        behaviour: behaviour(),
    };
    let world = World::start(&plan);
    if !world.wait_until_ready() {
        return 2;
    }
    let body_bytes = if is_troubled() { 1_900_000 } else { 17_000 };
    let mut random = world::unix_ms() | 1;
    let mut pick = |count: usize| {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        (random >> 20) as usize % count
    };
    let (mut lost, mut ended, mut first_turns, mut first_reached) = (0, 0, 0, 0);
    for conversation in 0..6u64 {
        let program = format!("c0ffee{conversation:02}");
        let mut previous: Option<String> = None;
        let mut transcript: Vec<u8> = Vec::new();
        let mut is_failed = false;
        for number in 0..11u64 {
            let body = text_body(conversation * 100 + number, body_bytes);
            let (mut has_reached, mut done, mut tries) = (false, None, 0);
            // A turn is sent once more after a promise, and three times in all from its start.
            while done.is_none() && tries < 6 {
                tries += 1;
                let id = world.new_id();
                let host = &world.hosts[pick(world.hosts.len())];
                let turn = Turn {
                    program: &program,
                    previous: previous.as_deref(),
                    budget: 100_000,
                    max_output: 100,
                    body: &body,
                    deadline_ms: 8_000,
                    finish_ms: 90_000,
                    prefix: CHAT,
                };
                let answer = match Client::connect(host.caller, Duration::from_secs(10)) {
                    Ok(mut client) => send_turn(&mut client, &id, &turn),
                    Err(error) => Answer { error: error.to_string(), ..Answer::default() },
                };
                let run = world.run_of(&id);
                has_reached |= run.is_some();
                world.record.line(&format!(
                    "client: {program} turn {number}, try {tries}: {id} after {} bytes to {}: {} {} {} ran: {:?}",
                    transcript.len(), host.name, answer.status,
                    if answer.is_whole { "whole" } else { "broken" }, answer.error,
                    run.as_ref().map(|it| (it.server.clone(), it.bytes))
                ));
                if answer.status == 404 {
                    return verdict(&world, true, "a turn that is kept is answered 404");
                }
                if answer.status == 200 && answer.is_whole {
                    transcript.extend_from_slice(&body);
                    if run.is_some_and(|it| it.digest != digest(&transcript)) {
                        return verdict(&world, true, "a server ran a turn with another body");
                    }
                    for _ in 0..4 {
                        transcript.extend_from_slice("y".repeat(100).as_bytes());
                        transcript.push(b'\n');
                    }
                    done = Some(id);
                } else {
                    thread::sleep(Duration::from_millis(300));
                }
                // The first turn of another program at the same machine.
                let id = world.new_id();
                let turn = Turn { program: &id, previous: None, body: b"a short question", ..turn };
                if let Ok(mut client) = Client::connect(host.caller, Duration::from_secs(10)) {
                    let answer = send_turn(&mut client, &id, &turn);
                    first_turns += 1;
                    first_reached += usize::from(world.run_of(&id).is_some());
                    world.record.line(&format!(
                        "client: first turn {id} to {}: {}",
                        host.name, answer.status
                    ));
                }
            }
            if done.is_none() {
                is_failed = true;
                let is_lost = !has_reached && 5 <= tries;
                lost += usize::from(is_lost);
                world.record.line(&format!(
                    "client: {program} turn {number} fails; it reached a server: {has_reached}"
                ));
                break;
            }
            previous = done;
        }
        ended += usize::from(!is_failed);
    }
    let text = format!(
        "{ended} of 6 conversations ended; turns that reached no server in 5 tries or more: {lost}; \
         {first_reached} of {first_turns} first turns at the same machines reached one"
    );
    verdict(&world, 0 < lost && 9 * first_turns <= 10 * first_reached, &text)
}

/// Turns of legal size that the log does not take in one call.
fn big() -> i32 {
    let plan = Plan {
        hosts: 3,
        servers: 3,
        applications: 3,
        memory_mb: 290,
        retention_s: 300,
        routes: format!("{},{},{}", chat_route(), assist_route(60), fetch_route()),
        behaviour: behaviour(),
    };
    let world = World::start(&plan);
    if !world.wait_until_ready() {
        return 2;
    }
    let body_bytes = if is_troubled() { 3 << 20 } else { 17_000 };
    let (cut, small_cut) = (Mutex::new(0), AtomicUsize::new(0));
    let whole = AtomicUsize::new(0);
    let until = Instant::now() + Duration::from_secs(20);
    thread::scope(|scope| {
        // Callers with kept connections; only the first one sends large bodies.
        for caller in 0..30usize {
            let (world, cut, small_cut, whole) = (&world, &cut, &small_cut, &whole);
            scope.spawn(move || {
                let is_large = caller == 0;
                let mut client = None;
                let mut turn = 0;
                while Instant::now() < until {
                    turn += 1;
                    let host = &world.hosts[caller % world.hosts.len()];
                    if client.is_none() {
                        client = Client::connect(host.caller, Duration::from_secs(10)).ok();
                    }
                    let Some(connection) = client.as_mut() else {
                        continue;
                    };
                    let id = world.new_id();
                    let program = format!("b{caller}x{turn}");
                    let body = text_body(turn, if is_large { body_bytes } else { 17_000 });
                    let send = Turn {
                        program: &program,
                        previous: None,
                        budget: 10_000,
                        max_output: 200,
                        body: &body,
                        deadline_ms: 6_000,
                        finish_ms: 60_000,
                        prefix: CHAT,
                    };
                    let answer = send_turn(connection, &id, &send);
                    let run = world.run_of(&id);
                    world.record.line(&format!(
                        "client {caller}: turn {id} of {} bytes to {}: {} {} {} ran: {}",
                        body.len(),
                        host.name,
                        answer.status,
                        if answer.is_whole { "whole" } else { "broken" },
                        answer.error,
                        run.is_some()
                    ));
                    if answer.is_whole {
                        whole.fetch_add(usize::from(answer.status == 200), Ordering::Relaxed);
                    } else {
                        client = None;
                        *cut.lock().unwrap() += usize::from(run.is_some());
                        small_cut
                            .fetch_add(usize::from(!is_large && run.is_some()), Ordering::Relaxed);
                    }
                    thread::sleep(Duration::from_millis(if is_large { 500 } else { 50 }));
                }
            });
        }
    });
    let cut = cut.into_inner().unwrap();
    let refused = world.store.oversized.lock().unwrap().clone();
    let text = format!(
        "{} turns answered whole; {cut} ran at a sound server and their connections were closed without a \
         complete answer, {} of them turns of 17,000 bytes; appends refused for their size: {}",
        whole.into_inner(), small_cut.into_inner(), refused.len()
    );
    verdict(&world, 3 < cut, &text)
}

/// A program that has spent its budget comes back after a rest and a loss of all processes.
fn budget() -> i32 {
    let plan = Plan {
        hosts: 3,
        servers: 3,
        applications: 3,
        memory_mb: 290,
        retention_s: 20,
        routes: format!("{},{}", assist_route(100), fetch_route()),
        behaviour: behaviour(),
    };
    let world = World::start(&plan);
    if !world.wait_until_ready() {
        return 2;
    }
    let (program, budget, max_output) = ("feedface01", 400u64, 100u64);
    let mut tokens = 0;
    let mut spend =
        |name: &str| {
            let mut spent = 0;
            for attempt in 0..10usize {
                let id = world.new_id();
                let host = &world.hosts[attempt % world.hosts.len()];
                let turn = Turn {
                    program,
                    previous: None,
                    budget,
                    max_output,
                    body: b"once more",
                    deadline_ms: 3_000,
                    finish_ms: 100_000,
                    prefix: ASSIST,
                };
                let answer = match Client::connect(host.caller, Duration::from_secs(5)) {
                    Ok(mut client) => send_turn(&mut client, &id, &turn),
                    Err(error) => Answer { error: error.to_string(), ..Answer::default() },
                };
                let events = answer.body.windows(6).filter(|it| it == b"\ndata:").count() as u64;
                tokens += 25 * events;
                spent += 25 * events;
                world.record.line(&format!(
                "client: {name}: turn {id} to {}: {} {} events, {tokens} tokens in all {} ran: {}",
                host.name, answer.status, events, answer.error, world.run_of(&id).is_some()
            ));
                thread::sleep(Duration::from_millis(300));
            }
            spent
        };
    let before = spend("before");
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(85) {
        thread::sleep(Duration::from_millis(500));
    }
    if is_troubled() {
        thread::scope(|scope| {
            for host in &world.hosts {
                scope.spawn(|| host.kill_and_start(Duration::from_secs(1)));
            }
        });
        if !world.wait_until_ready() {
            return 2;
        }
    }
    let after = spend("after");
    let most = budget + max_output;
    let text =
        format!("{before} tokens before and {after} after; the budget and one turn are {most}");
    verdict(&world, most < before + after, &text)
}

/// A partition drops records by its size, before their turns are no longer owed; then all processes are
/// killed.
fn full() -> i32 {
    let plan = Plan {
        hosts: 3,
        servers: 3,
        applications: 3,
        memory_mb: 512,
        retention_s: 300,
        routes: format!("{},{},{}", chat_route(), assist_route(60), fetch_route()),
        behaviour: behaviour(),
    };
    let world = World::start(&plan);
    if !world.wait_until_ready() {
        return 2;
    }
    let started = Instant::now();
    let kept: Mutex<Vec<(Duration, String)>> = Mutex::default();
    // One program with eight lines of turns, so that all of them are in one partition.
    let send = |line: usize, number: usize, previous: Option<&str>, bytes: usize, host: usize| {
        let id = world.new_id();
        let host = &world.hosts[host % world.hosts.len()];
        let body = text_body((number * 100 + line) as u64, bytes);
        let turn = Turn {
            program: "ab5eed01",
            previous,
            budget: 1_000_000,
            max_output: 100,
            body: &body,
            deadline_ms: 8_000,
            finish_ms: 110_000,
            prefix: CHAT,
        };
        let answer = match Client::connect(host.caller, Duration::from_secs(10)) {
            Ok(mut client) => send_turn(&mut client, &id, &turn),
            Err(error) => Answer { error: error.to_string(), ..Answer::default() },
        };
        world.record.line(&format!(
            "client: line {line} turn {id} of {bytes} bytes, previous {previous:?}, to {}: {} {} {} ran: {:?}",
            host.name, answer.status, if answer.is_whole { "whole" } else { "broken" }, answer.error,
            world.run_of(&id).map(|it| it.bytes)
        ));
        (id, answer)
    };
    thread::scope(|scope| {
        for line in 0..8usize {
            let (send, kept) = (&send, &kept);
            scope.spawn(move || {
                for number in 0..27 {
                    let (id, answer) = send(line, number, None, 1_000_000, line + number);
                    if answer.status == 200 && answer.is_whole {
                        kept.lock().unwrap().push((started.elapsed(), id));
                    }
                }
            });
        }
    });
    let kept = kept.into_inner().unwrap();
    world.record.line(&format!(
        "{} turns were answered whole; the store holds {} MB",
        kept.len(),
        world.store.bytes() >> 20
    ));
    if is_troubled() {
        thread::scope(|scope| {
            for host in &world.hosts {
                scope.spawn(|| host.kill_and_start(Duration::from_secs(1)));
            }
        });
        if !world.wait_until_ready() {
            return 2;
        }
    }
    let (mut lost, mut continued, mut refused) = (0, 0, 0);
    for (number, (at, previous)) in kept.iter().take(4).enumerate() {
        for attempt in 0..8 {
            let age = started.elapsed().saturating_sub(*at);
            if Duration::from_secs(58) < age {
                break;
            }
            let (_, answer) = send(9, number, Some(previous), 1_000, attempt);
            match answer.status {
                404 | 410 => {
                    world.record.line(&format!(
                        "client: {previous}, answered whole {age:?} ago, is not known"
                    ));
                    lost += 1;
                }
                200 if answer.is_whole => continued += 1,
                _ => {
                    refused += 1;
                    thread::sleep(Duration::from_millis(500));
                    continue;
                }
            }
            break;
        }
    }
    let text = format!(
        "{} turns answered whole; of the oldest four {continued} are continued and {lost} answered 404 less than 60 s \
         later; {refused} tries refused",
        kept.len()
    );
    verdict(&world, 0 < lost, &text)
}

/// Machines are removed as planned, so that those that stay send to most of the servers at once.
fn crowd() -> i32 {
    let mut answers = behaviour();
    (answers.events, answers.pause) = (8, Duration::from_millis(300));
    let plan = Plan {
        hosts: 6,
        servers: 48,
        applications: 36,
        memory_mb: 290,
        retention_s: 300,
        routes: format!("{},{},{}", chat_route(), assist_route(60), fetch_route()),
        behaviour: answers,
    };
    let world = World::start(&plan);
    if !world.wait_until_ready() {
        return 2;
    }
    let until = Instant::now() + Duration::from_secs(60);
    let addresses: Mutex<Vec<SocketAddr>> =
        Mutex::new(world.hosts.iter().map(|it| it.caller).collect());
    let removed_at: Mutex<Option<Instant>> = Mutex::default();
    // Turns count from when the processes of the removed machines are gone.
    let is_calm =
        || removed_at.lock().unwrap().is_none_or(|it| Duration::from_secs(10) < it.elapsed());
    let pick = |seed: u64| {
        let addresses = addresses.lock().unwrap();
        addresses[(digest(&seed.to_be_bytes()) >> 16) as usize % addresses.len()]
    };
    let count = |_: &str| AtomicUsize::new(0);
    let (whole, ended, failed, denied) =
        (count("turns"), count("programs"), count("programs"), count("402, 404"));
    let (later, unreached, first, first_reached) = (count(""), count(""), count(""), count(""));
    let (tools, tools_whole) = (count("calls"), count("calls"));
    thread::scope(|scope| {
        scope.spawn(|| {
            // As long as clients keep an answer of the directory.
            while Instant::now() < until {
                thread::sleep(Duration::from_secs(1));
                if let Some(found) = world.hosts.iter().find_map(|it| it.resolve()) {
                    *addresses.lock().unwrap() = found;
                }
            }
        });
        for caller in 0..180u64 {
            let (world, pick, is_calm) = (&world, &pick, &is_calm);
            let (whole, ended, failed, denied) = (&whole, &ended, &failed, &denied);
            let (later, unreached, first, first_reached) =
                (&later, &unreached, &first, &first_reached);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(20 * caller));
                let (mut round, mut sent) = (0, caller << 32);
                while Instant::now() < until {
                    round += 1;
                    let program = format!("{caller:04x}{round:03}");
                    let mut previous: Option<String> = None;
                    let mut is_failed = false;
                    for number in 0..4usize {
                        let counts = is_calm();
                        let (mut done, mut reached, mut tries) = (None, false, 0);
                        // Once more after a promise, and three times in all from the start.
                        while done.is_none() && tries < 6 {
                            tries += 1;
                            sent += 1;
                            let id = world.new_id();
                            let address = pick(sent);
                            let turn = Turn {
                                program: &program,
                                previous: previous.as_deref(),
                                budget: 2_000,
                                max_output: 400,
                                body: b"a question of a program that has a few turns",
                                deadline_ms: 5_000,
                                finish_ms: 60_000,
                                prefix: CHAT,
                            };
                            let answer = match Client::connect(address, Duration::from_secs(10)) {
                                Ok(mut client) => send_turn(&mut client, &id, &turn),
                                Err(error) => Answer { error: error.to_string(), ..Answer::default() },
                            };
                            let ran = world.run_of(&id).is_some();
                            reached |= ran;
                            if previous.is_none() && counts {
                                first.fetch_add(1, Ordering::Relaxed);
                                first_reached.fetch_add(usize::from(ran), Ordering::Relaxed);
                            }
                            world.record.line(&format!(
                                "client: {program} turn {number} {id} after {previous:?} to {address}: {} {} {} {} ran: {ran}",
                                answer.status, if answer.is_whole { "whole" } else { "broken" },
                                answer.error, if answer.status == 200 { String::new() } else { String::from_utf8_lossy(&answer.body).into_owned() }
                            ));
                            if answer.is_whole && answer.status == 200 {
                                done = Some(id);
                                continue;
                            }
                            if matches!(answer.status, 402 | 404) {
                                denied.fetch_add(1, Ordering::Relaxed);
                                break;
                            }
                            thread::sleep(Duration::from_millis(300));
                        }
                        let is_later = counts && previous.is_some();
                        later.fetch_add(usize::from(is_later), Ordering::Relaxed);
                        let Some(done) = done else {
                            let is_lost = is_later && !reached && 5 <= tries;
                            unreached.fetch_add(usize::from(is_lost), Ordering::Relaxed);
                            is_failed = true;
                            break;
                        };
                        whole.fetch_add(1, Ordering::Relaxed);
                        previous = Some(done);
                    }
                    failed.fetch_add(usize::from(is_failed), Ordering::Relaxed);
                    ended.fetch_add(usize::from(!is_failed), Ordering::Relaxed);
                }
            });
        }
        for caller in 0..90u64 {
            let (world, pick, tools, tools_whole) = (&world, &pick, &tools, &tools_whole);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(40 * caller));
                let mut sent = caller << 40;
                while Instant::now() < until {
                    sent += 1;
                    let id = world.new_id();
                    let headers = [
                        ("Host", HOST_NAME.to_owned()),
                        ("Attempt-Id", id.clone()),
                        ("Deadline-Ms", "4000".to_owned()),
                    ];
                    let call = |mut client: Client| {
                        client
                            .send("POST", &format!("{FETCH}2f"), &headers, b"what")
                            .map(|()| client.receive())
                    };
                    let address = pick(sent);
                    let answer = Client::connect(address, Duration::from_secs(10)).and_then(call);
                    let answer = answer.unwrap_or_default();
                    world.record.line(&format!(
                        "client: tool {id} to {address}: {} {} ran: {}",
                        answer.status,
                        answer.error,
                        world.run_of(&id).is_some()
                    ));
                    tools.fetch_add(1, Ordering::Relaxed);
                    if answer.status == 200 && answer.is_whole {
                        tools_whole.fetch_add(1, Ordering::Relaxed);
                    } else {
                        thread::sleep(Duration::from_millis(300));
                    }
                }
            });
        }
        thread::sleep(Duration::from_secs(12));
        if is_troubled() {
            for host in &world.hosts[2..] {
                host.remove();
                *removed_at.lock().unwrap() = Some(Instant::now());
                thread::sleep(Duration::from_secs(1));
            }
        }
        let before = world.store.takeovers.load(Ordering::Relaxed);
        while Instant::now() < until {
            thread::sleep(Duration::from_secs(4));
            let busy =
                world.servers.iter().filter(|it| it.in_flight.load(Ordering::Relaxed) != 0).count();
            let in_flight: usize =
                world.servers.iter().map(|it| it.in_flight.load(Ordering::Relaxed)).sum();
            let takeovers = world.store.takeovers.load(Ordering::Relaxed);
            world.record.line(&format!(
                "{busy} servers are busy with {in_flight} requests; partitions taken over so far: {takeovers}, \
                 {} since the last removal; the directory names {:?}",
                takeovers - before, addresses.lock().unwrap()
            ));
        }
    });
    let get = |it: &AtomicUsize| it.load(Ordering::Relaxed);
    let text = format!(
        "{} turns answered whole; {} programs ended, {} failed; {} answers 402 or 404; while calm {} of {} later turns \
         reached no server in 5 tries or more, and {} of {} first turns reached one; {} of {} calls of tools answered; \
         partitions were taken over {} times",
        get(&whole), get(&ended), get(&failed), get(&denied), get(&unreached), get(&later), get(&first_reached),
        get(&first), get(&tools_whole), get(&tools), get(&world.store.takeovers)
    );
    verdict(&world, 0 < get(&unreached) && 9 * get(&first) <= 10 * get(&first_reached), &text)
}

/// Programs that are under way when the owner of their accounts is killed go on long after.
fn underway() -> i32 {
    let plan = Plan {
        hosts: 3,
        servers: 9,
        applications: 3,
        memory_mb: 290,
        retention_s: 300,
        routes: format!("{},{},{}", chat_route(), assist_route(60), fetch_route()),
        behaviour: Behaviour { events: 2, ..behaviour() },
    };
    let world = World::start(&plan);
    if !world.wait_until_ready() {
        return 2;
    }
    // A turn generates 50 tokens of at most 100.
    let (programs, budget, max_output) = (36usize, 800, 100);
    let send = |program: usize, number: usize, tries: usize, previous: Option<&str>| {
        let id = world.new_id();
        let host = &world.hosts[(program + number + tries) % world.hosts.len()];
        let name = format!("dd{program:04}");
        let turn = Turn {
            program: &name,
            previous,
            budget,
            max_output,
            body: b"a question",
            deadline_ms: 3_000,
            finish_ms: 90_000,
            prefix: CHAT,
        };
        let answer = match Client::connect(host.caller, Duration::from_secs(5)) {
            Ok(mut client) => send_turn(&mut client, &id, &turn),
            Err(error) => Answer { error: error.to_string(), ..Answer::default() },
        };
        let ran = world.run_of(&id).is_some();
        let detail = if answer.status == 200 {
            String::new()
        } else {
            String::from_utf8_lossy(&answer.body).into_owned()
        };
        world.record.line(&format!(
            "client: {name} turn {number} {id} after {previous:?} to {}: {} {} {} {detail} ran: {ran}",
            host.name, answer.status, if answer.is_whole { "whole" } else { "broken" }, answer.error
        ));
        (id, answer.status == 200 && answer.is_whole, answer.status, ran)
    };
    // Returns the turn that was answered whole, or how many tries failed and whether one reached a server.
    let take_turn = |program: usize, number: usize, previous: Option<&str>| {
        let (mut reached, mut tries) = (false, 0);
        while tries < 6 {
            let (id, is_whole, status, ran) = send(program, number, tries, previous);
            tries += 1;
            reached |= ran;
            if is_whole {
                return Ok(id);
            }
            if matches!(status, 402 | 404) {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        Err((tries, reached))
    };
    let previous: Vec<Mutex<Option<String>>> = (0..programs).map(|_| Mutex::default()).collect();
    let (lost, ended) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let (first, first_reached) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let run = |numbers: std::ops::Range<usize>, counts: bool| {
        thread::scope(|scope| {
            for program in 0..programs {
                let (previous, take_turn, numbers) = (&previous, &take_turn, numbers.clone());
                let (lost, ended) = (&lost, &ended);
                scope.spawn(move || {
                    let mut last = previous[program].lock().unwrap();
                    for number in numbers {
                        match take_turn(program, number, last.as_deref()) {
                            Ok(id) => *last = Some(id),
                            Err((tries, reached)) => {
                                let is_lost = counts && 5 <= tries && !reached;
                                lost.fetch_add(usize::from(is_lost), Ordering::Relaxed);
                                return;
                            }
                        }
                        thread::sleep(Duration::from_millis(100));
                    }
                    ended.fetch_add(usize::from(counts), Ordering::Relaxed);
                });
            }
        });
    };
    run(0..2, false);
    if is_troubled() {
        world.hosts[1].kill_and_start(Duration::from_secs(1));
        if !world.wait_until_ready() {
            return 2;
        }
    }
    // Longer than `contact_ms` after the machine is ready again.
    thread::sleep(Duration::from_secs(8));
    world.record.line("the programs go on");
    thread::scope(|scope| {
        scope.spawn(|| run(2..15, true));
        for other in 1_000..1_060 {
            let (_, _, _, ran) = send(other, 0, 0, None);
            first.fetch_add(1, Ordering::Relaxed);
            first_reached.fetch_add(usize::from(ran), Ordering::Relaxed);
            thread::sleep(Duration::from_millis(60));
        }
    });
    let get = |it: &AtomicUsize| it.load(Ordering::Relaxed);
    let text = format!(
        "{} of {programs} programs ended with 15 turns, 750 tokens of {budget}; turns that reached no server in 5 tries \
         or more: {}; {} of {} first turns of other programs reached one",
        get(&ended), get(&lost), get(&first_reached), get(&first)
    );
    verdict(&world, 0 < get(&lost) && 9 * get(&first) <= 10 * get(&first_reached), &text)
}
