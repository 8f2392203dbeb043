//! Measures how the costs of each part of a node grow with size, for docs/CAPACITY.md: memory,
//! messages and processor time.
//!
//! Usage: `cargo run --release --example slopes`. It prints the points of each series and
//! the least-squares line through them.

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
    Candidate, FairShares, Holders, PartDemand, PlacementRequest, QueuedCall, Strategy, Weights,
    choose_target, select_next_call,
};
use rosethread_program::{
    Budget, Continuation, Event, Exchange, Grant, History, Program, SealKey, SealKeys, Usage,
};
use rosethread_types::{Digest, Epoch, Incarnation, ProgramId, Revision, TargetName};

/// The simulated duration of each membership run, in probe periods.
const PERIOD_COUNT: u32 = 60;

/// One point of a series: a size, and the cost measured at it.
struct Point {
    x: f64,
    y: f64,
}

fn main() -> io::Result<()> {
    let what = "Measures how state, messages and processor time grow with size.";
    if rosethread_testbed::parse_arguments(what, getopts::Options::new())?.is_none() {
        return Ok(());
    }
    // Memory is measured first: later on, allocations would reuse freed memory, which the resident
    // size already counts.
    measure_programs()?;
    measure_journal()?;
    measure_membership()?;
    measure_decisions()?;
    measure_recovery()
}

fn print_line(text: &str) -> io::Result<()> {
    writeln!(io::stdout(), "{text}")
}

/// Prints a series and the least-squares line through its points.
fn print_fit(name: &str, unit: &str, points: &[Point]) -> io::Result<()> {
    let n = points.len() as f64;
    let (sx, sy): (f64, f64) = points.iter().fold((0.0, 0.0), |a, p| (a.0 + p.x, a.1 + p.y));
    let sxx: f64 = points.iter().map(|p| p.x * p.x).sum();
    let sxy: f64 = points.iter().map(|p| p.x * p.y).sum();
    let slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    let offset = (sy - slope * sx) / n;
    let shown: Vec<String> = points.iter().map(|p| format!("{}: {:.3}", p.x, p.y)).collect();
    print_line(&format!("{name} [{unit}]  {}", shown.join("  ")))?;
    print_line(&format!("    fit: {offset:.4} + {slope:.6} x"))
}

fn parse_name<T>(text: String) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the names in this example are valid")
}

/// Returns distinct loopback addresses for each of up to 51,200 nodes, in 24 zones.
fn sample_contact(index: usize) -> Contact {
    let address = |kind: u8| {
        SocketAddr::from(([127, kind, (index / 200) as u8, (index % 200) as u8 + 1], 9_000))
    };
    Contact {
        zone: parse_name(format!("zone-{}", index % 24)),
        caller: address(1),
        peer: address(2),
        heartbeat: address(3),
    }
}

/// Runs failure detectors without a network, and measures the messages and the processor time of
/// each.
fn measure_membership() -> io::Result<()> {
    print_line("== membership: one detector among n, period 400 ms")?;
    let keys = AuthKeys::new(vec![vec![7; 16]]);
    let mut bytes = Vec::new();
    let mut messages = Vec::new();
    let mut micros = Vec::new();
    for n in [3_usize, 10, 30, 100, 300] {
        let run = run_detectors(n, &keys);
        let x = n as f64;
        bytes.push(Point { x, y: run.bytes_per_s / 1_000.0 });
        messages.push(Point { x, y: run.messages_per_s });
        micros.push(Point { x, y: run.cpu_share * 100.0 });
    }
    print_fit("sent per node", "KB/s", &bytes)?;
    print_fit("messages sent per node", "1/s", &messages)?;
    print_fit("processor time per node", "% of a core", &micros)?;
    print_line(&format!(
        "one node's state in a datagram: {} bytes; owner of one target among 55 nodes: {:.2} us",
        node_state_bytes(),
        mean_time_us(20_000, |index| {
            let view = view_of_55_nodes();
            let zone = parse_name("zone-0".to_owned());
            move || {
                std::hint::black_box(target_owner(&view, &format!("t{index}"), &zone));
            }
        })
    ))
}

/// What one detector of a run used on average.
struct DetectorRun {
    bytes_per_s: f64,
    messages_per_s: f64,
    /// Processor time as a fraction of one core.
    cpu_share: f64,
}

fn run_detectors(n: usize, keys: &AuthKeys) -> DetectorRun {
    let config = DetectorConfig::default();
    let name = |index: usize| parse_name(format!("node-{index}"));
    let mut detectors: Vec<Detector> = (0..n)
        .map(|it| {
            Detector::new(name(it), Incarnation(1), sample_contact(it), config, it as u64 + 1)
        })
        .collect();
    for (index, detector) in detectors.iter_mut().enumerate() {
        for other in (0..n).filter(|it| *it != index) {
            detector.add_node(Duration::ZERO, name(other), sample_contact(other));
        }
    }
    let by_address: BTreeMap<SocketAddr, usize> =
        (0..n).map(|it| (sample_contact(it).heartbeat, it)).collect();
    let (mut sent_bytes, mut message_count) = (0_usize, 0_usize);
    let start = Instant::now();
    for period in 0..PERIOD_COUNT {
        let now = config.period * period;
        let mut queue: Vec<(SocketAddr, Message)> = Vec::new();
        for detector in &mut detectors {
            queue.extend(detector.tick(now).into_iter().map(|it| (it.to, it.message)));
        }
        while let Some((to, message)) = queue.pop() {
            let datagram = keys.encode(&message, 0);
            sent_bytes += datagram.len();
            message_count += 1;
            let message =
                keys.decode(&datagram, 0).expect("a datagram of the same key and time is accepted");
            let replies = detectors[by_address[&to]].receive(now, message);
            queue.extend(replies.into_iter().map(|it| (it.to, it.message)));
        }
        for detector in &mut detectors {
            std::hint::black_box(detector.retry_probe(now));
            std::hint::black_box(detector.view());
        }
    }
    let simulated_s = (config.period * PERIOD_COUNT).as_secs_f64() * n as f64;
    DetectorRun {
        bytes_per_s: sent_bytes as f64 / simulated_s,
        messages_per_s: message_count as f64 / simulated_s,
        cpu_share: start.elapsed().as_secs_f64() / simulated_s,
    }
}

/// Returns a node's view of a cluster of 55 nodes.
fn view_of_55_nodes() -> rosethread_membership::ClusterView {
    let config = DetectorConfig::default();
    let mut detector = Detector::new(
        parse_name("node-0".to_owned()),
        Incarnation(1),
        sample_contact(0),
        config,
        1,
    );
    for index in 1..55 {
        detector.add_node(
            Duration::ZERO,
            parse_name(format!("node-{index}")),
            sample_contact(index * 24),
        );
    }
    detector.view()
}

/// Returns the bytes that the state of one node adds to a datagram.
fn node_state_bytes() -> usize {
    let keys = AuthKeys::new(vec![vec![7; 16]]);
    let states: Vec<_> = view_of_55_nodes().nodes.into_values().take(9).collect();
    let size = |count: usize| {
        let message = Message {
            kind: rosethread_membership::MessageKind::Ping,
            number: 1,
            states: states[..count].to_vec(),
            notices: Vec::new(),
        };
        keys.encode(&message, 0).len()
    };
    (size(9) - size(1)) / 8
}

/// Returns the mean time of `count` runs of an operation, in microseconds.
fn mean_time_us<F>(count: usize, mut make_operation: impl FnMut(usize) -> F) -> f64
where
    F: FnMut(),
{
    let mut operation = make_operation(0);
    let start = Instant::now();
    for _ in 0..count {
        operation();
    }
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn sample_grant(index: u128) -> Grant {
    Grant {
        program: ProgramId {
            member: parse_name("member-17".to_owned()),
            partition: 0,
            random: index << 64,
        },
        class: parse_name("long".to_owned()),
        model: parse_name("model".to_owned()),
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

fn sample_exchange(turn: u32, bytes: usize) -> Exchange {
    Exchange {
        request: parse_name(format!("r{turn}")),
        input: "i".repeat(bytes / 2),
        answer: "a".repeat(bytes / 2),
        prompted: true,
        usage: Usage { prompt: 1_000, cached: 900, completion: 80 },
    }
}

/// Returns the resident memory of this process in bytes, assuming pages of 4 KiB.
fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<f64>().ok());
    pages.unwrap_or_default() * 4_096.0
}

/// Measures the encoded size of records, and the memory and time of indexing them.
fn measure_journal() -> io::Result<()> {
    print_line("== journal: bytes per record, index per program")?;
    let size = |event: Event| {
        let program = sample_grant(1).program;
        let record = Record::Program { program, epoch: Epoch(1 << 40), event };
        make_batch(1, vec![record]).encode().len() - make_batch(1, Vec::new()).encode().len()
    };
    let finished = |exchange| Event::Finished { turn: 70, spent: 100_000, exchange };
    print_line(&format!(
        "claim {} B, reserve {} B, intent {} B, turn without exchange {} B, turn with 2000 B {} B",
        size(Event::Claimed(sample_grant(1))),
        size(Event::Reserved(100_000)),
        size(Event::Intended(parse_name("r70".to_owned()))),
        size(finished(None)),
        size(finished(Some(sample_exchange(70, 2_000)))),
    ))?;
    let mut memory = Vec::new();
    let mut micros = Vec::new();
    // The indexes are never freed: the next one would reuse their memory, which the resident size
    // already counts.
    let mut indexes = Vec::new();
    for n in [20_000_u64, 40_000, 80_000, 160_000] {
        let before = resident_bytes();
        let start = Instant::now();
        let mut journal_index = JournalIndex::default();
        for index in 0..n {
            let claim = Record::Program {
                program: sample_grant(u128::from(index)).program,
                epoch: Epoch::UNCLAIMED,
                event: Event::Claimed(sample_grant(u128::from(index))),
            };
            std::hint::black_box(journal_index.apply(index, &make_batch(index + 1, vec![claim])));
        }
        micros.push(Point { x: n as f64, y: start.elapsed().as_secs_f64() * 1e6 / n as f64 });
        memory.push(Point { x: n as f64, y: (resident_bytes() - before) / 1e6 });
        indexes.push(journal_index);
    }
    std::mem::forget(indexes);
    print_fit("index of n programs", "MB", &memory)?;
    print_fit("indexing one record at n programs", "us", &micros)
}

fn make_batch(number: u64, records: Vec<Record>) -> Batch {
    Batch {
        node: parse_name("node-1".to_owned()),
        incarnation: Incarnation(1),
        number,
        written_ms: 1_800_000_000_000,
        records,
    }
}

/// Measures the memory of programs at their owner, and the size and processor time of a
/// continuation.
fn measure_programs() -> io::Result<()> {
    print_line("== program owner: memory and continuation")?;
    let mut memory = Vec::new();
    let mut retained = Vec::new();
    for n in [5_000_u64, 10_000, 20_000] {
        let before = resident_bytes();
        let programs: Vec<Program> =
            (0..n).map(|it| build_program(u128::from(it), 10, 400)).collect();
        memory.push(Point { x: n as f64, y: (resident_bytes() - before) / 1e6 });
        retained.push(programs);
    }
    std::mem::forget(retained);
    print_fit("n programs of 10 turns, 4000 B of history each", "MB", &memory)?;
    let keys = SealKeys::new(SealKey(vec![9; 32]), Vec::new());
    let continuation = Continuation {
        grant: sample_grant(1),
        owner: parse_name("node-1".to_owned()),
        epoch: Epoch(1 << 40),
        turn: 70,
        spent: 100_000,
        digest: Digest::default(),
        revision: Revision(9),
        target: Some(parse_name("engine-17".to_owned())),
    };
    let sealed = keys.seal(&continuation);
    let seal_us = mean_time_us(20_000, |_| {
        || {
            std::hint::black_box(keys.seal(&continuation));
        }
    });
    let open_us = mean_time_us(20_000, |_| {
        || {
            std::hint::black_box(keys.open(&sealed).is_ok());
        }
    });
    print_line(&format!(
        "continuation {} bytes, sealed in {seal_us:.2} us, opened in {open_us:.2} us",
        sealed.len()
    ))
}

fn build_program(index: u128, turns: u32, bytes: usize) -> Program {
    let mut recovery = rosethread_program::Recovery::default();
    recovery.apply(Event::Claimed(sample_grant(index)));
    let mut history = History::default();
    for turn in 0..turns {
        history.push(sample_exchange(turn, bytes));
    }
    for (turn, exchange) in history.exchanges().iter().enumerate() {
        let exchange = Some(exchange.clone());
        recovery.apply(Event::Finished { turn: turn as u32, spent: 1_000, exchange });
    }
    recovery.build().expect("a claimed program can be built")
}

/// Measures the time of each scheduling decision at several numbers of candidates.
fn measure_decisions() -> io::Result<()> {
    print_line("== decisions")?;
    let mut placement_us = Vec::new();
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
        // The call belongs to a running program, and its last target caches the program's history.
        candidates[0].cached = 9_000;
        let request = PlacementRequest { prompt_tokens: 10_000, home: None, random: 1 };
        let us = mean_time_us(20_000, |_| {
            || {
                let placement =
                    choose_target(Strategy::Adaptive, &candidates, request, Weights::default());
                std::hint::black_box(placement);
            }
        });
        placement_us.push(Point { x: n as f64, y: us });
    }
    print_fit("placing a call among n targets", "us", &placement_us)?;
    let holder_us: Vec<Point> = [63_usize, 650, 6_700]
        .into_iter()
        .map(|n| Point { x: n as f64, y: time_holders(n) })
        .collect();
    print_fit("finding the holders of a shared part among n targets", "us", &holder_us)?;
    let mut selection_us = Vec::new();
    for n in [100_usize, 1_000, 10_000, 100_000] {
        let waiting: Vec<QueuedCall> = (0..n)
            .map(|it| QueuedCall {
                member: parse_name(format!("member-{}", it % 1_100)),
                priority: 0,
                reserved: false,
                waited_s: it as f64 / n as f64,
            })
            .collect();
        let shares = FairShares::default();
        let us = mean_time_us(2_000_000 / n, |_| {
            || {
                std::hint::black_box(select_next_call(Strategy::Adaptive, &waiting, &shares, 4, 8));
            }
        });
        selection_us.push(Point { x: n as f64, y: us });
    }
    print_fit("selecting among n waiting calls", "us", &selection_us)
}

/// Returns the time, in microseconds, to find the holders of a prompt's shared part among `count`
/// targets, on a host that has seen a thousand calls with sixteen parts.
fn time_holders(count: usize) -> f64 {
    let names: Vec<TargetName> = (0..count).map(|it| parse_name(format!("target-{it}"))).collect();
    let names: Vec<&TargetName> = names.iter().collect();
    let prompt = |number: usize| {
        let part = |id: String| id.parse().expect("the part is valid");
        vec![(part(format!("{:x}", number % 16)), 12_600), (part(format!("ff{number:x}")), 1_700)]
    };
    let mut demand = PartDemand::default();
    for number in 0..1_000 {
        demand.observe(None, &prompt(number), Duration::from_millis(number as u64));
    }
    let (prompt, now) = (prompt(7), Duration::from_secs(1));
    mean_time_us(2_000_000 / count, |_| {
        || {
            let holders = Holders::find(&demand, &prompt, &names, 3.0, now);
            std::hint::black_box(holders.map(|it| it.usable(|_| false).len()));
        }
    })
}

/// Measures the time to rebuild programs from the journal, with an in-memory log that responds at
/// once.
fn measure_recovery() -> io::Result<()> {
    print_line("== recovery: n programs of 10 turns, 2000 B a turn, log without delay")?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut points = Vec::new();
    for n in [1_u64, 100, 10_000] {
        let ms = runtime.block_on(time_recovery(n));
        points.push(Point { x: n as f64, y: ms });
    }
    print_fit("recovering n programs", "ms", &points)
}

/// Writes `n` programs to a log, recovers them all, and returns the time of the recovery in
/// milliseconds.
async fn time_recovery(n: u64) -> f64 {
    let log = Arc::new(FakeLog::new());
    let stream = parse_name("journal".to_owned());
    let mut number = 0;
    let mut append = |records| {
        number += 1;
        log.append_bypassing_faults(&stream, make_batch(number, records).encode())
    };
    let ids: Vec<ProgramId> = (0..n).map(|it| sample_grant(u128::from(it)).program).collect();
    let mut epochs = Vec::new();
    for chunk in (0..n).collect::<Vec<_>>().chunks(50) {
        let claims = chunk.iter().map(|it| Record::Program {
            program: sample_grant(u128::from(*it)).program,
            epoch: Epoch::UNCLAIMED,
            event: Event::Claimed(sample_grant(u128::from(*it))),
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
                    exchange: Some(sample_exchange(turn, 2_000)),
                },
            });
            append(turns.collect());
        }
    }
    let config = JournalConfig::new(
        stream,
        parse_name("reader".to_owned()),
        Incarnation(2),
        Clock::system(),
    );
    let (journal, writer, reader) = Journal::new(config, log);
    let (writer, reader) = (tokio::spawn(writer), tokio::spawn(reader));
    while !journal.is_caught_up() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let start = Instant::now();
    let recoveries = journal.recover_all(&ids).await.expect("the log is available");
    let built = recoveries.into_iter().filter_map(|it| it.build());
    assert!(built.into_iter().all(|it| it.history.next_turn() == 10), "a program lost turns");
    let elapsed = start.elapsed();
    writer.abort();
    reader.abort();
    elapsed.as_secs_f64() * 1e3
}
