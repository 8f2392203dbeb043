//! The journal over a log that is slow, rate-limited, unavailable, or loses acknowledgements or
//! unread entries.

use std::{sync::Arc, time::Duration};

use rosethread_fakes::{FakeLog, LogFaults};
use rosethread_journal::{Journal, JournalConfig, Record, Verdict};
use rosethread_platform::{Clock, LogService};
use rosethread_program::{Budget, Event, Grant};
use rosethread_types::{Epoch, Incarnation, ProgramId};
use tokio::time::{Instant, sleep};

fn grant(index: u32) -> Grant {
    let program: ProgramId = format!("lyra.0.{index:032x}").parse().unwrap();
    Grant {
        program,
        class: "long".parse().unwrap(),
        model: "m".parse().unwrap(),
        budget: Budget { tokens: 900, calls: 9, wall: Duration::from_secs(600), block: 90 },
        parent: None,
        created_ms: 0,
    }
}

fn claim(index: u32, replaced: Epoch) -> Record {
    let grant = grant(index);
    let program = grant.program.clone();
    Record::Program { program, epoch: replaced, event: Event::Claimed(grant) }
}

fn start(log: &Arc<FakeLog>, node: &str) -> Journal {
    let config = JournalConfig::new(
        "journal".parse().unwrap(),
        node.parse().unwrap(),
        Incarnation(1),
        Clock::starting_at(0),
    );
    let (journal, writer, reader) = Journal::new(config, log.clone());
    tokio::spawn(writer);
    tokio::spawn(reader);
    journal
}

fn on_paused_clock(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(test);
}

fn check_faults(faults: LogFaults, max_delay: Duration) {
    on_paused_clock(async {
        let log = Arc::new(FakeLog::new());
        log.set_faults(faults);
        let (a, b) = (start(&log, "a"), start(&log, "b"));
        for index in 0..20 {
            let start = Instant::now();
            let (first, second) = (claim(index, Epoch::UNCLAIMED), claim(index, Epoch::UNCLAIMED));
            let (first, second) =
                tokio::join!(a.submit(first).verdict(), b.submit(second).verdict());
            let accepted = [first, second]
                .into_iter()
                .filter(|it| matches!(it, Ok(Verdict::Accepted(_))))
                .count();
            assert_eq!(accepted, 1, "exactly one of two claims must be accepted");
            assert!(start.elapsed() <= max_delay, "{:?}", start.elapsed());
        }
        a.catch_up().await.unwrap();
        b.catch_up().await.unwrap();
        for index in 0..20 {
            let program = grant(index).program;
            assert_eq!(a.index().program(&program), b.index().program(&program));
        }
    });
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

rosethread_cases::cases!(check_faults {
    no_fault: (LogFaults::default(), ms(60));
    slow: (LogFaults { delay: ms(100), ..LogFaults::default() }, ms(500));
    lost_acknowledgements: (LogFaults { lost_ack_every: 2, ..LogFaults::default() }, ms(200));
    limited_rate: (LogFaults { rate: 10, ..LogFaults::default() }, ms(2_000));
});

/// A verdict takes at most the append window plus three times the log's latency: once for the
/// append, once for a read in progress, and once for the read that returns the record.
fn check_delay(latency: Duration) {
    let max_delay = ms(25) + latency * 3;
    on_paused_clock(async {
        let log = Arc::new(FakeLog::new());
        log.set_faults(LogFaults { delay: latency, ..LogFaults::default() });
        let journal = start(&log, "a");
        sleep(Duration::from_secs(1)).await;
        let start = Instant::now();
        let verdict = journal.submit(claim(1, Epoch::UNCLAIMED)).verdict().await;
        assert!(matches!(verdict, Ok(Verdict::Accepted(_))));
        assert!(start.elapsed() <= max_delay, "{:?}", start.elapsed());
    });
}

rosethread_cases::cases!(check_delay {
    delay_at_0_ms: (ms(0));
    delay_at_20_ms: (ms(20));
    delay_at_100_ms: (ms(100));
});

#[tokio::test(start_paused = true)]
async fn records_are_written_after_an_outage() {
    let log = Arc::new(FakeLog::new());
    let journal = start(&log, "a");
    log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    let receipt = journal.submit(claim(1, Epoch::UNCLAIMED));
    sleep(Duration::from_secs(60)).await;
    assert!(!journal.is_log_reachable());
    log.set_faults(LogFaults::default());
    assert!(matches!(receipt.verdict().await, Ok(Verdict::Accepted(_))));
}

#[tokio::test(start_paused = true)]
async fn a_gap_in_the_log_clears_the_index() {
    let log = Arc::new(FakeLog::new());
    log.set_faults(LogFaults { retention: Duration::from_secs(10), ..LogFaults::default() });
    let journal = start(&log, "a");
    let verdict = journal.submit(claim(1, Epoch::UNCLAIMED)).verdict().await;
    assert!(matches!(verdict, Ok(Verdict::Accepted(_))));
    let retention = log.faults().retention;
    log.set_faults(LogFaults { down: true, retention, ..LogFaults::default() });
    sleep(Duration::from_secs(5)).await;
    for _ in 0..3 {
        log.append_bypassing_faults(&"journal".parse().unwrap(), "foreign".into());
    }
    sleep(Duration::from_secs(20)).await;
    log.append_bypassing_faults(&"journal".parse().unwrap(), "foreign".into());
    log.set_faults(LogFaults { retention, ..LogFaults::default() });
    sleep(Duration::from_secs(3)).await;
    assert_eq!(journal.stats().gaps, 1);
    assert!(journal.index().program(&grant(1).program).is_none());
    let read = log.read(&"journal".parse().unwrap(), 0, 9, Duration::ZERO).await.unwrap();
    assert_eq!(read.first, read.end - 1);
}
