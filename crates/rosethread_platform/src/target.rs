//! The interface to model engines and plain services.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use rosethread_types::{AttemptId, Epoch, ModelName, ProgramId, TargetName, Tokens};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::TargetError;

/// Whether a target may have executed a request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The target certainly did not start to execute the request, so a retry is safe.
    NotStarted,
    /// The target may have executed the request, completely or in part.
    Possible,
}

/// The name and address of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetAddress {
    /// The target's name.
    pub name: TargetName,
    /// The address of the target's HTTP server.
    pub address: SocketAddr,
}

/// A request to a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequest {
    /// The identifier of this attempt.
    pub attempt: AttemptId,
    /// The program that makes the request; the engine tags its cache entries with it.
    pub program: ProgramId,
    /// The epoch of the program's owner, which serves as fencing token.
    pub epoch: Epoch,
    /// The name of the model.
    pub model: ModelName,
    /// The complete prompt: a JSON array of chat messages.
    pub messages: String,
    /// The maximum number of tokens to generate.
    pub max_tokens: Tokens,
    /// The priority in the engine's queue; smaller numbers go first.
    pub priority: i32,
}

/// The token counts that an engine reports at the end of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUsage {
    /// The number of tokens in the prompt.
    pub prompt: Tokens,
    /// The number of prompt tokens that were found in the engine's cache.
    pub cached: Tokens,
    /// The number of generated tokens.
    pub completion: Tokens,
}

/// An event of a generation's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A piece of generated text.
    Text {
        /// The attempt that the engine generated the text for, or 0 if the engine named none.
        attempt: AttemptId,
        /// The text that was generated since the previous event.
        text: String,
        /// The number of tokens generated so far, or 0 if the engine has not reported it.
        tokens: Tokens,
    },
    /// The end of a complete generation.
    Done(EngineUsage),
}

/// The events of a generation, which end with [`EngineEvent::Done`] or an error.
///
/// Dropping the stream tells the engine to stop.
pub type EngineStream = mpsc::Receiver<Result<EngineEvent, TargetError>>;

/// A load report of an engine, which may be outdated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The number of sequences in the current batch.
    pub running: u32,
    /// The number of requests in the engine's queue.
    pub waiting: u32,
    /// The used cache memory, in tokens.
    pub used: Tokens,
    /// The total cache memory, in tokens.
    pub memory: Tokens,
    /// The number of cached tokens that were evicted without reuse since the engine started.
    pub wasted: Tokens,
    /// The number of prompt tokens that were found in the cache since the engine started.
    pub hits: Tokens,
    /// The number of prompt tokens that had to be processed since the engine started.
    pub misses: Tokens,
}

impl EngineLoad {
    /// Returns the used fraction of the cache memory, from 0 to 1.
    pub fn pressure(&self) -> f64 {
        self.used as f64 / self.memory.max(1) as f64
    }
}

/// An action on a program's cache at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheAction {
    /// Protect the cache from eviction for this duration.
    Keep(Duration),
    /// Allow the engine to evict the cache when it needs memory.
    Release,
    /// Drop the cache immediately.
    Drop,
}

/// A management command for an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "order")]
pub enum EngineCommand {
    /// Load a model.
    LoadModel {
        /// The name of the model.
        model: ModelName,
        /// The version of the model.
        version: String,
    },
    /// Load an adapter of a model.
    LoadAdapter {
        /// The name of the model.
        model: ModelName,
        /// The name of the adapter.
        adapter: String,
    },
    /// Change the engine's role.
    ChangeRole {
        /// The engine's name for the role.
        role: String,
    },
}

/// A request to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRequest {
    /// The identifier of this attempt.
    pub attempt: AttemptId,
    /// The path of the request, relative to the root of the service.
    pub path: String,
    /// The request body, which is JSON.
    pub body: String,
    /// The maximum time to wait for the response.
    pub timeout: Duration,
}

/// The response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReply {
    /// The HTTP status code.
    pub status: u16,
    /// The response body.
    pub body: String,
}

/// A client that sends requests to targets.
#[async_trait]
pub trait TargetClient: Send + Sync {
    /// Starts a generation and returns the stream of its events.
    async fn generate(
        &self,
        target: &TargetAddress,
        request: EngineRequest,
    ) -> Result<EngineStream, TargetError>;

    /// Cancels all generations of a program at an engine, without dropping the program's cache.
    async fn cancel(&self, target: &TargetAddress, program: &ProgramId) -> Result<(), TargetError>;

    /// Applies `action` to a program's cache at an engine.
    ///
    /// [`CacheAction::Drop`] also cancels the program's generations.
    async fn apply_cache_action(
        &self,
        target: &TargetAddress,
        program: &ProgramId,
        action: CacheAction,
    ) -> Result<(), TargetError>;

    /// Requests an engine's load report.
    async fn load(&self, target: &TargetAddress) -> Result<EngineLoad, TargetError>;

    /// Sends a management command to an engine, which rejects it if `fence` is outdated.
    async fn send_command(
        &self,
        target: &TargetAddress,
        fence: Epoch,
        command: EngineCommand,
    ) -> Result<(), TargetError>;

    /// Calls a plain service.
    async fn call(
        &self,
        target: &TargetAddress,
        request: ServiceRequest,
    ) -> Result<ServiceReply, TargetError>;
}
