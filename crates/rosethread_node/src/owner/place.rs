//! Chooses targets for programs and calls, from what this node knows.

use std::sync::Arc;

use rosethread_config::{Class, Document, Target, TargetState};
use rosethread_membership::{ClusterView, target_owner};
use rosethread_policy::{Candidate, PlacementRequest, TargetHealth, Weights, choose_target};
use rosethread_types::{MemberName, ModelName, Reason, Refusal, ServiceName, TargetName, Tokens};

use crate::{call::Create, core::Core, owner::strategy};

/// By how much a full batch slows its sequences down; the stand-in engines' steps grow by as much.
const BATCH_CROWDING: f64 = 0.05;

/// The extra time to reach a target in another availability zone, in seconds.
const ZONE_DISTANCE_S: f64 = 0.001;

/// What a target has to provide.
#[derive(Clone, Copy)]
pub(super) enum Need<'a> {
    /// A model.
    Model(&'a ModelName),
    /// A service.
    Service(&'a ServiceName),
}

/// What is known about a program when its call is placed.
#[derive(Clone, Copy, Default)]
pub(super) struct Prompt<'a> {
    /// Tokens in the prompt.
    pub(super) tokens: Tokens,
    /// The target that caches a part of it, and how much.
    pub(super) cached: Option<&'a (TargetName, Tokens)>,
}

/// A chosen target and what to expect of it.
pub(super) struct Chosen {
    pub(super) target: Target,
    /// The expected wait for a slot, in seconds.
    pub(super) wait_s: f64,
    /// The expected time of the call itself, in seconds.
    pub(super) service_s: f64,
}

/// Returns the targets that provide `need` and may serve `member`.
pub(super) fn eligible<'a>(
    document: &'a Document,
    need: Need<'a>,
    member: &'a MemberName,
) -> impl Iterator<Item = &'a Target> {
    document.targets.iter().filter(move |it| {
        let provides = match need {
            Need::Model(model) => it.engine().is_some_and(|it| it.models.contains(model)),
            Need::Service(service) => it.service().is_some_and(|it| it.service == *service),
        };
        provides && it.serves(member)
    })
}

/// Chooses the target for one call.
pub(super) fn choose(
    core: &Core,
    document: &Document,
    need: Need<'_>,
    member: &MemberName,
    class: Option<&Class>,
    prompt: Prompt<'_>,
) -> Result<Chosen, Refusal> {
    let is_active = |it: &&Target| it.state == TargetState::Active;
    let targets: Vec<&Target> = eligible(document, need, member).filter(is_active).collect();
    if targets.is_empty() {
        let detail = match need {
            Need::Model(model) => format!("no target serves model {model} to {member}"),
            Need::Service(service) => format!("no target provides service {service} to {member}"),
        };
        return Err(Refusal::not_run(Reason::NoTarget, detail));
    }
    let view = core.view();
    let health = core.dispatch.health();
    let candidates: Vec<Candidate> =
        targets.iter().map(|it| candidate(core, &view, it, health.get(&it.name), prompt)).collect();
    drop(health);
    let home = prompt.cached.and_then(|(name, _)| targets.iter().position(|it| it.name == *name));
    let request = PlacementRequest {
        prompt_tokens: prompt.tokens,
        home,
        random: core.random.next_u64() as usize >> 1,
    };
    let weights = class.map_or_else(Weights::default, weights);
    let placement = choose_target(strategy(document), &candidates, request, weights);
    let Some(placement) = placement else {
        let refusal =
            Refusal::not_run(Reason::NoTarget, "every target that could serve is failing");
        return Err(refusal.retry_after(std::time::Duration::from_millis(500)));
    };
    let chosen = &candidates[placement.index];
    let queued = (chosen.running + chosen.waiting + 1).saturating_sub(chosen.slots);
    let wait_s = chosen.service_s * f64::from(queued) / f64::from(chosen.slots.max(1));
    let target = targets[placement.index].clone();
    Ok(Chosen { target, wait_s, service_s: chosen.service_s })
}

fn weights(class: &Class) -> Weights {
    Weights { latency: class.latency_weight, waste: class.waste_weight }
}

/// Describes a target by the best information at hand: this node's own counts where it owns the
/// target, the owner's summary otherwise, and never less than this node's own calls there.
fn candidate(
    core: &Core,
    view: &ClusterView,
    target: &Target,
    health: Option<&TargetHealth>,
    prompt: Prompt<'_>,
) -> Candidate {
    let fresh = TargetHealth::default();
    let health = health.unwrap_or(&fresh);
    let owner = target_owner(view, target.name.as_str(), &target.zone);
    let (running, waiting) = match &owner {
        Some(owner) if owner != core.node_name() => summary_load(view, owner, &target.name),
        _ => core.dispatch.slots(&target.name).load(),
    };
    let cached = prompt.cached.filter(|(name, _)| *name == target.name);
    let is_near = target.zone == core.settings.zone;
    Candidate {
        slots: target.slots(),
        running: running.max(health.outstanding),
        waiting,
        cached: cached.map_or(0, |(_, tokens)| *tokens),
        pressure: health.pressure,
        prefill_rate: target.engine().map_or(f64::MAX, |it| f64::from(it.prefill_rate)),
        service_s: health.service_s,
        network_s: if is_near { 0.0 } else { ZONE_DISTANCE_S },
        batch_slowdown: BATCH_CROWDING,
        is_unavailable: health.breaker.is_open(core.now()),
    }
}

fn summary_load(
    view: &ClusterView,
    owner: &rosethread_types::NodeName,
    target: &TargetName,
) -> (u32, u32) {
    let targets = view.get(owner).map(|it| it.summary.targets.as_slice()).unwrap_or_default();
    let load = targets.iter().find(|it| it.target == *target);
    load.map_or((0, 0), |it| (u32::from(it.running), u32::from(it.waiting)))
}

/// Chooses the engine at which a new program will run.
pub(super) fn choose_home(
    core: &Arc<Core>,
    document: &Document,
    create: &Create,
) -> Result<Target, Refusal> {
    let need = Need::Model(&create.model);
    let class = document.class(&create.class);
    let chosen = choose(core, document, need, &create.member, class, Prompt::default())?;
    Ok(chosen.target)
}
