//! The entry's interfaces to the platform that it runs on (the ports of a ports-and-adapters
//! design); an adapter crate implements these traits.

use std::{collections::BTreeSet, io, pin::Pin, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;
use futures::{Stream, StreamExt};
use http::HeaderMap;
use rosethread_platform::SharedLogError;
use rosethread_types::{RequestId, Revision, ServiceName, TargetName};

use tokio::{net::TcpStream, time::Instant};
use tokio_util::either::Either;

pub use crate::origins::{ServiceSoftware, Software};

use crate::{Call, Routes, Target, paths::PathStream};

/// How long the store may take to respond to a request, in addition to the time for which it is asked to
/// wait. A request without a response by then has failed, and the next one is sent on a new connection.
pub const STORE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The source of the routes that the operator publishes.
#[async_trait]
pub trait RoutesSource: Send + Sync {
    /// Waits up to `wait` for routes of a revision above `after`, and returns `None` if there are none by then.
    ///
    /// A future that is dropped before it completes loses no routes: the next call returns them.
    async fn fetch_newer(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Routes>, SharedLogError>;
}

/// Changes of the target registrations since the previous read.
#[derive(Clone, Debug, Default)]
pub struct TargetChanges {
    /// Whether `registered` lists all targets, so that a target not in it is unregistered.
    pub is_complete: bool,
    /// Targets that were registered or updated.
    pub registered: Vec<Target>,
    /// Targets whose registration was removed.
    pub removed: Vec<TargetName>,
    /// Whether there are more changes than the store returns at once, which the next call returns.
    pub has_more: bool,
}

/// The source of the target registrations.
#[async_trait]
pub trait TargetsSource: Send + Sync {
    /// Returns the changes since the previous call; the first call returns a full listing.
    ///
    /// The entry calls it periodically, and takes its results as the sign of whether the store is
    /// reachable.
    async fn fetch_changes(&self) -> Result<TargetChanges, SharedLogError>;
}

/// The record of the versions of software that the services' targets run, which outlives all hosts.
#[async_trait]
pub trait SoftwareRecord: Send + Sync {
    /// Returns all versions in the record.
    async fn read(&self) -> Result<BTreeSet<ServiceSoftware>, SharedLogError>;

    /// Adds a version of a service's software, or removes it.
    async fn write(
        &self,
        service: &ServiceName,
        software: &Software,
        is_present: bool,
    ) -> Result<(), SharedLogError>;
}

/// A request to one target, which is one attempt to carry out a call.
#[derive(Clone, Debug)]
pub struct TargetRequest<'a> {
    /// The call that the request carries out.
    pub call: &'a Call,
    /// The body, preceded by the earlier turns if the route keeps a history.
    pub body: Bytes,
    /// The call's deadline.
    pub deadline: Instant,
    /// The ID of the last event that the caller received, for a stream that is being resumed.
    pub resume_after: Option<u64>,
    /// Whether the request may be sent again after it may have been executed.
    pub is_repeatable: bool,
    /// The call's rank in the queue of a model engine, from 0 (served first) to 9 (served last).
    pub rank: u8,
    /// The maximum number of connections from this host to the target.
    pub max_connections: usize,
    /// When this host last lost a path without a reply. Connections that have been idle since before may
    /// be silent, and are not reused.
    pub doubt_since: Option<Instant>,
}

/// The reason why a target gave no usable answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SendError {
    /// the request was not sent: {0}
    NotSent(String),
    // The target is at its limit of requests or connections; the request was not executed.
    /// the target is full
    Full,
    /// the target reports that it did not execute the request: {0}
    NotRun(String),
    // That target has refused the request, so it was not executed.
    /// the address now belongs to another target
    Replaced,
    /// the request may have been executed: {0}
    MaybeRan(String),
}

impl std::error::Error for SendError {}

impl SendError {
    /// Returns whether the target may have executed the request.
    pub fn may_have_run(&self) -> bool {
        matches!(self, SendError::MaybeRan(_))
    }
}

/// The chunks of a response body; an error means that the body was cut off, and says why.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, String>> + Send>>;

/// How a target tells the end of a response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// By its length or a last chunk; or the response has no body.
    Stated,
    /// By the end of the connection, which may have another cause.
    Connection,
}

/// A target's response: the status and headers, and the body as a stream.
pub struct TargetResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The headers to forward to the caller.
    pub headers: HeaderMap,
    /// Whether the body is a stream of server-sent events.
    pub is_stream: bool,
    /// How the target tells the end of the body.
    pub end: BodyEnd,
    /// The body; dropping it before its end cancels the request at the target.
    pub body: BodyStream,
}

impl TargetResponse {
    /// Returns whether a regular end of the body leaves it in doubt that this success is complete.
    pub fn has_doubtful_end(&self) -> bool {
        self.end == BodyEnd::Connection && (200..300).contains(&self.status)
    }

    /// Drops the rest of the body, which cancels the request at the target.
    pub fn cancel(&mut self) {
        self.body = futures::stream::empty().boxed();
    }
}

/// The result of a send, and what the target said of itself on that occasion.
pub struct SendReply {
    /// The target's response, or why it gave no usable one.
    pub result: Result<TargetResponse, SendError>,
    /// Whether the target said that it is leaving. A rejection or an error can say so as well.
    pub is_leaving: bool,
    /// The requests per second that the target takes from all hosts together, if it said so, or why
    /// what it said cannot be read.
    pub limit: Result<Option<f64>, String>,
    /// Whether the request was sent on a connection that an earlier one had used.
    pub is_reused: bool,
}

/// Why no connection to a target could be opened.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ConnectError {
    /// the address refuses connections
    Refused,
    // By a target at its limit, or by the network; an address that nobody listens at refuses it instead.
    /// the connection was reset while it was being opened
    Reset,
    /// the address does not reply
    TimedOut,
    // The target closed the connection before a request was sent on it.
    /// the target is at its limit of connections
    Full,
    /// {0}
    Failed(String),
}

impl std::error::Error for ConnectError {}

impl From<io::Error> for ConnectError {
    /// Tells apart what the other side or the network did from what failed at this host.
    fn from(error: io::Error) -> ConnectError {
        use io::ErrorKind;
        match error.kind() {
            ErrorKind::ConnectionRefused => ConnectError::Refused,
            ErrorKind::ConnectionReset => ConnectError::Reset,
            ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
                ConnectError::TimedOut
            }
            _ => ConnectError::Failed(error.to_string()),
        }
    }
}

/// A connection to a target: a direct one, or a path through another host.
pub type TargetSocket = Either<TcpStream, PathStream>;

/// Opens connections to targets, directly or by way of another host.
#[async_trait]
pub trait Connector: Send + Sync {
    /// Opens a connection on which no request has been sent. A path through another host carries one
    /// request only.
    async fn open(&self, target: &Target) -> Result<TargetSocket, SendError>;
}

/// The client that sends requests to targets.
#[async_trait]
pub trait Upstream: Send + Sync {
    /// Sends a request and waits for the status and headers of the response. Uses `connector` to open
    /// a connection unless it reuses an idle one.
    ///
    /// Dropping the future cancels the request at the target.
    async fn send(
        &self,
        target: &Target,
        request: TargetRequest<'_>,
        connector: &dyn Connector,
    ) -> SendReply;

    /// Opens a direct connection to a target.
    async fn connect(&self, target: &Target) -> Result<TcpStream, ConnectError>;

    /// Closes the idle connections to a target that left, restarted or moved to another address.
    ///
    /// Requests in progress keep their connections.
    fn close_idle_connections(&self, target: &TargetName);
}

/// The ID of a call, which its log lines and responses carry.
pub type CallId = RequestId;
