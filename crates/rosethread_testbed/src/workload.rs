//! A simulated workload of agent programs on a paused clock, to compare scheduling policies.
//!
//! Programs arrive by a Poisson process, have a random number of turns, pause between turns for
//! tool calls whose duration has a long tail, and send prompts that grow with their history. One
//! arrival in ten is a ping: a program of a single short call. The same seed gives the same
//! arrivals, turns and pauses under every policy.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_config::{Document, EngineSpec, PolicyName};
use rosethread_fakes::{EngineConfig, prompt_for_output};
use rosethread_membership::Contact;
use rosethread_node::{Call, CallEvent, CallPayload, Close, Create};
use rosethread_platform::Clock;
use rosethread_types::{MemberName, ProgramId, Refusal};
use serde::Serialize;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    Cluster, ClusterSpec, DocumentBuilder, LatencyHistogram, LatencySummary, document::parse_name,
    memory::Network,
};

/// The time after which a caller stops retrying a call and abandons its program.
const CALL_TIME_LIMIT: Duration = Duration::from_secs(120);

/// The deadline of each attempt at a call, in milliseconds from its start.
const DEADLINE_MS: u64 = 60_000;

/// The number of tokens in the answer to a ping.
const PING_TOKENS: u64 = 8;

/// The size of a deployment and the properties of its programs.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// The number of nodes.
    pub nodes: usize,
    /// The number of engines.
    pub engines: usize,
    /// The availability zones, over which nodes and engines are spread.
    pub zones: &'static [&'static str],
    /// The members and their fair-share weights.
    pub members: &'static [(&'static str, u32)],
    /// The cache size of one engine, in tokens.
    pub cache_tokens: u64,
    /// The mean number of turns of a program.
    pub mean_turns: f64,
    /// The number of tokens that each turn adds to the prompt.
    pub input_tokens: u64,
    /// The mean number of tokens in an answer.
    pub mean_output: u64,
    /// The mean pause for a tool call, in seconds, before the long tail is applied.
    pub mean_pause_s: f64,
}

/// The workload of the Consortium's deployment in full size.
pub const CONSORTIUM_WORKLOAD: Workload = Workload {
    nodes: 10,
    engines: 12,
    zones: &["north", "east", "west"],
    members: &[("lyra", 1), ("cygnus", 2), ("draco", 1)],
    cache_tokens: 24_000,
    mean_turns: 4.0,
    input_tokens: 250,
    mean_output: 40,
    mean_pause_s: 1.5,
};

/// The workload of Trailerwerk's deployment in full size.
pub const TRAILERWERK_WORKLOAD: Workload = Workload {
    nodes: 10,
    engines: 9,
    zones: &["linz-a", "linz-b", "linz-c", "linz-d"],
    members: &[("donau", 1), ("traun", 2), ("enns", 1)],
    cache_tokens: 48_000,
    mean_turns: 8.0,
    input_tokens: 600,
    mean_output: 60,
    mean_pause_s: 3.0,
};

/// The parameters of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct WorkloadRun {
    /// The deployment and its programs.
    pub workload: Workload,
    /// The scheduling policy.
    pub policy: PolicyName,
    /// The offered load as a fraction of the engines' capacity when every prefix is cached.
    pub offered_load: f64,
    /// The simulated time during which programs arrive; the run ends when all have ended.
    pub arrival_period: Duration,
    /// The seed of all random sources.
    pub seed: u64,
}

/// The results of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WorkloadReport {
    /// The number of programs that arrived, pings included.
    pub arrived: u64,
    /// The number of programs that finished all their turns, without pings.
    pub finished: u64,
    /// The number of call attempts that got no complete answer.
    pub refused: u64,
    /// The time from a program's creation request to its last answer, without pings.
    pub program: LatencySummary,
    /// The same time without the tool pauses, which the scheduler cannot influence.
    pub waiting: LatencySummary,
    /// The time from a ping's creation request to its answer.
    pub ping: LatencySummary,
    /// The fraction of prompt tokens that were found in engine caches.
    pub hit_share: f64,
    /// The fraction of computed prompt tokens that were evicted before they were reused.
    pub wasted_share: f64,
    /// The lowest fraction of finished programs among the members.
    pub least_share: f64,
}

/// The counts and latencies that callers add up during a run.
#[derive(Default)]
struct Tally {
    finished: u64,
    refused: u64,
    program: LatencyHistogram,
    waiting: LatencyHistogram,
    ping: LatencyHistogram,
    /// The programs that arrived and that finished, by member; pings are not counted.
    by_member: BTreeMap<String, (u64, u64)>,
}

/// What all callers of a run share.
struct RunContext {
    network: Arc<Network>,
    contacts: Vec<Contact>,
    clock: Clock,
    workload: Workload,
    tally: Mutex<Tally>,
}

/// Runs a simulation to its end on a paused clock, and blocks the thread until then.
pub fn run_workload(run: WorkloadRun) -> WorkloadReport {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can be built");
    runtime.block_on(simulate(run))
}

fn engine_config(workload: &Workload) -> EngineConfig {
    EngineConfig { cache_tokens: workload.cache_tokens, ..EngineConfig::default() }
}

/// Returns the number of programs per second that all engines can serve when every prefix is
/// cached.
fn capacity(workload: &Workload) -> f64 {
    let engine = engine_config(workload);
    let step_s =
        engine.base_step.as_secs_f64() + engine.per_sequence.as_secs_f64() * engine.slots as f64;
    let decode_s = workload.mean_output as f64 * step_s / engine.slots as f64;
    let prefill_s = workload.input_tokens as f64 / f64::from(engine.prefill_rate);
    workload.engines as f64 / (workload.mean_turns * (decode_s + prefill_s))
}

async fn simulate(run: WorkloadRun) -> WorkloadReport {
    let workload = run.workload;
    let spec = ClusterSpec {
        nodes: workload.nodes,
        zones: workload.zones.to_vec(),
        engines: vec![engine_config(&workload); workload.engines],
        services: 0,
        seed: run.seed,
        idle_timeout: Duration::from_secs(600),
        ..ClusterSpec::default()
    };
    let mut cluster = Cluster::start(spec);
    cluster.publish(&build_document(&cluster, &workload, run.policy));
    cluster.wait_until_ready().await;
    let context = Arc::new(RunContext {
        network: cluster.network.clone(),
        contacts: (0..workload.nodes).map(|it| cluster.contact(it)).collect(),
        clock: cluster.clock(),
        workload,
        tally: Mutex::default(),
    });
    let rate = capacity(&workload) * run.offered_load;
    let arrived = run_arrivals(&context, rate, run).await;
    build_report(&cluster, &context, arrived)
}

/// Starts programs at random times, waits for all of them, and returns their number.
async fn run_arrivals(context: &Arc<RunContext>, rate: f64, run: WorkloadRun) -> u64 {
    let mut random = Pcg64::seed_from_u64(run.seed);
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut programs = Vec::new();
    while at < run.arrival_period {
        at += Duration::from_secs_f64(exponential(&mut random, 1.0 / rate));
        sleep_until(start + at).await;
        let (seed, is_ping) = (random.random(), random.random_range(0..10) == 0);
        programs.push(tokio::spawn(run_program(context.clone(), seed, is_ping)));
    }
    let count = programs.len() as u64;
    for program in programs {
        program.await.expect("a caller does not panic");
    }
    count
}

fn exponential(random: &mut Pcg64, mean: f64) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}

fn build_document(cluster: &Cluster, workload: &Workload, policy: PolicyName) -> Document {
    let engine = engine_config(workload);
    let spec = EngineSpec {
        models: vec![parse_name("m")],
        slots: engine.slots as u32,
        memory: engine.cache_tokens,
        fencing: true,
        prefill_rate: engine.prefill_rate,
        decode_rate: 40,
    };
    let mut builder = DocumentBuilder::new().policy(policy);
    for (member, share) in workload.members {
        builder = builder.member(member, *share);
    }
    builder = builder
        .class("ping", |it| {
            it.priority = -1;
            it.reserved = true;
        })
        .class("long", |it| {
            it.tokens = 200_000;
            it.block = 20_000;
        });
    for index in 0..workload.engines {
        let zone = workload.zones[index % workload.zones.len()];
        let address = Cluster::target_address(index);
        builder = builder.engine(&format!("engine-{index}"), zone, address, spec.clone());
    }
    debug_assert_eq!(cluster.node_count(), workload.nodes);
    builder.build()
}

async fn run_program(context: Arc<RunContext>, seed: u64, is_ping: bool) {
    let mut random = Pcg64::seed_from_u64(seed);
    let workload = context.workload;
    let (member, _) = workload.members[random.random_range(0..workload.members.len())];
    let turns =
        if is_ping { 1 } else { 1 + exponential(&mut random, workload.mean_turns - 0.5) as u32 };
    let start = Instant::now();
    let mut tool_time = Duration::ZERO;
    let Some((id, mut continuation)) = create_program(&context, &mut random, member, is_ping).await
    else {
        return;
    };
    let mut last_answer = start;
    for turn in 0..turns {
        let tokens = if is_ping {
            PING_TOKENS
        } else {
            1 + exponential(&mut random, workload.mean_output as f64) as u64
        };
        let bytes = if is_ping { 40 } else { workload.input_tokens as usize * 4 };
        let filler = "x".repeat(bytes);
        let text = prompt_for_output(&format!("{id} {turn} {filler}"), tokens.min(400));
        match call_with_retries(&context, &mut random, &id, turn, &text, continuation).await {
            Some(next) => continuation = next,
            None => return,
        }
        last_answer = Instant::now();
        if turn + 1 < turns {
            // Long tail: one tool call in ten takes ten times as long.
            let factor = if random.random_range(0..10) == 0 { 10.0 } else { 1.0 };
            let pause =
                Duration::from_secs_f64(exponential(&mut random, workload.mean_pause_s) * factor);
            let pause = pause.min(Duration::from_secs(60));
            tool_time += pause;
            sleep(pause).await;
        }
    }
    record_latency(&context, member, is_ping, last_answer - start, tool_time);
    let index = random.random_range(0..context.contacts.len());
    let close = Close { program: id, continuation: Some(continuation), hops: 0 };
    // A program that could not be closed ends after the idle timeout.
    let _ = context.network.close(&context.contacts[index], close).await;
}

fn record_latency(
    context: &RunContext,
    member: &str,
    is_ping: bool,
    latency: Duration,
    tool_time: Duration,
) {
    let mut tally = context.tally.lock().expect("no caller panics while it holds the lock");
    if is_ping {
        tally.ping.record(latency);
        return;
    }
    tally.finished += 1;
    tally.program.record(latency);
    tally.waiting.record(latency.saturating_sub(tool_time));
    tally.by_member.entry(member.to_owned()).or_default().1 += 1;
}

async fn create_program(
    context: &RunContext,
    random: &mut Pcg64,
    member: &str,
    is_ping: bool,
) -> Option<(ProgramId, String)> {
    if !is_ping {
        let mut tally = context.tally.lock().expect("no caller panics while it holds the lock");
        tally.by_member.entry(member.to_owned()).or_default().0 += 1;
    }
    let create = Create {
        member: parse_name::<MemberName>(member),
        class: parse_name(if is_ping { "ping" } else { "long" }),
        model: parse_name("m"),
        parent: None,
        tokens: None,
        calls: None,
        wall_ms: None,
        is_forwarded: false,
    };
    let contact = &context.contacts[random.random_range(0..context.contacts.len())];
    let created = context.network.create(contact, create).await?.ok()?;
    Some((created.program, created.continuation))
}

/// Makes one call with retries and returns the next continuation.
///
/// Returns `None` if the call was not answered within [`CALL_TIME_LIMIT`].
async fn call_with_retries(
    context: &RunContext,
    random: &mut Pcg64,
    id: &ProgramId,
    turn: u32,
    text: &str,
    continuation: String,
) -> Option<String> {
    let start = Instant::now();
    let messages = json!([{"role": "user", "content": text}]).to_string();
    let mut is_first = true;
    while start.elapsed() < CALL_TIME_LIMIT {
        let call = Call {
            program: id.clone(),
            request: parse_name(&format!("r{turn}")),
            turn,
            work: CallPayload::Model { messages: messages.clone(), max_tokens: Some(400) },
            repeatable: true,
            retry: !is_first,
            deadline_ms: context.clock.now_ms() + DEADLINE_MS,
            continuation: Some(continuation.clone()),
            supplied: Vec::new(),
            hops: 0,
        };
        is_first = false;
        let contact = &context.contacts[random.random_range(0..context.contacts.len())];
        let refusal = match receive_answer(context, contact, call).await {
            Ok(next) => return Some(next),
            Err(refusal) => refusal,
        };
        context.tally.lock().expect("no caller panics while it holds the lock").refused += 1;
        let pause = refusal.and_then(|it| it.retry_after).unwrap_or(Duration::from_millis(200));
        sleep(pause).await;
    }
    None
}

async fn receive_answer(
    context: &RunContext,
    contact: &Contact,
    call: Call,
) -> Result<String, Option<Refusal>> {
    let mut stream = context.network.call(contact, call).await.ok_or(None)?;
    while let Some(event) = stream.recv().await {
        match event {
            CallEvent::Text(_) => (),
            CallEvent::Done(answer) => return Ok(answer.continuation),
            CallEvent::Refused(refusal) => return Err(Some(refusal)),
        }
    }
    Err(None)
}

fn build_report(cluster: &Cluster, context: &RunContext, arrived: u64) -> WorkloadReport {
    let tally = context.tally.lock().expect("no caller panics while it holds the lock");
    let (mut wasted, mut hits, mut misses) = (0, 0, 0);
    for engine in cluster.targets.engines() {
        let load = engine.true_load();
        wasted += load.wasted;
        hits += load.hits;
        misses += load.misses;
    }
    let ratio = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    let finish_rates =
        tally.by_member.values().map(|(arrived, finished)| ratio(*finished, *arrived));
    WorkloadReport {
        arrived,
        finished: tally.finished,
        refused: tally.refused,
        program: tally.program.summary(),
        waiting: tally.waiting.summary(),
        ping: tally.ping.summary(),
        hit_share: ratio(hits, hits + misses),
        wasted_share: ratio(wasted, misses),
        least_share: finish_rates.fold(1.0, f64::min),
    }
}
