//! The requests and responses for programs and their calls, between the API, nodes and owners.

use rosethread_program::{Exchange, Usage};
use rosethread_types::{
    ClassName, MemberName, ModelName, ProgramId, Refusal, RequestId, ServiceName, Tokens, Turn,
};
use serde::{Deserialize, Serialize};

/// What a call asks a target to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallPayload {
    /// A generation by the program's model.
    Model {
        /// The messages that this turn adds: a JSON array.
        messages: String,
        /// The most tokens to generate; the limit of the class if absent.
        max_tokens: Option<Tokens>,
    },
    /// A call to a plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// The path, relative to the service's root.
        path: String,
        /// The body of the request.
        body: String,
    },
}

impl CallPayload {
    /// Returns whether the exchange becomes part of the model's prompt.
    pub fn is_prompted(&self) -> bool {
        matches!(self, CallPayload::Model { .. })
    }

    /// Returns the content that a retry of the call must repeat.
    pub fn input(&self) -> &str {
        match self {
            CallPayload::Model { messages, .. } => messages,
            CallPayload::Service { body, .. } => body,
        }
    }
}

/// One call of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The program.
    pub program: ProgramId,
    /// The caller's identifier of the call.
    pub request: RequestId,
    /// The number of the call within its program.
    pub turn: Turn,
    /// What the call asks for.
    pub work: CallPayload,
    /// Whether the call may safely run more than once.
    pub repeatable: bool,
    /// Whether the caller may have sent the call before. A node that does not know the program can
    /// report "not run" only for a first attempt.
    pub retry: bool,
    /// The deadline, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// The sealed continuation from the caller's last answer.
    pub continuation: Option<String>,
    /// Earlier turns that the caller sends again, for an owner whose journal lacks them.
    #[serde(default)]
    pub supplied: Vec<Exchange>,
    /// The number of times that nodes have forwarded the call.
    #[serde(default)]
    pub hops: u8,
}

/// The complete answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The answer's text.
    pub text: String,
    /// The turn that the call finished.
    pub turn: Turn,
    /// What the call consumed.
    pub usage: Usage,
    /// Tokens that the program has spent.
    pub spent: Tokens,
    /// The sealed continuation for the next turn.
    pub continuation: String,
}

/// One event of a call's stream; the last is `Done` or `Refused`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallEvent {
    /// More of the answer's text.
    Text(String),
    /// The answer is complete.
    Done(Answer),
    /// The call ended without an answer.
    Refused(Refusal),
}

/// A request to create a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Create {
    /// The member on whose behalf the program runs.
    pub member: MemberName,
    /// The class.
    pub class: ClassName,
    /// The model.
    pub model: ModelName,
    /// The program that the new one is a sub-agent of.
    pub parent: Option<ProgramId>,
    /// A smaller token budget than the class grants.
    pub tokens: Option<Tokens>,
    /// A smaller number of calls than the class grants.
    pub calls: Option<u32>,
    /// A shorter wall time than the class grants, in milliseconds.
    pub wall_ms: Option<u64>,
    /// Whether another node has forwarded the request.
    #[serde(default)]
    pub is_forwarded: bool,
}

/// A created program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Created {
    /// The program.
    pub program: ProgramId,
    /// The sealed continuation for the first turn.
    pub continuation: String,
}

/// A request to close a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Close {
    /// The program.
    pub program: ProgramId,
    /// The sealed continuation from the caller's last answer.
    pub continuation: Option<String>,
    /// The number of times that nodes have forwarded the request.
    #[serde(default)]
    pub hops: u8,
}

/// The status of a program, as shown to its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramStatus {
    /// The program.
    pub program: ProgramId,
    /// The number of the next turn.
    pub turn: Turn,
    /// Tokens spent.
    pub spent: Tokens,
    /// Tokens held for running calls and open sub-agents.
    pub held: Tokens,
    /// Tokens left.
    pub left: Tokens,
    /// Whether a call is running.
    pub running: bool,
    /// Whether the program has ended.
    pub ended: bool,
}
