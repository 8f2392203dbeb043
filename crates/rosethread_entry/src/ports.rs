//! What an adapter has to provide so that the entry can meet a platform.

use std::{pin::Pin, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;
use futures::Stream;
use http::HeaderMap;
use rosethread_platform::StoreError;
use rosethread_types::{RequestId, Revision, TargetName};

use crate::{Call, Routes, Target};

/// Where the operator's routes come from.
#[async_trait]
pub trait RoutesSource: Send + Sync {
    /// Waits for a revision above `after`; returns nothing if none has come for a while.
    async fn fetch_newer(&self, after: Revision) -> Result<Option<Routes>, StoreError>;
}

/// What has changed among the registered targets.
#[derive(Clone, Debug, Default)]
pub struct TargetChanges {
    /// Whether `registered` lists all targets, so that any other is missing.
    pub is_complete: bool,
    /// Targets that are registered.
    pub registered: Vec<Target>,
    /// Targets whose entries were removed.
    pub removed: Vec<TargetName>,
}

/// Where targets register themselves.
#[async_trait]
pub trait TargetsSource: Send + Sync {
    /// Returns what has changed since the last call, or everything at first.
    async fn fetch_changes(&self) -> Result<TargetChanges, StoreError>;
}

/// A request as it goes to one target.
#[derive(Clone, Debug)]
pub struct TargetRequest<'a> {
    /// The call.
    pub call: &'a Call,
    /// The body, with all that was said before where the route keeps it.
    pub body: Bytes,
    /// The time that the target has.
    pub timeout: Duration,
    /// The number of the last event that the caller has, for a stream to go on.
    pub resume_after: Option<u64>,
    /// Whether the request may run again after it may have run.
    pub is_repeatable: bool,
    /// The rank among the engine's requests, from 0 for the first to 9 for the last.
    pub rank: u8,
    /// The connections that this host may have to the target.
    pub max_connections: usize,
}

/// Why a target gave no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SendError {
    /// the request did not leave: {0}
    NotSent(String),
    /// the target is full
    Full,
    /// the target says that the request did not run: {0}
    NotRun(String),
    /// another target has the address
    Replaced,
    /// the request may have run: {0}
    MaybeRan(String),
}

impl std::error::Error for SendError {}

impl SendError {
    /// Tells whether the request may have been executed.
    pub fn may_have_run(&self) -> bool {
        matches!(self, SendError::MaybeRan(_))
    }
}

/// The bytes of an answer; an error means that it broke off.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, String>> + Send>>;

/// The head of a target's answer and its body as it comes.
pub struct TargetResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers to pass on.
    pub headers: HeaderMap,
    /// Whether the body is a stream of events.
    pub is_stream: bool,
    /// The body; dropping it before its end tells the target to stop.
    pub body: BodyStream,
}

/// The way to targets.
#[async_trait]
pub trait Upstream: Send + Sync {
    /// Sends a request and waits for the head of the answer.
    ///
    /// Dropping the future tells the target to stop.
    async fn send(
        &self,
        target: &Target,
        request: TargetRequest<'_>,
    ) -> Result<TargetResponse, SendError>;

    /// Closes the connections to targets that are gone or have been replaced.
    fn close_connections(&self, target: &TargetName);
}

/// Tells which call a log line or an answer belongs to.
pub type CallId = RequestId;
