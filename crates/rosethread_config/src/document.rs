//! The schema of the operators' document, which is TOML.

use std::{net::SocketAddr, time::Duration};

use rosethread_types::{
    ClassName, MemberName, ModelName, ServiceName, TargetName, Tokens, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::Problems;

/// The configuration of a whole deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The scheduling policy of all nodes.
    #[serde(default)]
    pub policy: PolicyName,
    /// The organisations that share the platform, with their keys and quotas.
    #[serde(default)]
    pub members: Vec<Member>,
    /// The model engines and plain services that nodes send calls to.
    #[serde(default)]
    pub targets: Vec<Target>,
    /// The classes of programs, with their budgets and deadlines.
    #[serde(default)]
    pub classes: Vec<Class>,
    /// The service-level objectives that nodes report on.
    #[serde(default)]
    pub objectives: Vec<Objective>,
}

/// A scheduling policy; all but `adaptive` are baselines for comparisons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// The target with the least expected cost; calls by class, then in weighted fair shares
    /// between members, then by waiting time.
    #[default]
    Adaptive,
    /// Targets in rotation; calls in order of arrival.
    RoundRobin,
    /// The target with the fewest calls; calls in order of arrival.
    LeastLoaded,
    /// Always the program's first target; calls in order of arrival.
    Sticky,
}

/// An organisation that shares the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The unique name.
    pub name: MemberName,
    /// The SHA-256 hashes of the member's keys, in hexadecimal. Several keys allow rotation.
    pub keys: Vec<String>,
    /// The member's weight in the fair sharing of targets.
    #[serde(default = "default_share")]
    pub share: u32,
    /// The maximum number of calls that the member may start per second.
    #[serde(default = "default_rate")]
    pub rate: u32,
    /// The maximum number of concurrent calls.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// The maximum number of tokens that the member may spend per minute.
    #[serde(default = "default_minute_tokens")]
    pub minute_tokens: Tokens,
}

fn default_share() -> u32 {
    1
}

fn default_rate() -> u32 {
    1_000
}

fn default_concurrency() -> u32 {
    1_000
}

fn default_minute_tokens() -> Tokens {
    60_000_000
}

/// A model engine or plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The unique name.
    pub name: TargetName,
    /// The address of the target's HTTP server.
    pub address: SocketAddr,
    /// The target's availability zone.
    pub zone: ZoneName,
    /// Whether the target is an engine or a service, with its description.
    pub kind: TargetKind,
    /// The members that the target may serve; all if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberName>,
    /// Whether the target accepts new work.
    #[serde(default)]
    pub state: TargetState,
}

impl Target {
    /// Returns whether the target may serve `member`.
    pub fn serves(&self, member: &MemberName) -> bool {
        self.members.is_empty() || self.members.contains(member)
    }

    /// Returns the engine's description, if the target is an engine.
    pub fn engine(&self) -> Option<&EngineSpec> {
        match &self.kind {
            TargetKind::Engine(it) => Some(it),
            TargetKind::Service(_) => None,
        }
    }

    /// Returns the service's description, if the target is a plain service.
    pub fn service(&self) -> Option<&ServiceSpec> {
        match &self.kind {
            TargetKind::Engine(_) => None,
            TargetKind::Service(it) => Some(it),
        }
    }

    /// Returns the number of calls that the target processes concurrently.
    pub fn slots(&self) -> u32 {
        match &self.kind {
            TargetKind::Engine(it) => it.slots,
            TargetKind::Service(it) => it.slots,
        }
    }
}

/// The kind of a target, with its description.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// A model engine, which generates tokens.
    Engine(EngineSpec),
    /// A plain service, which is called for instance as a tool.
    Service(ServiceSpec),
}

/// The description of a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// The models that the engine serves.
    pub models: Vec<ModelName>,
    /// The maximum number of sequences in a batch.
    pub slots: u32,
    /// The capacity of the engine's KV cache, in tokens.
    pub memory: Tokens,
    /// Whether the engine refuses requests with an outdated fencing token.
    #[serde(default)]
    pub fencing: bool,
    /// The number of prompt tokens that the engine processes per second.
    #[serde(default = "default_prefill_rate")]
    pub prefill_rate: u32,
    /// The number of tokens that the engine generates per second for one sequence.
    #[serde(default = "default_decode_rate")]
    pub decode_rate: u32,
}

fn default_prefill_rate() -> u32 {
    8_000
}

fn default_decode_rate() -> u32 {
    40
}

/// The description of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name of the provided service; several targets may provide the same service.
    pub service: ServiceName,
    /// The maximum number of concurrent calls.
    pub slots: u32,
    /// The timeout of a call, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_timeout_ms() -> u64 {
    30_000
}

/// Whether a target accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// The target accepts new work.
    #[default]
    Active,
    /// The target is draining: it finishes its calls and accepts no new ones.
    Leaving,
}

/// A class of programs, with the budget and the scheduling parameters of each program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The unique name.
    pub name: ClassName,
    /// The priority; smaller numbers go first.
    #[serde(default)]
    pub priority: i32,
    /// The deadline of a call, in milliseconds after its arrival, unless the caller sets a shorter
    /// one.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// The maximum number of tokens that a program may add to its history.
    pub tokens: Tokens,
    /// The maximum number of calls that a program may finish.
    pub calls: u32,
    /// The maximum time from a program's creation to its last call, in seconds.
    pub wall_s: u64,
    /// The number of tokens that the owner reserves in the journal at a time; a program spends no
    /// more before the journal has confirmed the next block.
    pub block: Tokens,
    /// The maximum number of generated tokens for a call that sets no limit.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: Tokens,
    /// Where the history is stored so that it survives the loss of the owner.
    #[serde(default)]
    pub history: HistoryStorage,
    /// The maximum number of retries of a repeatable call.
    #[serde(default = "default_retries")]
    pub retries: u32,
    /// Whether calls of the class may exceed a target's slots by a reserve, for classes of short
    /// calls.
    #[serde(default)]
    pub reserved: bool,
    /// The cost of a second of latency in scheduling decisions.
    #[serde(default = "default_latency_weight")]
    pub latency_weight: f64,
    /// The cost of a thousand wasted cache tokens in scheduling decisions.
    #[serde(default = "default_waste_weight")]
    pub waste_weight: f64,
}

impl Class {
    /// Returns the deadline of a call that sets none, relative to its arrival.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

fn default_deadline_ms() -> u64 {
    60_000
}

fn default_max_tokens() -> Tokens {
    256
}

fn default_retries() -> u32 {
    2
}

fn default_latency_weight() -> f64 {
    1.0
}

fn default_waste_weight() -> f64 {
    10.0
}

/// Where a program's history is stored so that it survives the loss of the program's owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HistoryStorage {
    /// The journal stores each turn.
    #[default]
    Journal,
    /// The caller supplies earlier turns again; the journal stores only the program's account.
    Caller,
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The unique name.
    pub name: String,
    /// The measured quantity.
    pub kind: ObjectiveKind,
    /// The class that the objective applies to; all classes if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassName>,
    /// The highest value of a good event, in milliseconds; unused for refusals.
    #[serde(default)]
    pub threshold_ms: u64,
    /// The fraction of good events to reach, between 0 and 1.
    pub target: f64,
}

/// The quantity that an objective measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectiveKind {
    /// The time from a call's arrival to its first token.
    FirstToken,
    /// The time between two tokens.
    BetweenTokens,
    /// The time from a program's first call to its last answer.
    ProgramLatency,
    /// Whether calls are refused; a call that is not refused is good.
    Refusals,
}

impl Document {
    /// Parses and validates a document.
    pub fn parse(text: &str) -> Result<Document, Problems> {
        let document: Document =
            toml::from_str(text).map_err(|it| Problems::from_syntax_error(&it))?;
        document.validate()?;
        Ok(document)
    }

    /// Returns the document as TOML, which [`Document::parse`] accepts.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("every document can be written as TOML")
    }

    /// Returns the member called `name`.
    pub fn member(&self, name: &MemberName) -> Option<&Member> {
        self.members.iter().find(|it| it.name == *name)
    }

    /// Returns the class called `name`.
    pub fn class(&self, name: &ClassName) -> Option<&Class> {
        self.classes.iter().find(|it| it.name == *name)
    }

    /// Returns the target called `name`.
    pub fn target(&self, name: &TargetName) -> Option<&Target> {
        self.targets.iter().find(|it| it.name == *name)
    }
}
