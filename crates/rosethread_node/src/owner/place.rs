//! Chooses targets for programs and calls, from the load and health that this node knows.

use std::sync::Arc;

use rosethread_config::{Class, Document, Target, TargetState};
use rosethread_membership::{ClusterView, target_owner};
use rosethread_policy::{Candidate, PlacementRequest, TargetHealth, Weights, choose_target};
use rosethread_types::{MemberName, ModelName, Reason, Refusal, ServiceName, TargetName, Tokens};

use crate::{call::Create, core::Core, owner::strategy};

/// The relative slowdown of a sequence in a full batch; the steps of the fake engines grow as much.
const FULL_BATCH_SLOWDOWN: f64 = 0.05;

/// The additional network latency to a target in another availability zone, in seconds.
const CROSS_ZONE_LATENCY_S: f64 = 0.001;

/// The model or service that a target has to provide.
#[derive(Clone, Copy)]
pub(super) enum Capability<'a> {
    /// A model, served by an engine.
    Model(&'a ModelName),
    /// A plain service.
    Service(&'a ServiceName),
}

/// The size of a call's prompt, and the part of it that a target has cached.
#[derive(Clone, Copy, Default)]
pub(super) struct PromptState<'a> {
    /// The most tokens of the prompt and the answer; 0 for a service or a new program.
    pub(super) tokens: Tokens,
    /// The target that most likely caches a prefix of the prompt, and the prefix's tokens.
    pub(super) cached: Option<&'a (TargetName, Tokens)>,
}

/// A chosen target and the latency forecast for it.
pub(super) struct ChosenTarget {
    pub(super) target: Target,
    /// The expected wait for a slot, in seconds.
    pub(super) wait_s: f64,
    /// The expected duration of the call once it has a slot, in seconds.
    pub(super) service_s: f64,
}

/// Returns the targets, active or not, that provide `capability` and may serve `member`.
pub(super) fn eligible<'a>(
    document: &'a Document,
    capability: Capability<'a>,
    member: &'a MemberName,
) -> impl Iterator<Item = &'a Target> {
    document.targets.iter().filter(move |it| {
        let provides = match capability {
            Capability::Model(model) => it.engine().is_some_and(|it| it.models.contains(model)),
            Capability::Service(service) => it.service().is_some_and(|it| it.service == *service),
        };
        provides && it.serves(member)
    })
}

/// Chooses the active target for one call by the document's policy.
pub(super) fn choose(
    core: &Core,
    document: &Document,
    capability: Capability<'_>,
    member: &MemberName,
    class: Option<&Class>,
    prompt: PromptState<'_>,
) -> Result<ChosenTarget, Refusal> {
    let is_active = |it: &&Target| it.state == TargetState::Active;
    let targets: Vec<&Target> = eligible(document, capability, member).filter(is_active).collect();
    if targets.is_empty() {
        let detail = match capability {
            Capability::Model(model) => format!("no target serves model {model} to {member}"),
            Capability::Service(service) => {
                format!("no target provides service {service} to {member}")
            }
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
        let refusal = Refusal::not_run(Reason::NoTarget, "every eligible target is unavailable");
        return Err(refusal.retry_after(std::time::Duration::from_millis(500)));
    };
    let chosen = &candidates[placement.index];
    let queued = (chosen.running + chosen.waiting + 1).saturating_sub(chosen.slots);
    let wait_s = chosen.service_s * f64::from(queued) / f64::from(chosen.slots.max(1));
    let target = targets[placement.index].clone();
    Ok(ChosenTarget { target, wait_s, service_s: chosen.service_s })
}

fn weights(class: &Class) -> Weights {
    Weights { latency: class.latency_weight, waste: class.waste_weight }
}

/// Describes a target to the policy.
///
/// The load is this node's own count if it owns the target's slots, and the owner's last summary
/// otherwise, which may be out of date; it is at least the number of this node's own calls there.
fn candidate(
    core: &Core,
    view: &ClusterView,
    target: &Target,
    health: Option<&TargetHealth>,
    prompt: PromptState<'_>,
) -> Candidate {
    let default_health = TargetHealth::default();
    let health = health.unwrap_or(&default_health);
    let owner = target_owner(view, target.name.as_str(), &target.zone);
    let (running, waiting) = match &owner {
        Some(owner) if owner != core.node_name() => summary_load(view, owner, &target.name),
        _ => core.dispatch.slots(&target.name).load(),
    };
    let cached = prompt.cached.filter(|(name, _)| *name == target.name);
    let is_same_zone = target.zone == core.settings.zone;
    Candidate {
        slots: target.slots(),
        running: running.max(health.outstanding),
        waiting,
        cached: cached.map_or(0, |(_, tokens)| *tokens),
        pressure: health.pressure,
        prefill_rate: target.engine().map_or(f64::MAX, |it| f64::from(it.prefill_rate)),
        service_s: health.service_s,
        network_s: if is_same_zone { 0.0 } else { CROSS_ZONE_LATENCY_S },
        batch_slowdown: FULL_BATCH_SLOWDOWN,
        is_unavailable: health.breaker.is_open(core.now()),
        slowness: 0.0,
        has_share: false,
    }
}

/// Returns the running and waiting calls of a target according to its owner's last summary.
fn summary_load(
    view: &ClusterView,
    owner: &rosethread_types::NodeName,
    target: &TargetName,
) -> (u32, u32) {
    let targets = view.get(owner).map(|it| it.summary.targets.as_slice()).unwrap_or_default();
    let load = targets.iter().find(|it| it.target == *target);
    load.map_or((0, 0), |it| (u32::from(it.running), u32::from(it.waiting)))
}

/// Chooses the engine on which a new program is expected to run.
pub(super) fn choose_home(
    core: &Arc<Core>,
    document: &Document,
    create: &Create,
) -> Result<Target, Refusal> {
    let capability = Capability::Model(&create.model);
    let class = document.class(&create.class);
    let chosen = choose(core, document, capability, &create.member, class, PromptState::default())?;
    Ok(chosen.target)
}
