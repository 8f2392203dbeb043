//! Measures the latency that the system adds to a call. One run compares calls sent directly to the
//! engine, through the program's owner, and through another node that forwards to the owner.
//!
//! Usage: `cargo run --release --example latency -- [--rate 500] [--seconds 10]`

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures::StreamExt;
use getopts::Options;
use rosethread_config::EngineSpec;
use rosethread_fakes::{EngineConfig, FakeEngine, prompt_for_output};
use rosethread_testbed::{
    Deployment, DeploymentSpec, DocumentBuilder, LatencyHistogram, discarding_logger, member_key,
    parse_arguments,
};
use serde_json::{Value, json};

/// The number of programs, which make calls in turn.
const PROGRAM_COUNT: usize = 150;

/// The number of tokens of each answer.
const OUTPUT_TOKENS: u64 = 4;

/// The path that a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPath {
    /// Sent to the engine.
    Direct,
    /// Sent to the program's owner.
    Owner,
    /// Sent to another node, which forwards it to the owner.
    Forwarded,
}

/// What the caller of a program needs for its next call.
struct ProgramState {
    id: String,
    continuation: String,
    turn: u32,
    owner: SocketAddr,
    /// A node that does not own the program.
    non_owner: SocketAddr,
}

/// The latencies of each [`CallPath`], in the order of its variants.
type PathLatencies = [Mutex<LatencyHistogram>; 3];

fn main() -> io::Result<()> {
    let mut options = Options::new();
    options.optopt("r", "rate", "total calls per second (500)", "N");
    options.optopt("s", "seconds", "how long to measure (10)", "N");
    let Some(matches) =
        parse_arguments("Measures what the system adds to the latency of calls.", options)?
    else {
        return Ok(());
    };
    let rate = matches.opt_get_default("rate", 500_u64).map_err(io::Error::other)?;
    let seconds = matches.opt_get_default("seconds", 10_u64).map_err(io::Error::other)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(measure(rate, seconds))
}

async fn measure(rate: u64, seconds: u64) -> io::Result<()> {
    let (deployment, engine) = start_deployment().await;
    let http = reqwest::Client::builder().tcp_nodelay(true).build().map_err(io::Error::other)?;
    let addresses = deployment.caller_addresses();
    let mut programs = Vec::new();
    for index in 0..PROGRAM_COUNT {
        let created = create_program(&http, addresses[index % addresses.len()]).await?;
        programs.push(Arc::new(tokio::sync::Mutex::new(program_state(
            &deployment,
            created,
            index,
        ))));
    }
    let latencies: Arc<PathLatencies> = Arc::default();
    let start = Instant::now();
    let interval = Duration::from_secs(1) / rate as u32;
    let mut calls = Vec::new();
    for number in 0..rate * seconds {
        tokio::time::sleep_until((start + interval * number as u32).into()).await;
        let path = [CallPath::Direct, CallPath::Owner, CallPath::Forwarded][number as usize % 3];
        let program = programs[(number / 3) as usize % PROGRAM_COUNT].clone();
        let (http, latencies) = (http.clone(), latencies.clone());
        calls.push(tokio::spawn(send_call(http, engine, path, program, latencies, number)));
    }
    for call in calls {
        call.await.map_err(io::Error::other)??;
    }
    print_report(&latencies, rate)?;
    deployment.stop().await;
    Ok(())
}

async fn start_deployment() -> (Deployment, SocketAddr) {
    let spec = DeploymentSpec {
        node_zones: vec!["a".to_owned(); 3],
        base_port: None,
        period_ms: 400,
        logger: discarding_logger(),
    };
    let mut deployment = Deployment::start(&spec).await;
    let config = EngineConfig {
        slots: 256,
        queue_limit: 4_096,
        cache_tokens: 10_000_000,
        base_step: Duration::from_millis(1),
        per_sequence: Duration::ZERO,
        prefill_rate: 100_000_000,
        prefill_chunk: 1_000_000,
        fencing: false,
        ..EngineConfig::default()
    };
    let engine = FakeEngine::start(config);
    let address = deployment.add_engine("engine-0", engine).await;
    let spec = EngineSpec {
        models: vec!["m".parse().expect("the name is valid")],
        slots: 256,
        memory: 10_000_000,
        fencing: false,
        prefill_rate: 1_000_000,
        decode_rate: 1_000,
    };
    let document = DocumentBuilder::new()
        .member("lyra", 1)
        .class("short", |it| {
            it.tokens = 1_000_000;
            it.calls = 100_000;
            it.block = 100_000;
        })
        .engine("engine-0", "a", address, spec)
        .build();
    deployment.publish(&document).await;
    (deployment, address)
}

async fn create_program(http: &reqwest::Client, host: SocketAddr) -> io::Result<Value> {
    let request = http
        .post(format!("http://{host}/v1/programs"))
        .bearer_auth(member_key("lyra"))
        .json(&json!({"class": "short", "model": "m"}));
    let response = request.send().await.map_err(io::Error::other)?;
    response.json().await.map_err(io::Error::other)
}

/// Returns the state of a new program, with its owner and a node that does not own it.
fn program_state(deployment: &Deployment, created: Value, index: usize) -> ProgramState {
    let id = created["program"].as_str().unwrap_or_default().to_owned();
    let owner = deployment.handles().iter().find_map(|it| it.owns(&id).then(|| it.name().clone()));
    let owner = owner.expect("some node owns the program").to_string();
    let others: Vec<String> =
        deployment.node_names().into_iter().filter(|it| *it != owner).collect();
    ProgramState {
        id,
        continuation: created["continuation"].as_str().unwrap_or_default().to_owned(),
        turn: 0,
        owner: deployment.caller_address(&owner),
        non_owner: deployment.caller_address(&others[index % others.len()]),
    }
}

async fn send_call(
    http: reqwest::Client,
    engine: SocketAddr,
    path: CallPath,
    program: Arc<tokio::sync::Mutex<ProgramState>>,
    latencies: Arc<PathLatencies>,
    number: u64,
) -> io::Result<()> {
    // The wait for the program's previous call is not measured, since it is part of the caller.
    let mut program = program.lock().await;
    let start = Instant::now();
    let content = prompt_for_output(&format!("call {number}"), OUTPUT_TOKENS);
    let messages = json!([{"role": "user", "content": content}]);
    if path == CallPath::Direct {
        let body = json!({
            "model": "m", "messages": messages, "max_tokens": OUTPUT_TOKENS, "stream": true,
            "user": program.id, "request_id": format!("{number:x}"),
        });
        let request = http.post(format!("http://{engine}/v1/chat/completions")).json(&body);
        read_last_chunk(request).await?;
    } else {
        let host = if path == CallPath::Owner { program.owner } else { program.non_owner };
        let request = http
            .post(format!("http://{host}/v1/chat/completions"))
            .bearer_auth(member_key("lyra"))
            .header("x-rosethread-program", &program.id)
            .header("x-rosethread-request", format!("r{number}"))
            .header("x-rosethread-turn", program.turn)
            .header("x-rosethread-continuation", &program.continuation)
            .header("x-rosethread-retry", "false")
            .json(&json!({"messages": messages, "max_tokens": OUTPUT_TOKENS, "stream": true}));
        let last = read_last_chunk(request).await?;
        let chunk: Value = serde_json::from_str(&last).map_err(io::Error::other)?;
        let continuation = chunk["rosethread"]["continuation"].as_str();
        program.continuation = continuation
            .ok_or_else(|| io::Error::other(format!("no continuation in the last event: {last}")))?
            .to_owned();
        program.turn += 1;
    }
    latencies[path as usize].lock().expect("no call panics").record(start.elapsed());
    Ok(())
}

/// Sends a request, reads the event stream to its end, and returns the data of the last event.
async fn read_last_chunk(request: reqwest::RequestBuilder) -> io::Result<String> {
    let response = request.send().await.map_err(io::Error::other)?;
    if !response.status().is_success() {
        return Err(io::Error::other(response.text().await.unwrap_or_default()));
    }
    let mut body = response.bytes_stream();
    let mut buffer = rosethread_platform::SseBuffer::default();
    let mut last = String::new();
    while let Some(bytes) = body.next().await {
        buffer.push(&bytes.map_err(io::Error::other)?);
        while let Some(data) = buffer.next_data() {
            last = data;
        }
    }
    Ok(last)
}

fn print_report(latencies: &PathLatencies, rate: u64) -> io::Result<()> {
    let mut out = io::stdout();
    let [direct, owner, forwarded] = latencies;
    let direct = direct.lock().expect("no call panics").summary();
    writeln!(
        out,
        "{rate} calls per second over 3 nodes with journalling, {OUTPUT_TOKENS} tokens each"
    )?;
    writeln!(
        out,
        "{:<10} {:>7} {:>9} {:>9} {:>12} {:>12}",
        "path", "calls", "p50 ms", "p99 ms", "added p50", "added p99"
    )?;
    writeln!(
        out,
        "{:<10} {:>7} {:>9.2} {:>9.2}",
        "direct", direct.count, direct.p50_ms, direct.p99_ms
    )?;
    for (name, latency) in [("owner", owner), ("forwarded", forwarded)] {
        let it = latency.lock().expect("no call panics").summary();
        writeln!(
            out,
            "{name:<10} {:>7} {:>9.2} {:>9.2} {:>12.2} {:>12.2}",
            it.count,
            it.p50_ms,
            it.p99_ms,
            it.p50_ms - direct.p50_ms,
            it.p99_ms - direct.p99_ms
        )?;
    }
    Ok(())
}
