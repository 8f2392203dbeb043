//! Compares the policies under load, on the same seeds.
//!
//! Usage: `cargo run --release --example measure -- [--deployment consortium|trailerwerk]
//! [--load 0.85] [--seconds 120] [--seed 1] [--seeds 3] [--json FILE] [--svg FILE]`.
//! Nodes are real; time is simulated, so a run takes less than it measures.

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

/// The policies in the order of the table; the first is the one that counts.
const POLICIES: [(&str, PolicyName); 4] = [
    ("adaptive", PolicyName::Adaptive),
    ("round-robin", PolicyName::RoundRobin),
    ("least-loaded", PolicyName::LeastLoaded),
    ("sticky", PolicyName::Sticky),
];

/// One line of the table.
#[derive(Serialize)]
struct Line {
    policy: &'static str,
    seed: u64,
    report: WorkloadReport,
}

struct Plan {
    workload: Workload,
    load: f64,
    time: Duration,
    seeds: std::ops::Range<u64>,
}

fn main() -> io::Result<()> {
    let mut options = Options::new();
    options.optopt("d", "deployment", "consortium or trailerwerk (consortium)", "NAME");
    options.optopt("l", "load", "offered work as a share of capacity (0.85)", "SHARE");
    options.optopt("t", "seconds", "how long programs arrive (120)", "N");
    options.optopt("s", "seed", "the first seed (1)", "N");
    options.optopt("n", "seeds", "how many seeds (3)", "N");
    options.optopt("j", "json", "where to write the figures", "FILE");
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
    let plan = Plan {
        workload,
        load: matches.opt_get_default("load", 0.85).map_err(io::Error::other)?,
        time: Duration::from_secs(seconds),
        seeds: first..first + count,
    };
    let lines = measure(&plan);
    show(&lines)?;
    if let Some(path) = matches.opt_str("json") {
        fs::write(path, serde_json::to_string_pretty(&lines).map_err(io::Error::other)?)?;
    }
    if let Some(path) = matches.opt_str("svg") {
        plot(&path, &lines).map_err(io::Error::other)?;
    }
    Ok(())
}

/// Runs all policies and seeds, each on a thread of its own.
fn measure(plan: &Plan) -> Vec<Line> {
    std::thread::scope(|scope| {
        let mut runs = Vec::new();
        for (name, policy) in POLICIES {
            for seed in plan.seeds.clone() {
                let run = WorkloadRun {
                    workload: plan.workload,
                    policy,
                    offered_load: plan.load,
                    arrival_period: plan.time,
                    seed,
                };
                let running = scope.spawn(move || run_workload(run));
                runs.push((name, seed, running));
            }
        }
        let lines = runs.into_iter().map(|(policy, seed, running)| Line {
            policy,
            seed,
            report: running.join().expect("a run does not panic"),
        });
        lines.collect()
    })
}

fn show(lines: &[Line]) -> io::Result<()> {
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
    for line in lines {
        let it = &line.report;
        writeln!(
            out,
            "{:<13} {:>4} {:>8} {:>8} {:>8} {:>9.1} {:>9.2} {:>9.2} {:>9.3} {:>9.3} {:>6.1} {:>8.2} {:>6.2}",
            line.policy,
            line.seed,
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

/// Draws the 95th percentile of waiting for each policy and seed.
fn plot(path: &str, lines: &[Line]) -> Result<(), String> {
    let error = |it: &dyn std::fmt::Display| it.to_string();
    let most = lines.iter().map(|it| it.report.waiting.p95_ms / 1e3).fold(0.1, f64::max);
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    area.fill(&WHITE).map_err(|it| error(&it))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0_f64..lines.len() as f64, 0_f64..most * 1.1)
        .map_err(|it| error(&it))?;
    chart.configure_mesh().disable_x_mesh().x_labels(0).draw().map_err(|it| error(&it))?;
    for (index, line) in lines.iter().enumerate() {
        let (left, height) = (index as f64, line.report.waiting.p95_ms / 1e3);
        let colour = if line.policy == POLICIES[0].0 { RED } else { BLUE };
        let bar = Rectangle::new([(left + 0.15, 0.0), (left + 0.85, height)], colour.filled());
        chart.draw_series([bar]).map_err(|it| error(&it))?;
    }
    area.present().map_err(|it| error(&it))
}
