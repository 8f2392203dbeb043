//! Compares the scheduling policies under load, with the same seeds for each.
//!
//! Usage: `cargo run --release --example measure -- [--deployment consortium|trailerwerk]
//! [--load 0.85] [--seconds 120] [--seed 1] [--seeds 3] [--json FILE] [--svg FILE]`.
//! The code of the nodes is real, but time is simulated, so a run takes less time than it measures.

use std::{
    fs,
    io::{self, Write},
    time::Duration,
};

use getopts::Options;
use plotters::prelude::*;
use rosethread_config::PolicyName;
use rosethread_testbed::{
    parse_arguments,
    workload::{
        CONSORTIUM_WORKLOAD, TRAILERWERK_WORKLOAD, Workload, WorkloadReport, WorkloadRun,
        run_workload,
    },
};
use serde::Serialize;

/// The policies in the order of the table; the plot highlights the first, which is the default.
const POLICIES: [(&str, PolicyName); 4] = [
    ("adaptive", PolicyName::Adaptive),
    ("round-robin", PolicyName::RoundRobin),
    ("least-loaded", PolicyName::LeastLoaded),
    ("sticky", PolicyName::Sticky),
];

/// The result of one run: a row of the table, and an element of the JSON file.
#[derive(Serialize)]
struct RunResult {
    policy: &'static str,
    seed: u64,
    report: WorkloadReport,
}

/// The runs to make: each policy with each seed.
struct Comparison {
    workload: Workload,
    offered_load: f64,
    arrival_period: Duration,
    seeds: std::ops::Range<u64>,
}

fn main() -> io::Result<()> {
    let mut options = Options::new();
    options.optopt("d", "deployment", "consortium or trailerwerk (consortium)", "NAME");
    options.optopt("l", "load", "offered work as a share of capacity (0.85)", "SHARE");
    options.optopt("t", "seconds", "how long programs arrive, in simulated seconds (120)", "N");
    options.optopt("s", "seed", "the first seed (1)", "N");
    options.optopt("n", "seeds", "how many seeds (3)", "N");
    options.optopt("j", "json", "where to write the results", "FILE");
    options.optopt("p", "svg", "where to write the plot", "FILE");
    let Some(matches) =
        parse_arguments("Compares scheduling policies under load, on a paused clock.", options)?
    else {
        return Ok(());
    };
    let workload = match matches.opt_str("deployment").as_deref() {
        None | Some("consortium") => CONSORTIUM_WORKLOAD,
        Some("trailerwerk") => TRAILERWERK_WORKLOAD,
        Some(other) => return Err(io::Error::other(format!("{other}: unknown deployment"))),
    };
    let first = matches.opt_get_default("seed", 1_u64).map_err(io::Error::other)?;
    let count = matches.opt_get_default("seeds", 3_u64).map_err(io::Error::other)?;
    let seconds = matches.opt_get_default("seconds", 120_u64).map_err(io::Error::other)?;
    let comparison = Comparison {
        workload,
        offered_load: matches.opt_get_default("load", 0.85).map_err(io::Error::other)?,
        arrival_period: Duration::from_secs(seconds),
        seeds: first..first + count,
    };
    let results = run_comparison(&comparison);
    print_table(&results)?;
    if let Some(path) = matches.opt_str("json") {
        fs::write(path, serde_json::to_string_pretty(&results).map_err(io::Error::other)?)?;
    }
    if let Some(path) = matches.opt_str("svg") {
        draw_plot(&path, &results).map_err(io::Error::other)?;
    }
    Ok(())
}

/// Runs each policy with each seed, on a thread per run.
fn run_comparison(comparison: &Comparison) -> Vec<RunResult> {
    std::thread::scope(|scope| {
        let mut runs = Vec::new();
        for (name, policy) in POLICIES {
            for seed in comparison.seeds.clone() {
                let run = WorkloadRun {
                    workload: comparison.workload,
                    policy,
                    offered_load: comparison.offered_load,
                    arrival_period: comparison.arrival_period,
                    seed,
                };
                let handle = scope.spawn(move || run_workload(run));
                runs.push((name, seed, handle));
            }
        }
        let results = runs.into_iter().map(|(policy, seed, handle)| RunResult {
            policy,
            seed,
            report: handle.join().expect("a run does not panic"),
        });
        results.collect()
    })
}

fn print_table(results: &[RunResult]) -> io::Result<()> {
    let mut out = io::stdout();
    writeln!(
        out,
        "{:<13} {:>4} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>6} {:>8} {:>6}",
        "policy",
        "seed",
        "programs",
        "finished",
        "refused",
        "p95 s",
        "wait p50",
        "wait p95",
        "ping p50",
        "ping p99",
        "hit %",
        "wasted %",
        "least"
    )?;
    for result in results {
        let it = &result.report;
        writeln!(
            out,
            "{:<13} {:>4} {:>8} {:>8} {:>8} {:>9.1} {:>9.2} {:>9.2} {:>9.3} {:>9.3} {:>6.1} {:>8.2} {:>6.2}",
            result.policy,
            result.seed,
            it.arrived,
            it.finished,
            it.refused,
            it.program.p95_ms / 1e3,
            it.waiting.p50_ms / 1e3,
            it.waiting.p95_ms / 1e3,
            it.ping.p50_ms / 1e3,
            it.ping.p99_ms / 1e3,
            it.hit_share * 100.0,
            it.wasted_share * 100.0,
            it.least_share
        )?;
    }
    Ok(())
}

/// Draws a bar for each run: the 95th percentile of its programs' waiting time, in seconds.
fn draw_plot(path: &str, results: &[RunResult]) -> Result<(), String> {
    let error = |it: &dyn std::fmt::Display| it.to_string();
    let max_wait_s = results.iter().map(|it| it.report.waiting.p95_ms / 1e3).fold(0.1, f64::max);
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    area.fill(&WHITE).map_err(|it| error(&it))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0_f64..results.len() as f64, 0_f64..max_wait_s * 1.1)
        .map_err(|it| error(&it))?;
    chart.configure_mesh().disable_x_mesh().x_labels(0).draw().map_err(|it| error(&it))?;
    for (index, result) in results.iter().enumerate() {
        let (left, height) = (index as f64, result.report.waiting.p95_ms / 1e3);
        let colour = if result.policy == POLICIES[0].0 { RED } else { BLUE };
        let bar = Rectangle::new([(left + 0.15, 0.0), (left + 0.85, height)], colour.filled());
        chart.draw_series([bar]).map_err(|it| error(&it))?;
    }
    area.present().map_err(|it| error(&it))
}
