//! Runs many seeds of the whole-system fuzz and reports what they found.
//!
//! Usage: `cargo run --release --example fuzz -- --seeds 10000 [--first N]`

use std::{
    collections::BTreeMap,
    io::{self, Write},
    process::ExitCode,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use getopts::Options;
use rosethread_testbed::{
    memory::{FuzzOptions, RunReport, run_seed},
    parse_arguments,
};

/// Violations shown in full.
const SHOWN: usize = 20;

#[derive(Default)]
struct Total {
    report: RunReport,
    failures: BTreeMap<u64, Vec<String>>,
}

fn main() -> io::Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("n", "seeds", "how many seeds to run (200)", "N");
    options.optopt("s", "first", "the first seed (0)", "N");
    let Some(matches) =
        parse_arguments("Runs the whole system under faults, one seed after the other.", options)?
    else {
        return Ok(ExitCode::SUCCESS);
    };
    let number =
        |name: &str, default: u64| matches.opt_get_default(name, default).map_err(io::Error::other);
    let (count, first) = (number("seeds", 200)?, number("first", 0)?);
    let start = Instant::now();
    let total = run_all(first, count);
    show(&total, count, start.elapsed().as_secs_f64())
}

fn run_all(first: u64, count: u64) -> Total {
    let next = AtomicU64::new(first);
    let total = Mutex::new(Total::default());
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if first + count <= seed {
                        return;
                    }
                    let report = run_seed(seed, FuzzOptions::default());
                    total.lock().expect("no run panics").add(seed, &report);
                }
            });
        }
    });
    total.into_inner().expect("no run panics")
}

impl Total {
    fn add(&mut self, seed: u64, report: &RunReport) {
        let total = &mut self.report;
        total.attempts += report.attempts;
        total.answers += report.answers;
        total.unknown_outcomes += report.unknown_outcomes;
        total.finished_programs += report.finished_programs;
        total.stranded_tokens += report.stranded_tokens;
        total.stale_calls += report.stale_calls;
        for (fault, count) in &report.faults {
            *total.faults.entry(*fault).or_default() += count;
        }
        for (reason, count) in &report.refusals {
            *total.refusals.entry(reason.clone()).or_default() += count;
        }
        if !report.violations.is_empty() {
            let texts = report.violations.iter().map(ToString::to_string);
            let faults = format!("faults {:?}", report.faults.keys().collect::<Vec<_>>());
            self.failures.insert(seed, std::iter::once(faults).chain(texts).collect());
        }
    }
}

fn show(total: &Total, count: u64, seconds: f64) -> io::Result<ExitCode> {
    let mut out = io::stdout();
    let report = &total.report;
    writeln!(out, "{count} seeds in {seconds:.1} s")?;
    writeln!(out, "sendings {}, answers {}", report.attempts, report.answers)?;
    writeln!(
        out,
        "programs finished {}, unknown {}",
        report.finished_programs, report.unknown_outcomes
    )?;
    writeln!(out, "overtaken {}, stranded tokens {}", report.stale_calls, report.stranded_tokens)?;
    for (reason, count) in &report.refusals {
        writeln!(out, "  refused {count:>6}  {reason}")?;
    }
    for (fault, count) in &report.faults {
        writeln!(out, "  fault   {count:>6}  {fault:?}")?;
    }
    for (seed, texts) in total.failures.iter().take(SHOWN) {
        writeln!(out, "seed {seed}")?;
        for text in texts.iter().take(5) {
            writeln!(out, "    {text}")?;
        }
    }
    writeln!(out, "seeds with violations: {}", total.failures.len())?;
    Ok(if total.failures.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
