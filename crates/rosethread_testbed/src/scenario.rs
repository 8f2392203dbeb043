//! The two users' deployments, whole or in miniature.

use std::{sync::Arc, time::Duration};

use rosethread_config::{Document, EngineSpec, Objective, ObjectiveKind, PolicyName};
use rosethread_fakes::{EngineConfig, FakeEngine, FakeService};

use crate::{Deployment, DeploymentSpec, DocumentBuilder, discarding_logger, document::valid};

/// How much of a deployment is built.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scale {
    /// A few nodes and targets, for examples and tests.
    Miniature,
    /// As many as the users run today.
    Full,
}

/// A deployment with its document.
pub struct ConfiguredDeployment {
    /// The running parts.
    pub deployment: Deployment,
    /// The document in force.
    pub document: Document,
    /// The members by name.
    pub members: Vec<&'static str>,
}

/// The shape of one deployment.
struct Shape {
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

/// Starts the Consortium's deployment.
pub async fn start_consortium(
    scale: Scale,
    engine: EngineConfig,
    policy: PolicyName,
) -> ConfiguredDeployment {
    start_consortium_at(None, scale, engine, policy).await
}

/// Starts the Consortium's deployment on a row of ports.
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
    let shape = Shape {
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
    start(&shape, policy).await
}

/// Starts Trailerwerk's deployment.
pub async fn start_trailerwerk(
    scale: Scale,
    engine: EngineConfig,
    policy: PolicyName,
) -> ConfiguredDeployment {
    let (nodes, engines, services) = match scale {
        Scale::Miniature => (4, 4, 2),
        Scale::Full => (10, 9, 5),
    };
    let shape = Shape {
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
    start(&shape, policy).await
}

async fn start(shape: &Shape, policy: PolicyName) -> ConfiguredDeployment {
    let zone = |index: usize| shape.zones[index % shape.zones.len()];
    let spec = DeploymentSpec {
        node_zones: (0..shape.nodes).map(|it| zone(it).to_owned()).collect(),
        base_port: shape.base_port,
        period_ms: 200,
        logger: discarding_logger(),
    };
    let mut deployment = Deployment::start(&spec).await;
    let mut builder = DocumentBuilder::new().policy(policy);
    for (index, member) in shape.members.iter().enumerate() {
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
    for index in 0..shape.engines {
        let name = format!("engine-{index}");
        let address = deployment.add_engine(&name, FakeEngine::start(shape.engine)).await;
        builder = builder.engine(&name, zone(index), address, engine_spec(shape));
    }
    for index in 0..shape.services {
        let name = format!("{}-{index}", shape.service);
        let service = Arc::new(FakeService::new(Duration::from_millis(20)));
        let address = deployment.add_service(&name, service).await;
        builder = builder.service(&name, zone(index), address, shape.service, 8);
    }
    let mut document = builder.build();
    document.objectives = objectives();
    deployment.publish(&document).await;
    ConfiguredDeployment { deployment, document, members: shape.members.to_vec() }
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

fn engine_spec(shape: &Shape) -> EngineSpec {
    let step_s = shape.engine.base_step.as_secs_f64().max(0.000_1);
    EngineSpec {
        models: vec![valid(shape.model)],
        slots: shape.engine.slots as u32,
        memory: shape.engine.cache_tokens,
        fencing: shape.engine.fencing,
        prefill_rate: shape.engine.prefill_rate,
        decode_rate: (1.0 / step_s) as u32,
    }
}
