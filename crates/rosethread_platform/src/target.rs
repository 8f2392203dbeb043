//! Model engines and plain services.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use rosethread_types::{AttemptId, Epoch, ModelName, ProgramId, TargetName, Tokens};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::TargetError;

/// Whether a request may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The request was certainly not executed.
    NotStarted,
    /// The request may have been executed, in whole or in part.
    Possible,
}

/// Where a target is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetAddress {
    /// The target's name.
    pub name: TargetName,
    /// The target's address.
    pub address: SocketAddr,
}

/// A request to a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequest {
    /// The identifier of this attempt.
    pub attempt: AttemptId,
    /// The program on whose behalf the engine works; it tags the cache.
    pub program: ProgramId,
    /// The epoch of the program's owner, which serves as fencing number.
    pub epoch: Epoch,
    /// The model.
    pub model: ModelName,
    /// The whole prompt: a JSON array of chat messages.
    pub messages: String,
    /// The most tokens to generate.
    pub max_tokens: Tokens,
    /// The priority within the engine; smaller numbers go first.
    pub priority: i32,
}

/// What an engine reports at the end of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUsage {
    /// Tokens in the prompt.
    pub prompt: Tokens,
    /// Prompt tokens found in the engine's cache.
    pub cached: Tokens,
    /// Tokens generated.
    pub completion: Tokens,
}

/// One event of a generation's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// Generated text and the number of tokens generated so far.
    Text {
        /// The attempt that the text belongs to, as the engine says.
        attempt: AttemptId,
        /// The text since the last event.
        text: String,
        /// Tokens generated so far.
        tokens: Tokens,
    },
    /// The generation is complete.
    Done(EngineUsage),
}

/// The stream of a generation; it ends after [`EngineEvent::Done`] or an error.
///
/// Dropping the stream asks the engine to stop.
pub type EngineStream = mpsc::Receiver<Result<EngineEvent, TargetError>>;

/// An engine's report of its load; it lags behind events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Sequences in the current batch.
    pub running: u32,
    /// Requests that wait in the engine.
    pub waiting: u32,
    /// Cache memory in use.
    pub used: Tokens,
    /// Cache memory in all.
    pub memory: Tokens,
    /// Cache memory filled and discarded unused since the engine started.
    pub wasted: Tokens,
    /// Prompt tokens found in the cache since the engine started.
    pub hits: Tokens,
    /// Prompt tokens computed since the engine started.
    pub misses: Tokens,
}

impl EngineLoad {
    /// Returns the share of the cache memory in use, from 0 to 1.
    pub fn pressure(&self) -> f64 {
        self.used as f64 / self.memory.max(1) as f64
    }
}

/// What to do with a program's cache at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheAction {
    /// Keep it against eviction for this long.
    Keep(Duration),
    /// Let the engine evict it when memory is needed.
    Release,
    /// Drop it at once.
    Drop,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "order")]
pub enum EngineCommand {
    /// Load a model.
    LoadModel {
        /// The model.
        model: ModelName,
        /// Its version.
        version: String,
    },
    /// Load an adapter of a model.
    LoadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: String,
    },
    /// Change the engine's role.
    ChangeRole {
        /// The role, as the engine names it.
        role: String,
    },
}

/// A request to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRequest {
    /// The identifier of this attempt.
    pub attempt: AttemptId,
    /// The path below the service's root.
    pub path: String,
    /// The body.
    pub body: String,
    /// How long to wait for the answer.
    pub timeout: Duration,
}

/// A plain service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// All targets, addressed one by one.
#[async_trait]
pub trait TargetClient: Send + Sync {
    /// Starts a generation.
    async fn generate(
        &self,
        target: &TargetAddress,
        request: EngineRequest,
    ) -> Result<EngineStream, TargetError>;

    /// Cancels all generations of a program at an engine; its cache stays.
    async fn cancel(&self, target: &TargetAddress, program: &ProgramId) -> Result<(), TargetError>;

    /// Applies `hold` to a program's cache at an engine.
    ///
    /// [`CacheAction::Drop`] also cancels the program's generations.
    async fn apply_cache_action(
        &self,
        target: &TargetAddress,
        program: &ProgramId,
        hold: CacheAction,
    ) -> Result<(), TargetError>;

    /// Returns an engine's load report.
    async fn load(&self, target: &TargetAddress) -> Result<EngineLoad, TargetError>;

    /// Gives an engine an order under a fencing number.
    async fn send_command(
        &self,
        target: &TargetAddress,
        fence: Epoch,
        order: EngineCommand,
    ) -> Result<(), TargetError>;

    /// Calls a plain service.
    async fn call(
        &self,
        target: &TargetAddress,
        request: ServiceRequest,
    ) -> Result<ServiceReply, TargetError>;
}
