//! The schema of the operators' document.

use std::{net::SocketAddr, time::Duration};

use rosethread_types::{
    ClassName, MemberName, ModelName, ServiceName, TargetName, Tokens, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::Problems;

/// The whole of what is in force for one deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Which scheduling policy the nodes follow.
    #[serde(default)]
    pub policy: PolicyName,
    /// The organisations that share the platform.
    #[serde(default)]
    pub members: Vec<Member>,
    /// The model engines and plain services.
    #[serde(default)]
    pub targets: Vec<Target>,
    /// The classes of programs.
    #[serde(default)]
    pub classes: Vec<Class>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
}

/// A scheduling policy; all but the first are baselines to compare with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// Least expected cost, least attained service, weighted fair shares.
    #[default]
    Adaptive,
    /// Targets in turn, first come first served.
    RoundRobin,
    /// The target with the fewest calls, first come first served.
    LeastLoaded,
    /// The program's first target for ever, first come first served.
    Sticky,
}

/// An organisation that shares the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its name.
    pub name: MemberName,
    /// SHA-256 hashes of its keys, in hexadecimal; several allow rotation.
    pub keys: Vec<String>,
    /// Its weight when members compete for a target.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Calls a second that it may start.
    #[serde(default = "default_rate")]
    pub rate: u32,
    /// Calls that it may have under way at once.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Tokens a minute that it may spend.
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
    /// Its name.
    pub name: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What it is.
    pub kind: TargetKind,
    /// The members it may serve; empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberName>,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: TargetState,
}

impl Target {
    /// Tells whether the target may serve `member`.
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

    /// Returns how many calls the target works on at once.
    pub fn slots(&self) -> u32 {
        match &self.kind {
            TargetKind::Engine(it) => it.slots,
            TargetKind::Service(it) => it.slots,
        }
    }
}

/// What a target is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// A model engine.
    Engine(EngineSpec),
    /// A plain service.
    Service(ServiceSpec),
}

/// The description of a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// The models it serves.
    pub models: Vec<ModelName>,
    /// Sequences it batches at once.
    pub slots: u32,
    /// Its cache memory, in tokens.
    pub memory: Tokens,
    /// Whether it refuses orders under an old fencing number.
    #[serde(default)]
    pub fencing: bool,
    /// Prompt tokens it computes in a second.
    #[serde(default = "default_prefill_rate")]
    pub prefill_rate: u32,
    /// Tokens it generates in a second for one sequence.
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
    /// The service it provides.
    pub service: ServiceName,
    /// Calls it works on at once.
    pub slots: u32,
    /// The longest wait for an answer, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_timeout_ms() -> u64 {
    30_000
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// It takes new work.
    #[default]
    Active,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// A class of programs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: ClassName,
    /// Its priority; smaller numbers go first.
    #[serde(default)]
    pub priority: i32,
    /// The deadline of one call, in milliseconds, unless the caller sets a shorter one.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Tokens that a program may add to its history.
    pub tokens: Tokens,
    /// Calls that a program may finish.
    pub calls: u32,
    /// Time from a program's creation to its last call, in seconds.
    pub wall_s: u64,
    /// Tokens that a program may spend before the journal has confirmed more.
    pub block: Tokens,
    /// Tokens generated by a call that sets no limit of its own.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: Tokens,
    /// Who keeps the history for the time after a node's loss.
    #[serde(default)]
    pub history: HistoryStorage,
    /// How often a repeatable call is sent again after a failure.
    #[serde(default = "default_retries")]
    pub retries: u32,
    /// Whether the class is short enough to have slots of its own at each target.
    #[serde(default)]
    pub reserved: bool,
    /// The weight of a second of latency in decisions.
    #[serde(default = "default_latency_weight")]
    pub latency_weight: f64,
    /// The weight of a thousand wasted cache tokens in decisions.
    #[serde(default = "default_waste_weight")]
    pub waste_weight: f64,
}

impl Class {
    /// Returns the deadline of a call that sets none.
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

/// Who keeps a program's history for the time after its owner's loss.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HistoryStorage {
    /// The journal stores each turn.
    #[default]
    Journal,
    /// The caller supplies the turns again; the journal stores the account only.
    Caller,
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Its name.
    pub name: String,
    /// What it measures.
    pub kind: ObjectiveKind,
    /// The class it applies to; all if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassName>,
    /// The value that counts as good, in milliseconds; unused for refusals.
    #[serde(default)]
    pub threshold_ms: u64,
    /// The share of good events, between 0 and 1.
    pub target: f64,
}

/// What an objective measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectiveKind {
    /// Time from a call's arrival to its first token.
    FirstToken,
    /// Time between two tokens.
    BetweenTokens,
    /// Time from a program's first call to its last answer.
    ProgramLatency,
    /// Calls that are not refused.
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

    /// Returns the document's text.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("a document serialises")
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
