//! The deployments of the two customers, in full size or in miniature.
//!
//! The Consortium has three zones and runs model calls beside a portal service; Trailerwerk has
//! four zones and runs model calls beside an encoding service.

use std::{sync::Arc, time::Duration};

use rosethread_config::{Document, EngineSpec, Objective, ObjectiveKind, PolicyName};
use rosethread_fakes::{EngineConfig, FakeEngine, FakeService};

use crate::{Deployment, DeploymentSpec, DocumentBuilder, discarding_logger, document::parse_name};

/// The size of a customer's deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scale {
    /// A few nodes and targets, for examples and tests.
    Miniature,
    /// As many nodes, engines and services as the customer runs in production.
    Full,
}

/// A running deployment and the document that it was configured with.
pub struct ConfiguredDeployment {
    /// The nodes and fakes.
    pub deployment: Deployment,
    /// The document that was published.
    pub document: Document,
    /// The names of the members.
    pub members: Vec<&'static str>,
}

/// The size, names and engine properties of one deployment.
struct ScenarioSpec {
    zones: &'static [&'static str],
    nodes: usize,
    engines: usize,
    services: usize,
    model: &'static str,
    service: &'static str,
    members: &'static [&'static str],
    engine: EngineConfig,
    base_port: Option<u16>,
}

/// Starts the Consortium's deployment on free ports.
///
/// Returns when all nodes have activated its document.
pub async fn start_consortium(
    scale: Scale,
    engine: EngineConfig,
    policy: PolicyName,
) -> ConfiguredDeployment {
    start_consortium_at(None, scale, engine, policy).await
}

/// Starts the Consortium's deployment on consecutive ports.
///
/// The ports start at `base_port`, with the layout of [`DeploymentSpec::base_port`]; the fake
/// engines and services always use free ports.
pub async fn start_consortium_at(
    base_port: Option<u16>,
    scale: Scale,
    engine: EngineConfig,
    policy: PolicyName,
) -> ConfiguredDeployment {
    let (nodes, engines, services) = match scale {
        Scale::Miniature => (4, 4, 3),
        Scale::Full => (10, 12, 11),
    };
    let scenario = ScenarioSpec {
        zones: &["north", "east", "west"],
        nodes,
        engines,
        services,
        model: "vetting",
        service: "portal",
        members: &["lyra", "cygnus", "draco"],
        engine,
        base_port,
    };
    start_deployment(&scenario, policy).await
}

/// Starts Trailerwerk's deployment on free ports.
///
/// Returns when all nodes have activated its document.
pub async fn start_trailerwerk(
    scale: Scale,
    engine: EngineConfig,
    policy: PolicyName,
) -> ConfiguredDeployment {
    let (nodes, engines, services) = match scale {
        Scale::Miniature => (4, 4, 2),
        Scale::Full => (10, 9, 5),
    };
    let scenario = ScenarioSpec {
        zones: &["linz-a", "linz-b", "linz-c", "linz-d"],
        nodes,
        engines,
        services,
        model: "colour",
        service: "encode",
        members: &["donau", "traun", "enns"],
        engine,
        base_port: None,
    };
    start_deployment(&scenario, policy).await
}

async fn start_deployment(scenario: &ScenarioSpec, policy: PolicyName) -> ConfiguredDeployment {
    let zone = |index: usize| scenario.zones[index % scenario.zones.len()];
    let spec = DeploymentSpec {
        node_zones: (0..scenario.nodes).map(|it| zone(it).to_owned()).collect(),
        base_port: scenario.base_port,
        period_ms: 200,
        logger: discarding_logger(),
    };
    let mut deployment = Deployment::start(&spec).await;
    let mut builder = DocumentBuilder::new().policy(policy);
    for (index, member) in scenario.members.iter().enumerate() {
        builder = builder.member(member, index as u32 % 2 + 1);
    }
    builder = builder
        .class("short", |it| {
            it.priority = -1;
            it.reserved = true;
            it.tokens = 4_000;
            it.block = 1_000;
            it.deadline_ms = 10_000;
        })
        .class("long", |it| {
            it.tokens = 60_000;
            it.block = 3_000;
        });
    for index in 0..scenario.engines {
        let name = format!("engine-{index}");
        let address = deployment.add_engine(&name, FakeEngine::start(scenario.engine)).await;
        builder = builder.engine(&name, zone(index), address, engine_spec(scenario));
    }
    for index in 0..scenario.services {
        let name = format!("{}-{index}", scenario.service);
        let service = Arc::new(FakeService::new(Duration::from_millis(20)));
        let address = deployment.add_service(&name, service).await;
        builder = builder.service(&name, zone(index), address, scenario.service, 8);
    }
    let mut document = builder.build();
    document.objectives = objectives();
    deployment.publish(&document).await;
    ConfiguredDeployment { deployment, document, members: scenario.members.to_vec() }
}

fn objectives() -> Vec<Objective> {
    let objective = |name: &str, kind, threshold_ms, target| Objective {
        name: name.to_owned(),
        kind,
        class: None,
        threshold_ms,
        target,
    };
    vec![
        objective("first-token", ObjectiveKind::FirstToken, 600, 0.95),
        objective("between-tokens", ObjectiveKind::BetweenTokens, 49, 0.95),
        objective("program", ObjectiveKind::ProgramLatency, 10_000, 0.95),
        objective("answered", ObjectiveKind::Refusals, 0, 0.99),
    ]
}

fn engine_spec(scenario: &ScenarioSpec) -> EngineSpec {
    let step_s = scenario.engine.base_step.as_secs_f64().max(0.000_1);
    EngineSpec {
        models: vec![parse_name(scenario.model)],
        slots: scenario.engine.slots as u32,
        memory: scenario.engine.cache_tokens,
        fencing: scenario.engine.fencing,
        prefill_rate: scenario.engine.prefill_rate,
        decode_rate: (1.0 / step_s) as u32,
    }
}
