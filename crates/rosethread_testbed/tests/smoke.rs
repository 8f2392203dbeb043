//! A few tests over real sockets; each waits on events, not on time.

use std::time::Duration;

use rosethread_config::PolicyName;
use rosethread_fakes::{EngineConfig, prompt_for_output};
use rosethread_testbed::{
    Caller, CallerProgram, ConfiguredDeployment, Scale, member_key, start_consortium,
};
use serde_json::{Value, json};

const DEADLINE: Duration = Duration::from_secs(20);

async fn deploy() -> (ConfiguredDeployment, Caller) {
    let engine = EngineConfig { base_step: Duration::from_millis(2), ..EngineConfig::default() };
    let deploy = start_consortium(Scale::Miniature, engine, PolicyName::Adaptive).await;
    let http = reqwest::Client::new();
    let caller = Caller::new(http, member_key("lyra"), deploy.deployment.caller_addresses());
    (deploy, caller)
}

async fn create(caller: &Caller) -> CallerProgram {
    let hosts = caller.locate("vetting").await;
    let body = json!({"class": "long", "model": "vetting"});
    caller.create(body, &hosts, DEADLINE).await.expect("the program is created")
}

async fn chat(program: &mut CallerProgram, text: &str) {
    let content = prompt_for_output(text, 8);
    let result = program.chat(&content, 32, DEADLINE).await.expect("the call is answered");
    assert!(result.is_expected, "{text}: {}", result.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_path_over_sockets() {
    let (deploy, caller) = deploy().await;
    let mut program = create(&caller).await;
    for turn in 0..3 {
        chat(&mut program, &format!("turn {turn}")).await;
    }
    let body = "{\"light\":\"curve\"}";
    let result = program.call_service("portal", body, DEADLINE).await.expect("the service answers");
    assert!(result.is_expected);
    let runs: usize = deploy.deployment.services.values().map(|it| it.execution_count(body)).sum();
    assert_eq!(runs, 1);
    assert!(program.close().await);
    deploy.deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn history_survives_the_owner() {
    let (mut deploy, caller) = deploy().await;
    let mut program = create(&caller).await;
    chat(&mut program, "before").await;
    let owner = owner(&deploy, &program);
    deploy.deployment.kill(&owner).await;
    chat(&mut program, "after").await;
    assert_ne!(self::owner(&deploy, &program), owner);
    deploy.deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_cuts_no_stream() {
    let (mut deploy, caller) = deploy().await;
    let mut program = create(&caller).await;
    chat(&mut program, "before").await;
    let owner = owner(&deploy, &program);
    let long = tokio::spawn(async move {
        // It runs for several times the notice that a leaving node gives.
        let content = prompt_for_output("long", 1_500);
        let result = program.chat(&content, 1_500, DEADLINE).await.expect("the call is answered");
        (program, result)
    });
    let engines = deploy.deployment.engines.values().cloned().collect::<Vec<_>>();
    while engines.iter().all(|it| it.true_load().running == 0) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    deploy.deployment.drain(&owner).await;
    let (mut program, result) = long.await.expect("the caller does not panic");
    assert!(result.is_expected);
    assert_eq!(result.attempts, 1, "the stream was cut");
    // A cut stream would be made up for by a second generation, which the caller does not see.
    let generations: usize = engines.iter().map(|it| it.records().len()).sum();
    assert_eq!(generations, 2, "one for each call so far");
    chat(&mut program, "after").await;
    deploy.deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_history_has_a_limit() {
    let (deploy, caller) = deploy().await;
    let mut program = create(&caller).await;
    let limit = rosethread_config::Limits::default().history_bytes;
    let body = format!("\"{}\"", "x".repeat(limit * 2 / 5));
    // Two bodies fit and a third does not; each is below the limit of one request.
    for _ in 0..2 {
        program.call_service("portal", &body, DEADLINE).await.expect("the service answers");
    }
    let error = program.call_service("portal", &body, Duration::from_secs(2)).await.unwrap_err();
    assert_eq!((error.outcome.as_str(), error.reason.as_str()), ("not-run", "limit-reached"));
    deploy.deployment.stop().await;
}

fn owner(deploy: &ConfiguredDeployment, program: &CallerProgram) -> String {
    let handles = deploy.deployment.handles();
    let owner = handles.iter().find(|it| it.owns(&program.id));
    owner.expect("some node owns the program").name().to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_name_the_field() {
    let (deploy, caller) = deploy().await;
    let program = create(&caller).await;
    let host = deploy.deployment.caller_addresses()[0];
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
                // A host that has not read of the program yet knows it by the continuation.
                .header("x-rosethread-continuation", program.continuation()),
            400,
            "messages",
        ),
    ];
    for (request, status, field) in requests {
        let reply = request.send().await.expect("the node answers");
        assert_eq!(reply.status().as_u16(), status, "{field}");
        let body: Value = reply.json().await.expect("the error is JSON");
        assert_eq!(body["outcome"], "not-run", "{body}");
        let detail = body["detail"].as_str().unwrap_or_default();
        assert!(detail.contains(field), "{field}: {detail}");
    }
    deploy.deployment.stop().await;
}
