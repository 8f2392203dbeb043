//! Measures how each role's cost grows with size, for docs/CAPACITY.md.
//!
//! Usage: `cargo run --release --example slopes`. It prints the points and, for each series, the
//! least-squares line through them.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Write},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rosethread_fakes::FakeLog;
use rosethread_journal::{Batch, Journal, JournalConfig, JournalIndex, Record};
use rosethread_membership::{AuthKeys, Contact, Detector, DetectorConfig, Message, target_owner};
use rosethread_platform::Clock;
use rosethread_policy::{
    Candidate, FairShares, PlacementRequest, QueuedCall, Strategy, Weights, choose_target,
    select_next_call,
};
use rosethread_program::{
    Budget, Continuation, Event, Exchange, Grant, History, Program, SealKey, SealKeys, Usage,
};
use rosethread_types::{Digest, Epoch, Incarnation, ProgramId, Revision};

/// Simulated time of each membership run, in probe periods.
const PERIODS: u32 = 60;

/// One measured point of a series.
struct Point {
    x: f64,
    y: f64,
}

fn main() -> io::Result<()> {
    let what = "Measures how state, messages and processor time grow with size.";
    if rosethread_testbed::parse_arguments(what, getopts::Options::new())?.is_none() {
        return Ok(());
    }
    // Memory is measured first, before anything is freed that could be used again.
    programs()?;
    journal()?;
    membership()?;
    decisions()?;
    recovery()
}

fn say(text: &str) -> io::Result<()> {
    writeln!(io::stdout(), "{text}")
}

/// Prints a series with its least-squares line.
fn fit(name: &str, unit: &str, points: &[Point]) -> io::Result<()> {
    let n = points.len() as f64;
    let (sx, sy): (f64, f64) = points.iter().fold((0.0, 0.0), |a, p| (a.0 + p.x, a.1 + p.y));
    let sxx: f64 = points.iter().map(|p| p.x * p.x).sum();
    let sxy: f64 = points.iter().map(|p| p.x * p.y).sum();
    let slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    let offset = (sy - slope * sx) / n;
    let shown: Vec<String> = points.iter().map(|p| format!("{}: {:.3}", p.x, p.y)).collect();
    say(&format!("{name} [{unit}]  {}", shown.join("  ")))?;
    say(&format!("    fit: {offset:.4} + {slope:.6} x"))
}

fn named<T>(text: String) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("names in measurements are valid")
}

fn contact(index: usize) -> Contact {
    let address = |kind: u8| {
        SocketAddr::from(([127, kind, (index / 200) as u8, (index % 200) as u8 + 1], 9_000))
    };
    Contact {
        zone: named(format!("zone-{}", index % 24)),
        caller: address(1),
        peer: address(2),
        heartbeat: address(3),
    }
}

/// Runs detectors without a network and measures what each sends, and its processor time.
fn membership() -> io::Result<()> {
    say("== membership: one detector among n, period 400 ms")?;
    let keys = AuthKeys::new(vec![vec![7; 16]]);
    let mut bytes = Vec::new();
    let mut messages = Vec::new();
    let mut micros = Vec::new();
    for n in [3_usize, 10, 30, 100, 300] {
        let run = run_detectors(n, &keys);
        let x = n as f64;
        bytes.push(Point { x, y: run.bytes / 1_000.0 });
        messages.push(Point { x, y: run.messages });
        micros.push(Point { x, y: run.cpu_share * 100.0 });
    }
    fit("sent per node", "KB/s", &bytes)?;
    fit("messages sent per node", "1/s", &messages)?;
    fit("processor time per node", "% of a core", &micros)?;
    say(&format!(
        "one report in a datagram: {} bytes; one target's owner by hash among 55 nodes: {:.2} us",
        report_bytes(),
        time_of(20_000, |index| {
            let view = hash_view();
            let zone = named("zone-0".to_owned());
            move || {
                std::hint::black_box(target_owner(&view, &format!("t{index}"), &zone));
            }
        })
    ))
}

struct DetectorRun {
    bytes: f64,
    messages: f64,
    cpu_share: f64,
}

fn run_detectors(n: usize, keys: &AuthKeys) -> DetectorRun {
    let config = DetectorConfig::default();
    let name = |index: usize| named(format!("node-{index}"));
    let mut detectors: Vec<Detector> = (0..n)
        .map(|it| Detector::new(name(it), Incarnation(1), contact(it), config, it as u64 + 1))
        .collect();
    for (index, detector) in detectors.iter_mut().enumerate() {
        for other in (0..n).filter(|it| *it != index) {
            detector.add_node(Duration::ZERO, name(other), contact(other));
        }
    }
    let by_address: BTreeMap<SocketAddr, usize> =
        (0..n).map(|it| (contact(it).heartbeat, it)).collect();
    let (mut sent, mut count) = (0_usize, 0_usize);
    let start = Instant::now();
    for period in 0..PERIODS {
        let now = config.period * period;
        let mut queue: Vec<(SocketAddr, Message)> = Vec::new();
        for detector in &mut detectors {
            queue.extend(detector.tick(now).into_iter().map(|it| (it.to, it.message)));
        }
        while let Some((to, message)) = queue.pop() {
            let datagram = keys.encode(&message, 0);
            sent += datagram.len();
            count += 1;
            let message = keys.decode(&datagram, 0).expect("own datagrams are genuine");
            let answers = detectors[by_address[&to]].receive(now, message);
            queue.extend(answers.into_iter().map(|it| (it.to, it.message)));
        }
        for detector in &mut detectors {
            std::hint::black_box(detector.retry_probe(now));
            std::hint::black_box(detector.view());
        }
    }
    let simulated_s = (config.period * PERIODS).as_secs_f64() * n as f64;
    DetectorRun {
        bytes: sent as f64 / simulated_s,
        messages: count as f64 / simulated_s,
        cpu_share: start.elapsed().as_secs_f64() / simulated_s,
    }
}

fn hash_view() -> rosethread_membership::ClusterView {
    let config = DetectorConfig::default();
    let mut detector =
        Detector::new(named("node-0".to_owned()), Incarnation(1), contact(0), config, 1);
    for index in 1..55 {
        detector.add_node(Duration::ZERO, named(format!("node-{index}")), contact(index * 24));
    }
    detector.view()
}

fn report_bytes() -> usize {
    let keys = AuthKeys::new(vec![vec![7; 16]]);
    let states: Vec<_> = hash_view().nodes.into_values().take(9).collect();
    let size = |count: usize| {
        let message = Message {
            kind: rosethread_membership::MessageKind::Ping,
            number: 1,
            states: states[..count].to_vec(),
        };
        keys.encode(&message, 0).len()
    };
    (size(9) - size(1)) / 8
}

/// Returns the mean time of one operation, in microseconds.
fn time_of<F>(count: usize, mut make: impl FnMut(usize) -> F) -> f64
where
    F: FnMut(),
{
    let mut operation = make(0);
    let start = Instant::now();
    for _ in 0..count {
        operation();
    }
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn grant(index: u128) -> Grant {
    Grant {
        program: ProgramId {
            member: named("member-17".to_owned()),
            partition: 0,
            random: index << 64,
        },
        class: named("long".to_owned()),
        model: named("model".to_owned()),
        budget: Budget {
            tokens: 370_000,
            calls: 140,
            wall: Duration::from_secs(86_400),
            block: 18_500,
        },
        parent: None,
        created_ms: 1_800_000_000_000,
    }
}

fn exchange(turn: u32, bytes: usize) -> Exchange {
    Exchange {
        request: named(format!("r{turn}")),
        input: "i".repeat(bytes / 2),
        answer: "a".repeat(bytes / 2),
        prompted: true,
        usage: Usage { prompt: 1_000, cached: 900, completion: 80 },
    }
}

/// Resident memory of this process, in bytes.
fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<f64>().ok());
    pages.unwrap_or_default() * 4_096.0
}

/// Measures the bytes of records, and the cost of folding them.
fn journal() -> io::Result<()> {
    say("== journal: bytes per record, fold per program")?;
    let size = |event: Event| {
        let program = grant(1).program;
        let record = Record::Program { program, epoch: Epoch(1 << 40), event };
        batch(1, vec![record]).encode().len() - batch(1, Vec::new()).encode().len()
    };
    let finished = |exchange| Event::Finished { turn: 70, spent: 100_000, exchange };
    say(&format!(
        "claim {} B, reserve {} B, intent {} B, turn without exchange {} B, turn with 2000 B {} B",
        size(Event::Claimed(grant(1))),
        size(Event::Reserved(100_000)),
        size(Event::Intended(named("r70".to_owned()))),
        size(finished(None)),
        size(finished(Some(exchange(70, 2_000)))),
    ))?;
    let mut memory = Vec::new();
    let mut micros = Vec::new();
    // Kept to the end, since freed memory would be used again and not counted.
    let mut folds = Vec::new();
    for n in [20_000_u64, 40_000, 80_000, 160_000] {
        let before = resident();
        let start = Instant::now();
        let mut fold = JournalIndex::default();
        for index in 0..n {
            let claim = Record::Program {
                program: grant(u128::from(index)).program,
                epoch: Epoch::UNCLAIMED,
                event: Event::Claimed(grant(u128::from(index))),
            };
            std::hint::black_box(fold.apply(index, &batch(index + 1, vec![claim])));
        }
        micros.push(Point { x: n as f64, y: start.elapsed().as_secs_f64() * 1e6 / n as f64 });
        memory.push(Point { x: n as f64, y: (resident() - before) / 1e6 });
        folds.push(fold);
    }
    std::mem::forget(folds);
    fit("index of n programs", "MB", &memory)?;
    fit("folding one record at n programs", "us", &micros)
}

fn batch(number: u64, records: Vec<Record>) -> Batch {
    Batch {
        node: named("node-1".to_owned()),
        incarnation: Incarnation(1),
        number,
        written_ms: 1_800_000_000_000,
        records,
    }
}

/// Measures a program's memory at its owner, and the cost of its continuation.
fn programs() -> io::Result<()> {
    say("== program owner: memory and continuation")?;
    let mut memory = Vec::new();
    let mut kept = Vec::new();
    for n in [5_000_u64, 10_000, 20_000] {
        let before = resident();
        let programs: Vec<Program> = (0..n).map(|it| program(u128::from(it), 10, 400)).collect();
        memory.push(Point { x: n as f64, y: (resident() - before) / 1e6 });
        kept.push(programs);
    }
    std::mem::forget(kept);
    fit("n programs of 10 turns, 4000 B of history each", "MB", &memory)?;
    let keys = SealKeys::new(SealKey(vec![9; 32]), Vec::new());
    let continuation = Continuation {
        grant: grant(1),
        owner: named("node-1".to_owned()),
        epoch: Epoch(1 << 40),
        turn: 70,
        spent: 100_000,
        digest: Digest::default(),
        revision: Revision(9),
        target: Some(named("engine-17".to_owned())),
    };
    let sealed = keys.seal(&continuation);
    let seal_us = time_of(20_000, |_| {
        || {
            std::hint::black_box(keys.seal(&continuation));
        }
    });
    let open_us = time_of(20_000, |_| {
        || {
            std::hint::black_box(keys.open(&sealed).is_ok());
        }
    });
    say(&format!(
        "continuation {} bytes, sealed in {seal_us:.2} us, opened in {open_us:.2} us",
        sealed.len()
    ))
}

fn program(index: u128, turns: u32, bytes: usize) -> Program {
    let mut recovery = rosethread_program::Recovery::default();
    recovery.apply(Event::Claimed(grant(index)));
    let mut history = History::default();
    for turn in 0..turns {
        history.push(exchange(turn, bytes));
    }
    for (turn, exchange) in history.exchanges().iter().enumerate() {
        let exchange = Some(exchange.clone());
        recovery.apply(Event::Finished { turn: turn as u32, spent: 1_000, exchange });
    }
    recovery.build().expect("a claimed program can be built")
}

/// Measures each decision at several sizes.
fn decisions() -> io::Result<()> {
    say("== decisions")?;
    let mut placing = Vec::new();
    for n in [5_usize, 50, 500] {
        let mut candidates = vec![
            Candidate {
                slots: 8,
                running: 4,
                prefill_rate: 8e3,
                service_s: 0.5,
                ..Candidate::default()
            };
            n
        ];
        // A program under way, whose home caches its history.
        candidates[0].cached = 9_000;
        let request = PlacementRequest { prompt_tokens: 10_000, home: None, random: 1 };
        let us = time_of(20_000, |_| {
            || {
                let placement =
                    choose_target(Strategy::Adaptive, &candidates, request, Weights::default());
                std::hint::black_box(placement);
            }
        });
        placing.push(Point { x: n as f64, y: us });
    }
    fit("placing a call among n targets", "us", &placing)?;
    let mut picking = Vec::new();
    for n in [100_usize, 1_000, 10_000, 100_000] {
        let waiting: Vec<QueuedCall> = (0..n)
            .map(|it| QueuedCall {
                member: named(format!("member-{}", it % 1_100)),
                priority: 0,
                reserved: false,
                waited_s: it as f64 / n as f64,
            })
            .collect();
        let shares = FairShares::default();
        let us = time_of(2_000_000 / n, |_| {
            || {
                std::hint::black_box(select_next_call(Strategy::Adaptive, &waiting, &shares, 4, 8));
            }
        });
        picking.push(Point { x: n as f64, y: us });
    }
    fit("picking among n waiting calls", "us", &picking)
}

/// Measures the time to rebuild programs from the journal, with the log at hand.
fn recovery() -> io::Result<()> {
    say("== recovery: n programs of 10 turns, 2000 B a turn, log without delay")?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut points = Vec::new();
    for n in [1_u64, 100, 10_000] {
        let ms = runtime.block_on(recover(n));
        points.push(Point { x: n as f64, y: ms });
    }
    fit("recovering n programs", "ms", &points)
}

async fn recover(n: u64) -> f64 {
    let log = Arc::new(FakeLog::new());
    let stream = named("journal".to_owned());
    let mut number = 0;
    let mut append = |records| {
        number += 1;
        log.append_bypassing_faults(&stream, batch(number, records).encode())
    };
    let ids: Vec<ProgramId> = (0..n).map(|it| grant(u128::from(it)).program).collect();
    let mut epochs = Vec::new();
    for chunk in (0..n).collect::<Vec<_>>().chunks(50) {
        let claims = chunk.iter().map(|it| Record::Program {
            program: grant(u128::from(*it)).program,
            epoch: Epoch::UNCLAIMED,
            event: Event::Claimed(grant(u128::from(*it))),
        });
        let offset = append(claims.collect());
        let positions = 0..chunk.len();
        epochs.extend(
            positions.map(|it| Epoch::of_claim(rosethread_types::Position::new(offset, it))),
        );
    }
    for turn in 0..10 {
        for chunk in (0..n as usize).collect::<Vec<_>>().chunks(50) {
            let turns = chunk.iter().map(|it| Record::Program {
                program: ids[*it].clone(),
                epoch: epochs[*it],
                event: Event::Finished {
                    turn,
                    spent: 1_000,
                    exchange: Some(exchange(turn, 2_000)),
                },
            });
            append(turns.collect());
        }
    }
    let config =
        JournalConfig::new(stream, named("reader".to_owned()), Incarnation(2), Clock::system());
    let (journal, writer, reader) = Journal::new(config, log);
    let (writer, reader) = (tokio::spawn(writer), tokio::spawn(reader));
    while !journal.is_caught_up() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let start = Instant::now();
    let recoveries = journal.recover_all(&ids).await.expect("the log is up");
    let built = recoveries.into_iter().filter_map(|it| it.build());
    assert!(built.into_iter().all(|it| it.history.next_turn() == 10), "a program lost turns");
    let elapsed = start.elapsed();
    writer.abort();
    reader.abort();
    elapsed.as_secs_f64() * 1e3
}
