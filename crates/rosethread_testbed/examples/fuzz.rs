//! Runs many seeds of the whole-system fuzz test on all processors, and prints the sums of their
//! reports and the violated invariants.
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

/// The maximum number of failing seeds whose violations are printed.
const MAX_SHOWN_SEEDS: usize = 20;

/// The combined results of all runs.
#[derive(Default)]
struct Totals {
    /// The sums of the runs' counts; the violations are in `failures`.
    report: RunReport,
    /// The injected faults and the violations of each failing seed.
    failures: BTreeMap<u64, Vec<String>>,
}

fn main() -> io::Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("n", "seeds", "how many seeds to run (200)", "N");
    options.optopt("s", "first", "the first seed (0)", "N");
    let Some(matches) =
        parse_arguments("Runs the whole system under random faults, once per seed.", options)?
    else {
        return Ok(ExitCode::SUCCESS);
    };
    let parse_number =
        |name: &str, default: u64| matches.opt_get_default(name, default).map_err(io::Error::other);
    let (count, first) = (parse_number("seeds", 200)?, parse_number("first", 0)?);
    let start = Instant::now();
    let totals = run_seeds(first, count);
    print_totals(&totals, count, start.elapsed().as_secs_f64())
}

fn run_seeds(first: u64, count: u64) -> Totals {
    let next = AtomicU64::new(first);
    let totals = Mutex::new(Totals::default());
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
                    totals.lock().expect("no run panics").add_run(seed, &report);
                }
            });
        }
    });
    totals.into_inner().expect("no run panics")
}

impl Totals {
    fn add_run(&mut self, seed: u64, report: &RunReport) {
        let totals = &mut self.report;
        totals.attempts += report.attempts;
        totals.answers += report.answers;
        totals.unknown_outcomes += report.unknown_outcomes;
        totals.finished_programs += report.finished_programs;
        totals.stranded_tokens += report.stranded_tokens;
        totals.stale_calls += report.stale_calls;
        for (fault, count) in &report.faults {
            *totals.faults.entry(*fault).or_default() += count;
        }
        for (reason, count) in &report.refusals {
            *totals.refusals.entry(reason.clone()).or_default() += count;
        }
        if !report.violations.is_empty() {
            let details = report.violations.iter().map(ToString::to_string);
            let faults = format!("faults {:?}", report.faults.keys().collect::<Vec<_>>());
            self.failures.insert(seed, std::iter::once(faults).chain(details).collect());
        }
    }
}

fn print_totals(totals: &Totals, count: u64, seconds: f64) -> io::Result<ExitCode> {
    let mut out = io::stdout();
    let report = &totals.report;
    writeln!(out, "{count} seeds in {seconds:.1} s")?;
    writeln!(out, "attempts {}, answers {}", report.attempts, report.answers)?;
    writeln!(
        out,
        "programs finished {}, unknown outcomes {}",
        report.finished_programs, report.unknown_outcomes
    )?;
    writeln!(
        out,
        "stale calls {}, stranded tokens {}",
        report.stale_calls, report.stranded_tokens
    )?;
    for (reason, count) in &report.refusals {
        writeln!(out, "  refused {count:>6}  {reason}")?;
    }
    for (fault, count) in &report.faults {
        writeln!(out, "  fault   {count:>6}  {fault:?}")?;
    }
    for (seed, details) in totals.failures.iter().take(MAX_SHOWN_SEEDS) {
        writeln!(out, "seed {seed}")?;
        for detail in details.iter().take(5) {
            writeln!(out, "    {detail}")?;
        }
    }
    writeln!(out, "seeds with violations: {}", totals.failures.len())?;
    Ok(if totals.failures.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
