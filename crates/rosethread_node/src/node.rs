//! A node and its life cycle: serving, draining, stopped.

use std::{marker::PhantomData, sync::Arc, time::Duration};

use rosethread_config::ActiveDocument;
use rosethread_membership::ClusterView;
use rosethread_policy::{HostLoad, order_hosts};
use rosethread_types::{MemberName, ModelName, NodeName, ProgramId, Refusal, ZoneName};
use slog::info;
use tokio::time::timeout;

use crate::{
    call::{Call, Close, Create, Created, ProgramStatus},
    control::{self, Control, Leave},
    core::{Core, NodeParts, Phase},
    dispatch,
    feed::CallStream,
    owner,
    peers::{DocumentReply, PeerReply, PeerRequest},
    route,
};

/// The maximum number of hosts in one reply to a caller that looks for a host.
const LOCATED_HOSTS: usize = 4;

/// How long callers may cache that reply.
const LOCATE_KEEP: Duration = Duration::from_secs(30);

/// The delay before programs are handed over, in which other nodes learn that this one leaves.
const LEAVE_NOTICE: Duration = Duration::from_secs(1);

/// The interval at which the drain checks whether calls are still in progress.
const DRAIN_POLL: Duration = Duration::from_millis(100);

/// The state of a node that accepts new programs and calls.
#[derive(Debug)]
pub struct Serving;

/// The state of a node that finishes its active calls and hands its programs over.
#[derive(Debug)]
pub struct Draining;

/// The state of a node whose drain has ended.
#[derive(Debug)]
pub struct Stopped;

/// A node; the type parameter is its state: [`Serving`], [`Draining`] or [`Stopped`].
pub struct Node<S> {
    handle: NodeHandle,
    state: PhantomData<S>,
}

/// A handle through which requests reach a node in any of its states; clones share the node.
#[derive(Clone)]
pub struct NodeHandle {
    pub(crate) core: Arc<Core>,
    control: Control,
}

/// The address of a host that callers may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAddress {
    /// The name of the node on the host.
    pub node: NodeName,
    /// The address at which the node serves callers.
    pub address: std::net::SocketAddr,
}

impl Node<Serving> {
    /// Starts a node and its background tasks.
    pub fn start(parts: NodeParts) -> Node<Serving> {
        let core = Core::new(parts);
        let control = control::start(&core);
        info!(core.logger, "node: {} is serving in zone {}", core.node_name(), core.settings.zone);
        Node { handle: NodeHandle { core, control }, state: PhantomData }
    }

    /// Stops accepting programs and calls; calls in progress continue.
    pub async fn drain(self) -> Node<Draining> {
        let core = &self.handle.core;
        core.phase.send_replace(Phase::Draining);
        // This fails only if the actor has stopped because the process is being killed. Other nodes
        // then notice the failure by themselves.
        let _ = self.handle.control.membership.tell(Leave).await;
        info!(core.logger, "node: {} is draining", core.node_name());
        Node { handle: self.handle, state: PhantomData }
    }
}

impl Node<Draining> {
    /// Hands all programs over and waits until no call is in progress.
    ///
    /// Stops waiting after `limits.drain_s` of the settings; other nodes then recover the remaining
    /// programs from the journal.
    pub async fn finish(self) -> Node<Stopped> {
        let core = self.handle.core.clone();
        let limit = Duration::from_secs(core.settings.limits.drain_s);
        let finishing = async {
            tokio::time::sleep(LEAVE_NOTICE).await;
            owner::hand_over_all(&core).await;
            while core.active_calls.load(std::sync::atomic::Ordering::Relaxed) != 0 {
                tokio::time::sleep(DRAIN_POLL).await;
            }
        };
        if timeout(limit, finishing).await.is_err() {
            info!(core.logger, "node: the drain reached its time limit");
        }
        core.phase.send_replace(Phase::Stopped);
        info!(core.logger, "node: {} has stopped", core.node_name());
        Node { handle: self.handle, state: PhantomData }
    }
}

impl<S> Node<S> {
    /// Returns a handle through which requests reach the node.
    pub fn handle(&self) -> NodeHandle {
        self.handle.clone()
    }
}

impl NodeHandle {
    /// Returns the node's name.
    pub fn name(&self) -> &NodeName {
        self.core.node_name()
    }

    /// Returns the active document; its revision is 0 if none has been published yet.
    pub fn document(&self) -> Arc<ActiveDocument> {
        self.core.document.borrow().clone()
    }

    /// Returns this node's current snapshot of the cluster's membership.
    pub fn view(&self) -> Arc<ClusterView> {
        self.core.view()
    }

    /// Tells whether the node can serve calls: it has a document and is not draining.
    pub fn is_ready(&self) -> bool {
        self.core.phase() == Phase::Serving && self.core.document().is_ok()
    }

    /// Returns the node's metrics.
    pub fn metrics(&self) -> &crate::Metrics {
        &self.core.metrics
    }

    /// Returns the wall-clock time, in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.core.clock.now_ms()
    }

    /// Returns the journal's counters.
    pub fn journal_stats(&self) -> rosethread_journal::JournalStats {
        self.core.journal.stats()
    }

    /// Returns the number of programs that the node owns.
    pub fn program_count(&self) -> usize {
        self.core.owned_count()
    }

    /// Tells whether the node owns the program with this identifier.
    pub fn owns(&self, program: &str) -> bool {
        program.parse().is_ok_and(|it| self.core.owned(&it).is_some())
    }

    /// Returns the number of budget tokens that this node's takeovers have made unusable.
    pub fn stranded_tokens(&self) -> u64 {
        self.core.metrics.stranded_tokens.get()
    }

    /// Returns the hosts that a caller should try, in order, and how long it may cache them.
    ///
    /// The owner of `program` comes first, since it serves the call without forwarding it. The other
    /// hosts are drawn at random, weighted by their load and zone. `zone` is the caller's zone and
    /// defaults to this node's.
    pub fn locate(
        &self,
        program: Option<&ProgramId>,
        zone: Option<&ZoneName>,
    ) -> (Vec<HostAddress>, Duration) {
        let view = self.core.view();
        let zone = zone.unwrap_or(&self.core.settings.zone);
        let live: Vec<_> = view.live().collect();
        let loads: Vec<HostLoad> = live
            .iter()
            .map(|it| HostLoad {
                node: it.node.clone(),
                calls: it.summary.calls,
                is_same_zone: it.contact.zone == *zone,
            })
            .collect();
        let order = order_hosts(&loads, LOCATED_HOSTS, || self.core.random.next_f64());
        let owner = program.and_then(|it| self.owner_of(it));
        let owner = owner.and_then(|it| live.iter().position(|state| state.node == it));
        let order = owner.into_iter().chain(order.into_iter().filter(|it| Some(*it) != owner));
        let hosts = order
            .take(LOCATED_HOSTS)
            .map(|it| HostAddress { node: live[it].node.clone(), address: live[it].contact.caller })
            .collect();
        (hosts, LOCATE_KEEP)
    }

    fn owner_of(&self, program: &ProgramId) -> Option<NodeName> {
        if self.core.owned(program).is_some() {
            return Some(self.core.node_name().clone());
        }
        self.core.journal.index().program(program).map(|it| it.owner.clone())
    }

    /// Creates a program.
    pub async fn create(&self, create: Create) -> Result<Created, Refusal> {
        owner::create(&self.core, create).await
    }

    /// Serves a call here, or forwards it to the program's owner.
    pub async fn call(&self, call: Call) -> CallStream {
        route::call(&self.core, call).await
    }

    /// Ends a program.
    pub async fn close(&self, close: Close) -> Result<(), Refusal> {
        route::close(&self.core, close).await
    }

    /// Returns a program's status.
    pub async fn status(
        &self,
        program: ProgramId,
        member: MemberName,
    ) -> Result<ProgramStatus, Refusal> {
        route::status(&self.core, program, member).await
    }

    /// Tells whether any target serves `model` to `member`.
    pub fn serves_model(&self, model: &ModelName, member: &MemberName) -> bool {
        let active = self.core.document.borrow();
        active
            .document
            .targets
            .iter()
            .any(|it| it.serves(member) && it.engine().is_some_and(|it| it.models.contains(model)))
    }

    /// Handles a request from another node.
    pub async fn handle_peer_request(&self, request: PeerRequest) -> PeerReply {
        let core = &self.core;
        let result = match request {
            PeerRequest::Create(create) => {
                owner::create(core, create).await.map(PeerReply::Created)
            }
            PeerRequest::Close(close) => route::close(core, close).await.map(|()| PeerReply::Done),
            PeerRequest::Status { program, member } => {
                route::status(core, program, member).await.map(PeerReply::Status)
            }
            PeerRequest::Acquire { target, holder, ticket } => {
                dispatch::grant_lease(core, &target, holder, ticket).await.map(PeerReply::Granted)
            }
            PeerRequest::Release { lease } => {
                dispatch::release_lease(core, lease);
                Ok(PeerReply::Done)
            }
            PeerRequest::Document => Ok(PeerReply::Document(self.document_reply())),
            PeerRequest::Adopt { handover } => {
                owner::accept_handover(core, *handover).await.map(|()| PeerReply::Done)
            }
        };
        result.unwrap_or_else(PeerReply::Refused)
    }

    fn document_reply(&self) -> Option<DocumentReply> {
        let active = self.core.document().ok()?;
        let publication = control::config::to_publication(&active);
        Some(DocumentReply { revision: active.revision, publication })
    }
}
