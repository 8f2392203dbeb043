//! Tests of a scaled-down deployment over real sockets.
//!
//! They wait for events rather than for fixed times, so that a busy machine doesn't make them fail.

use std::time::Duration;

use rosethread_config::PolicyName;
use rosethread_fakes::{EngineConfig, prompt_for_output};
use rosethread_testbed::{
    Caller, CallerProgram, ConfiguredDeployment, Scale, member_key, start_consortium,
};
use serde_json::{Value, json};

/// The time that a caller allows for one call, including its retries.
const CALL_DEADLINE: Duration = Duration::from_secs(20);

async fn start() -> (ConfiguredDeployment, Caller) {
    let engine = EngineConfig { base_step: Duration::from_millis(2), ..EngineConfig::default() };
    let configured = start_consortium(Scale::Miniature, engine, PolicyName::Adaptive).await;
    let http = reqwest::Client::new();
    let caller = Caller::new(http, member_key("lyra"), configured.deployment.caller_addresses());
    (configured, caller)
}

async fn create_program(caller: &Caller) -> CallerProgram {
    let hosts = caller.locate("vetting").await;
    let body = json!({"class": "long", "model": "vetting"});
    caller.create(body, &hosts, CALL_DEADLINE).await.expect("the program is created")
}

async fn chat(program: &mut CallerProgram, text: &str) {
    let content = prompt_for_output(text, 8);
    let result = program.chat(&content, 32, CALL_DEADLINE).await.expect("the call is answered");
    assert!(result.is_expected, "{text}: {}", result.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn turns_and_service_calls_work_over_sockets() {
    let (configured, caller) = start().await;
    let mut program = create_program(&caller).await;
    for turn in 0..3 {
        chat(&mut program, &format!("turn {turn}")).await;
    }
    let body = "{\"light\":\"curve\"}";
    let result =
        program.call_service("portal", body, CALL_DEADLINE).await.expect("the service answers");
    assert!(result.is_expected);
    let runs: usize =
        configured.deployment.services.values().map(|it| it.execution_count(body)).sum();
    assert_eq!(runs, 1);
    assert!(program.close().await);
    configured.deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_history_survives_the_loss_of_its_owner() {
    let (mut configured, caller) = start().await;
    let mut program = create_program(&caller).await;
    chat(&mut program, "before").await;
    let owner = owner_name(&configured, &program);
    configured.deployment.kill(&owner).await;
    chat(&mut program, "after").await;
    assert_ne!(self::owner_name(&configured, &program), owner);
    configured.deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_interrupts_no_stream() {
    let (mut configured, caller) = start().await;
    let mut program = create_program(&caller).await;
    chat(&mut program, "before").await;
    let owner = owner_name(&configured, &program);
    let long_call = tokio::spawn(async move {
        // The stream lasts several times as long as a draining node waits before it hands its
        // programs over.
        let content = prompt_for_output("long", 1_500);
        let result =
            program.chat(&content, 1_500, CALL_DEADLINE).await.expect("the call is answered");
        (program, result)
    });
    let engines = configured.deployment.engines.values().cloned().collect::<Vec<_>>();
    while engines.iter().all(|it| it.true_load().running == 0) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    configured.deployment.drain(&owner).await;
    let (mut program, result) = long_call.await.expect("the caller does not panic");
    assert!(result.is_expected);
    assert_eq!(result.attempts, 1, "the stream was interrupted");
    // After an interruption, a second generation would replace the stream unseen by the caller.
    let generations: usize = engines.iter().map(|it| it.records().len()).sum();
    assert_eq!(generations, 2, "one for each call so far");
    chat(&mut program, "after").await;
    configured.deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_beyond_the_history_limit_is_refused() {
    let (configured, caller) = start().await;
    let mut program = create_program(&caller).await;
    let limit = rosethread_config::Limits::default().history_bytes;
    let body = format!("\"{}\"", "x".repeat(limit * 2 / 5));
    // Two bodies fit and a third does not; each is below the limit of one request.
    for _ in 0..2 {
        program.call_service("portal", &body, CALL_DEADLINE).await.expect("the service answers");
    }
    let error = program.call_service("portal", &body, Duration::from_secs(2)).await.unwrap_err();
    assert_eq!((error.outcome.as_str(), error.reason.as_str()), ("not-run", "limit-reached"));
    configured.deployment.stop().await;
}

fn owner_name(configured: &ConfiguredDeployment, program: &CallerProgram) -> String {
    let handles = configured.deployment.handles();
    let owner = handles.iter().find(|it| it.owns(&program.id));
    owner.expect("some node owns the program").name().to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_name_the_field() {
    let (configured, caller) = start().await;
    let program = create_program(&caller).await;
    let host = configured.deployment.caller_addresses()[0];
    let http = reqwest::Client::new();
    let post = |path: &str| http.post(format!("http://{host}{path}"));
    let key = member_key("lyra");
    let chat = || post("/v1/chat/completions").bearer_auth(&key).json(&json!({"messages": []}));
    let requests = [
        (post("/v1/programs").json(&json!({})), 401, "authorization"),
        (post("/v1/programs").bearer_auth("wrong").json(&json!({})), 401, "authorization"),
        (post("/v1/programs").bearer_auth(&key).json(&json!({"class": "long"})), 400, "model"),
        (
            post("/v1/programs").bearer_auth(&key).json(&json!({"class": "x", "model": "m"})),
            400,
            "class",
        ),
        (chat(), 400, "x-rosethread-program"),
        (chat().header("x-rosethread-program", &program.id), 400, "x-rosethread-request"),
        (
            chat()
                .header("x-rosethread-program", &program.id)
                .header("x-rosethread-request", "r0")
                .header("x-rosethread-turn", "one"),
            400,
            "x-rosethread-turn",
        ),
        (
            chat()
                .header("x-rosethread-program", program.id.replace("lyra", "draco"))
                .header("x-rosethread-request", "r0")
                .header("x-rosethread-turn", "0"),
            403,
            "x-rosethread-program",
        ),
        (
            chat()
                .header("x-rosethread-program", &program.id)
                .header("x-rosethread-request", "r0")
                .header("x-rosethread-turn", "0")
                // A host that has not yet read the program from the journal accepts it by its
                // continuation.
                .header("x-rosethread-continuation", program.continuation()),
            400,
            "messages",
        ),
    ];
    for (request, status, field) in requests {
        let response = request.send().await.expect("the node answers");
        assert_eq!(response.status().as_u16(), status, "{field}");
        let body: Value = response.json().await.expect("the error is JSON");
        assert_eq!(body["outcome"], "not-run", "{body}");
        let detail = body["detail"].as_str().unwrap_or_default();
        assert!(detail.contains(field), "{field}: {detail}");
    }
    configured.deployment.stop().await;
}
