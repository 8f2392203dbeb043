//! Runs scaled-down workloads of both users, with faults, through real nodes that use fakes of the
//! platform's services.
//!
//! For about 20 seconds, the checks of the Consortium's observers and the conversations of
//! Trailerwerk's editors run in one deployment each. One node of each deployment is killed, and the
//! log is unavailable for a while. At the end, a table shows the outcomes of the programs. The exit
//! status is 1 if an invariant was violated.

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

/// The time from the start during which members start new programs.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(20);

/// The time after the start at which one node of each deployment is killed.
const KILL_AT: Duration = Duration::from_secs(6);

/// The time after the start at which the log becomes unavailable.
const OUTAGE_START: Duration = Duration::from_secs(11);

/// The time after the start at which the log is available again.
const OUTAGE_END: Duration = Duration::from_secs(14);

/// The time between the starts of two programs of one member.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(250);

/// The time that a caller allows for one call, including its retries.
const CALL_DEADLINE: Duration = Duration::from_secs(20);

/// The workload of one deployment.
#[derive(Clone, Copy)]
struct DemoWorkload {
    name: &'static str,
    model: &'static str,
    service: &'static str,
    /// The numbers of turns of a short and of a long program.
    turns: [usize; 2],
    /// The size of the text in one message, in bytes.
    message_bytes: usize,
}

const CONSORTIUM: DemoWorkload = DemoWorkload {
    name: "Consortium",
    model: "vetting",
    service: "portal",
    turns: [2, 5],
    message_bytes: 200,
};

const TRAILERWERK: DemoWorkload = DemoWorkload {
    name: "Trailerwerk",
    model: "colour",
    service: "encode",
    turns: [2, 7],
    message_bytes: 600,
};

/// The outcomes of one deployment's programs.
#[derive(Default)]
struct Tally {
    started: u64,
    finished: u64,
    /// Programs that ended with a definite refusal, counted by reason.
    refusals: BTreeMap<String, u64>,
    latency: LatencyHistogram,
    first_token: LatencyHistogram,
    /// Responses that do not match the program's own history, for example those of another program.
    mismatched: u64,
    /// Details of the requests that got neither a response nor a refusal.
    lost_requests: Vec<String>,
    /// Requests that ended with an unknown outcome.
    unknown_outcomes: u64,
    /// The bodies of the service calls that got a response.
    submitted_bodies: Vec<String>,
}

type SharedTally = Arc<Mutex<Tally>>;

fn main() -> io::Result<ExitCode> {
    let description =
        "Runs both users' workloads with faults; exits 1 if an invariant is violated.";
    if parse_arguments(description, Options::new())?.is_none() {
        return Ok(ExitCode::SUCCESS);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let all_hold = runtime.block_on(run_demo())?;
    Ok(if all_hold { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn print_line(text: &str) -> io::Result<()> {
    writeln!(io::stdout(), "{text}")
}

async fn run_demo() -> io::Result<bool> {
    print_line("rosethread demo: two small deployments, 4 nodes each, on loopback sockets")?;
    let engine = EngineConfig {
        base_step: Duration::from_millis(8),
        cache_tokens: 24_000,
        ..EngineConfig::default()
    };
    let mut deployments = [
        (CONSORTIUM, start_consortium(Scale::Miniature, engine, PolicyName::Adaptive).await),
        (TRAILERWERK, start_trailerwerk(Scale::Miniature, engine, PolicyName::Adaptive).await),
    ];
    let tallies = [SharedTally::default(), SharedTally::default()];
    print_line("the document is in force at all nodes; starting the callers")?;
    let start = Instant::now();
    let mut members = Vec::new();
    for ((workload, configured), tally) in deployments.iter().zip(&tallies) {
        for (index, member) in configured.members.iter().enumerate() {
            let caller = create_caller(configured, member);
            let seed = index * 1_000;
            members.push(tokio::spawn(run_member(*workload, caller, tally.clone(), start, seed)));
        }
    }
    inject_faults(&mut deployments, &tallies, start).await?;
    for member in members {
        member.await.map_err(io::Error::other)?;
    }
    print_line(&format!("{:5.1} s  all programs have ended\n", start.elapsed().as_secs_f64()))?;
    let mut all_hold = true;
    print_line(&format!(
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
        "reruns",
        "wrong",
        "unknown"
    ))?;
    for ((workload, configured), tally) in deployments.iter().zip(&tallies) {
        all_hold &= print_report(workload, configured, &tally.lock().expect("no caller panics"))?;
    }
    print_line(if all_hold { "\nall invariants held" } else { "\nan invariant was violated" })?;
    for (_, configured) in deployments {
        configured.deployment.stop().await;
    }
    Ok(all_hold)
}

fn create_caller(configured: &ConfiguredDeployment, member: &str) -> Caller {
    let http = reqwest::Client::builder().tcp_nodelay(true).build().expect("the client builds");
    Caller::new(http, member_key(member), configured.deployment.caller_addresses())
}

/// Kills one node of each deployment, makes the log unavailable for a while, and prints progress.
async fn inject_faults(
    deployments: &mut [(DemoWorkload, ConfiguredDeployment); 2],
    tallies: &[SharedTally; 2],
    start: Instant,
) -> io::Result<()> {
    let mut is_killed = false;
    let mut is_log_down = false;
    while start.elapsed() < ARRIVAL_PERIOD {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let now = start.elapsed();
        if !is_killed && KILL_AT <= now {
            is_killed = true;
            for (_, configured) in deployments.iter_mut() {
                configured.deployment.kill("node-1").await;
            }
            print_line(&format!("{:5.1} s  killed node-1 of each deployment", now.as_secs_f64()))?;
        }
        let should_be_down = OUTAGE_START <= now && now < OUTAGE_END;
        if should_be_down != is_log_down {
            is_log_down = should_be_down;
            for (_, configured) in deployments.iter() {
                configured
                    .deployment
                    .log
                    .set_faults(LogFaults { down: is_log_down, ..LogFaults::default() });
            }
            let status =
                if is_log_down { "the log is unavailable" } else { "the log is available again" };
            print_line(&format!("{:5.1} s  {status}", now.as_secs_f64()))?;
        }
        let finished: Vec<String> = tallies
            .iter()
            .map(|it| {
                let tally = it.lock().expect("no caller panics");
                format!("{}/{}", tally.finished, tally.started)
            })
            .collect();
        print_line(&format!(
            "{:5.1} s  programs finished {}",
            now.as_secs_f64(),
            finished.join(", ")
        ))?;
    }
    Ok(())
}

/// Starts programs of one member until [`ARRIVAL_PERIOD`] is over, and waits for all to end.
async fn run_member(
    workload: DemoWorkload,
    caller: Caller,
    tally: SharedTally,
    start: Instant,
    seed: usize,
) {
    let mut programs = Vec::new();
    let mut number = seed;
    while start.elapsed() < ARRIVAL_PERIOD {
        let program = run_program(workload, caller.clone(), tally.clone(), number);
        programs.push(tokio::spawn(program));
        number += 1;
        tokio::time::sleep(ARRIVAL_INTERVAL).await;
    }
    for program in programs {
        program.await.expect("a program does not panic");
    }
}

async fn run_program(workload: DemoWorkload, caller: Caller, tally: SharedTally, number: usize) {
    tally.lock().expect("no caller panics").started += 1;
    let start = Instant::now();
    match complete_program(workload, &caller, &tally, number).await {
        Ok(()) => {
            let mut tally = tally.lock().expect("no caller panics");
            tally.finished += 1;
            tally.latency.record(start.elapsed());
        }
        Err(error) => {
            let mut tally = tally.lock().expect("no caller panics");
            match error.outcome.as_str() {
                "lost" => tally.lost_requests.push(error.detail),
                "unknown" => tally.unknown_outcomes += 1,
                _ => *tally.refusals.entry(error.reason).or_default() += 1,
            }
        }
    }
}

async fn complete_program(
    workload: DemoWorkload,
    caller: &Caller,
    tally: &SharedTally,
    number: usize,
) -> Result<(), CallError> {
    let is_long = number.is_multiple_of(3);
    let hosts = caller.locate(workload.model).await;
    let class = if is_long { "long" } else { "short" };
    let body = json!({"class": class, "model": workload.model});
    let mut program = caller.create(body, &hosts, CALL_DEADLINE).await?;
    for turn in 0..workload.turns[usize::from(is_long)] {
        let filler = "observe ".repeat(workload.message_bytes / 8);
        let text = prompt_for_output(&format!("{number}.{turn} {filler}"), 24);
        let result = program.chat(&text, 64, CALL_DEADLINE).await?;
        record_result(tally, &result);
        // Stands for a tool that the program runs locally between two turns.
        tokio::time::sleep(Duration::from_millis(50 + number as u64 % 7 * 30)).await;
    }
    submit(workload, &mut program, tally, number).await?;
    program.close().await;
    Ok(())
}

/// Makes the service call at the end of a program, which must never be executed twice.
async fn submit(
    workload: DemoWorkload,
    program: &mut CallerProgram,
    tally: &SharedTally,
    number: usize,
) -> Result<(), CallError> {
    let body = format!("{{\"program\":\"{}\",\"number\":{number}}}", program.id);
    let result = program.call_service(workload.service, &body, CALL_DEADLINE).await?;
    let mut tally = tally.lock().expect("no caller panics");
    tally.mismatched += u64::from(!result.is_expected);
    tally.submitted_bodies.push(body);
    Ok(())
}

fn record_result(tally: &SharedTally, result: &CallResult) {
    let mut tally = tally.lock().expect("no caller panics");
    tally.first_token.record(result.first_token);
    tally.mismatched += u64::from(!result.is_expected);
}

/// Prints one deployment's row and returns whether its invariants held.
fn print_report(
    workload: &DemoWorkload,
    configured: &ConfiguredDeployment,
    tally: &Tally,
) -> io::Result<bool> {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for service in configured.deployment.services.values() {
        for run in service.executions() {
            *runs.entry(run.body).or_default() += 1;
        }
    }
    let reruns = runs.values().filter(|it| 1 < **it).count();
    let missing = tally.submitted_bodies.iter().filter(|it| !runs.contains_key(*it)).count();
    let (mut wasted, mut misses) = (0, 0);
    for engine in configured.deployment.engines.values() {
        let load = engine.true_load();
        wasted += load.wasted;
        misses += load.misses;
    }
    let latency = tally.latency.summary();
    let first = tally.first_token.summary();
    let refused: u64 = tally.refusals.values().sum();
    let lost = tally.lost_requests.len() + missing;
    print_line(&format!(
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
        reruns,
        tally.mismatched,
        tally.unknown_outcomes
    ))?;
    for (reason, count) in &tally.refusals {
        print_line(&format!("             refused {count}: {reason}"))?;
    }
    for detail in tally.lost_requests.iter().take(5) {
        print_line(&format!("             lost: {detail}"))?;
    }
    Ok(lost == 0 && reruns == 0 && tally.mismatched == 0)
}
