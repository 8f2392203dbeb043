//! Runs both users' workloads in miniature through real nodes and stand-ins, with faults.
//!
//! For about 20 seconds observers' checks and editors' conversations run through two deployments;
//! one node of each is killed and the log is taken away for a while. At the end a table shows what
//! became of the programs. The exit status is 1 if a promise was broken.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    process::ExitCode,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use getopts::Options;
use rosethread_config::PolicyName;
use rosethread_fakes::{EngineConfig, LogFaults, prompt_for_output};
use rosethread_testbed::{
    CallError, CallResult, Caller, CallerProgram, ConfiguredDeployment, LatencyHistogram, Scale,
    member_key, parse_arguments, start_consortium, start_trailerwerk,
};
use serde_json::json;

/// How long new programs are started.
const RUN: Duration = Duration::from_secs(20);

/// When one node of each deployment is killed.
const KILL_AT: Duration = Duration::from_secs(6);

/// When the log is taken away.
const OUTAGE_AT: Duration = Duration::from_secs(11);

/// When the log comes back.
const OUTAGE_END: Duration = Duration::from_secs(14);

/// The time between two new programs of one member.
const ARRIVAL: Duration = Duration::from_millis(250);

/// The deadline of one call.
const DEADLINE: Duration = Duration::from_secs(20);

/// What one deployment runs.
#[derive(Clone, Copy)]
struct Workload {
    name: &'static str,
    model: &'static str,
    service: &'static str,
    /// Turns of a short and of a long program.
    turns: [usize; 2],
    /// Bytes of one message.
    message: usize,
}

const CONSORTIUM: Workload = Workload {
    name: "Consortium",
    model: "vetting",
    service: "portal",
    turns: [2, 5],
    message: 200,
};

const TRAILERWERK: Workload = Workload {
    name: "Trailerwerk",
    model: "colour",
    service: "encode",
    turns: [2, 7],
    message: 600,
};

/// What became of one deployment's programs.
#[derive(Default)]
struct Tally {
    started: u64,
    finished: u64,
    /// Programs that were refused with a reason, nothing of theirs being lost.
    refused: BTreeMap<String, u64>,
    latency: LatencyHistogram,
    first_token: LatencyHistogram,
    /// Answers that do not belong to the program's own history.
    mixed: u64,
    /// Requests without an answer or a refusal.
    lost: Vec<String>,
    /// Requests whose outcome the system could not tell.
    unknown: u64,
    /// Bodies of service calls that were answered.
    submitted: Vec<String>,
}

type Shared = Arc<Mutex<Tally>>;

fn main() -> io::Result<ExitCode> {
    let what =
        "Runs both users' workloads in miniature, with faults; exits 1 if a promise was broken.";
    if parse_arguments(what, Options::new())?.is_none() {
        return Ok(ExitCode::SUCCESS);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let is_kept = runtime.block_on(run())?;
    Ok(if is_kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn say(text: &str) -> io::Result<()> {
    writeln!(io::stdout(), "{text}")
}

async fn run() -> io::Result<bool> {
    say("rosethread demo: two deployments in miniature, 4 nodes each, on loopback sockets")?;
    let engine = EngineConfig {
        base_step: Duration::from_millis(8),
        cache_tokens: 24_000,
        ..EngineConfig::default()
    };
    let mut deploys = [
        (CONSORTIUM, start_consortium(Scale::Miniature, engine, PolicyName::Adaptive).await),
        (TRAILERWERK, start_trailerwerk(Scale::Miniature, engine, PolicyName::Adaptive).await),
    ];
    let tallies = [Shared::default(), Shared::default()];
    say("all nodes have the document in force; callers start")?;
    let start = Instant::now();
    let mut members = Vec::new();
    for ((workload, deploy), tally) in deploys.iter().zip(&tallies) {
        for (index, member) in deploy.members.iter().enumerate() {
            let caller = caller(deploy, member);
            let seed = index * 1_000;
            members.push(tokio::spawn(run_member(*workload, caller, tally.clone(), start, seed)));
        }
    }
    run_faults(&mut deploys, &tallies, start).await?;
    for member in members {
        member.await.map_err(io::Error::other)?;
    }
    say(&format!("{:5.1} s  all programs have ended\n", start.elapsed().as_secs_f64()))?;
    let mut is_kept = true;
    say(&format!(
        "{:<12} {:>8} {:>9} {:>8} {:>9} {:>9} {:>9} {:>8} {:>5} {:>7} {:>6} {:>8}",
        "deployment",
        "programs",
        "finished",
        "refused",
        "p50 ms",
        "p95 ms",
        "first p95",
        "wasted %",
        "lost",
        "doubled",
        "mixed",
        "unknown"
    ))?;
    for ((workload, deploy), tally) in deploys.iter().zip(&tallies) {
        is_kept &= report(workload, deploy, &tally.lock().expect("no caller panics"))?;
    }
    say(if is_kept { "\nevery promise was kept" } else { "\na promise was broken" })?;
    for (_, deploy) in deploys {
        deploy.deployment.stop().await;
    }
    Ok(is_kept)
}

fn caller(deploy: &ConfiguredDeployment, member: &str) -> Caller {
    let http = reqwest::Client::builder().tcp_nodelay(true).build().expect("the client builds");
    Caller::new(http, member_key(member), deploy.deployment.caller_addresses())
}

/// Kills one node of each deployment and takes the log away, and shows the progress.
async fn run_faults(
    deploys: &mut [(Workload, ConfiguredDeployment); 2],
    tallies: &[Shared; 2],
    start: Instant,
) -> io::Result<()> {
    let mut has_killed = false;
    let mut is_down = false;
    while start.elapsed() < RUN {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let now = start.elapsed();
        if !has_killed && KILL_AT <= now {
            has_killed = true;
            for (_, deploy) in deploys.iter_mut() {
                deploy.deployment.kill("node-1").await;
            }
            say(&format!("{:5.1} s  killed node-1 of each deployment", now.as_secs_f64()))?;
        }
        let should_be_down = OUTAGE_AT <= now && now < OUTAGE_END;
        if should_be_down != is_down {
            is_down = should_be_down;
            for (_, deploy) in deploys.iter() {
                deploy
                    .deployment
                    .log
                    .set_faults(LogFaults { down: is_down, ..LogFaults::default() });
            }
            let what = if is_down { "the log is down" } else { "the log is back" };
            say(&format!("{:5.1} s  {what}", now.as_secs_f64()))?;
        }
        let finished: Vec<String> = tallies
            .iter()
            .map(|it| {
                let tally = it.lock().expect("no caller panics");
                format!("{}/{}", tally.finished, tally.started)
            })
            .collect();
        say(&format!("{:5.1} s  programs finished {}", now.as_secs_f64(), finished.join(", ")))?;
    }
    Ok(())
}

/// Starts programs of one member until the run is over, and waits for them.
async fn run_member(
    workload: Workload,
    caller: Caller,
    tally: Shared,
    start: Instant,
    seed: usize,
) {
    let mut programs = Vec::new();
    let mut number = seed;
    while start.elapsed() < RUN {
        let program = run_program(workload, caller.clone(), tally.clone(), number);
        programs.push(tokio::spawn(program));
        number += 1;
        tokio::time::sleep(ARRIVAL).await;
    }
    for program in programs {
        program.await.expect("a program does not panic");
    }
}

async fn run_program(workload: Workload, caller: Caller, tally: Shared, number: usize) {
    tally.lock().expect("no caller panics").started += 1;
    let start = Instant::now();
    match try_program(workload, &caller, &tally, number).await {
        Ok(()) => {
            let mut tally = tally.lock().expect("no caller panics");
            tally.finished += 1;
            tally.latency.record(start.elapsed());
        }
        Err(error) => {
            let mut tally = tally.lock().expect("no caller panics");
            match error.outcome.as_str() {
                "lost" => tally.lost.push(error.detail),
                "unknown" => tally.unknown += 1,
                _ => *tally.refused.entry(error.reason).or_default() += 1,
            }
        }
    }
}

async fn try_program(
    workload: Workload,
    caller: &Caller,
    tally: &Shared,
    number: usize,
) -> Result<(), CallError> {
    let is_long = number.is_multiple_of(3);
    let hosts = caller.locate(workload.model).await;
    let class = if is_long { "long" } else { "short" };
    let body = json!({"class": class, "model": workload.model});
    let mut program = caller.create(body, &hosts, DEADLINE).await?;
    for turn in 0..workload.turns[usize::from(is_long)] {
        let filler = "observe ".repeat(workload.message / 8);
        let text = prompt_for_output(&format!("{number}.{turn} {filler}"), 24);
        let result = program.chat(&text, 64, DEADLINE).await?;
        note(tally, &result);
        // The tool that the program calls on its own side.
        tokio::time::sleep(Duration::from_millis(50 + number as u64 % 7 * 30)).await;
    }
    submit(workload, &mut program, tally, number).await?;
    program.close().await;
    Ok(())
}

/// Makes the call at the program's end that must never run twice.
async fn submit(
    workload: Workload,
    program: &mut CallerProgram,
    tally: &Shared,
    number: usize,
) -> Result<(), CallError> {
    let body = format!("{{\"program\":\"{}\",\"number\":{number}}}", program.id);
    let result = program.call_service(workload.service, &body, DEADLINE).await?;
    let mut tally = tally.lock().expect("no caller panics");
    tally.mixed += u64::from(!result.is_expected);
    tally.submitted.push(body);
    Ok(())
}

fn note(tally: &Shared, result: &CallResult) {
    let mut tally = tally.lock().expect("no caller panics");
    tally.first_token.record(result.first_token);
    tally.mixed += u64::from(!result.is_expected);
}

/// Prints one deployment's line and tells whether its promises were kept.
fn report(workload: &Workload, deploy: &ConfiguredDeployment, tally: &Tally) -> io::Result<bool> {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for service in deploy.deployment.services.values() {
        for run in service.executions() {
            *runs.entry(run.body).or_default() += 1;
        }
    }
    let doubled = runs.values().filter(|it| 1 < **it).count();
    let missing = tally.submitted.iter().filter(|it| !runs.contains_key(*it)).count();
    let (mut wasted, mut misses) = (0, 0);
    for engine in deploy.deployment.engines.values() {
        let load = engine.true_load();
        wasted += load.wasted;
        misses += load.misses;
    }
    let latency = tally.latency.summary();
    let first = tally.first_token.summary();
    let refused: u64 = tally.refused.values().sum();
    let lost = tally.lost.len() + missing;
    say(&format!(
        "{:<12} {:>8} {:>9} {:>8} {:>9.0} {:>9.0} {:>9.0} {:>8.1} {:>5} {:>7} {:>6} {:>8}",
        workload.name,
        tally.started,
        tally.finished,
        refused,
        latency.p50_ms,
        latency.p95_ms,
        first.p95_ms,
        100.0 * wasted as f64 / misses.max(1) as f64,
        lost,
        doubled,
        tally.mixed,
        tally.unknown
    ))?;
    for (reason, count) in &tally.refused {
        say(&format!("             refused {count}: {reason}"))?;
    }
    for detail in tally.lost.iter().take(5) {
        say(&format!("             lost: {detail}"))?;
    }
    Ok(lost == 0 && doubled == 0 && tally.mixed == 0)
}
