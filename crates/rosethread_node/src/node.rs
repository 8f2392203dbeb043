//! A node and its life: serving, draining, stopped.

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

/// The most hosts in one answer to a caller who asks where to go.
const LOCATED_HOSTS: usize = 4;

/// How long callers keep the answer.
const LOCATE_KEEP: Duration = Duration::from_secs(30);

/// The pause in which other nodes learn that this one leaves.
const LEAVE_NOTICE: Duration = Duration::from_secs(1);

/// How often the drain looks whether calls are still under way.
const DRAIN_POLL: Duration = Duration::from_millis(100);

/// The state of a node that takes new work.
#[derive(Debug)]
pub struct Serving;

/// The state of a node that finishes what it has.
#[derive(Debug)]
pub struct Draining;

/// The state of a node that has handed everything over.
#[derive(Debug)]
pub struct Stopped;

/// A node in one of the states [`Serving`], [`Draining`] and [`Stopped`].
pub struct Node<S> {
    handle: NodeHandle,
    state: PhantomData<S>,
}

/// The part of a node that requests need, whatever the state of its life; clones share it.
#[derive(Clone)]
pub struct NodeHandle {
    pub(crate) core: Arc<Core>,
    control: Control,
}

/// A host that callers may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAddress {
    /// The node on the host.
    pub node: NodeName,
    /// Its address for callers.
    pub address: std::net::SocketAddr,
}

impl Node<Serving> {
    /// Starts a node from its parts.
    pub fn start(parts: NodeParts) -> Node<Serving> {
        let core = Core::new(parts);
        let control = control::start(&core);
        info!(core.logger, "node: {} serves in zone {}", core.node_name(), core.settings.zone);
        Node { handle: NodeHandle { core, control }, state: PhantomData }
    }

    /// Stops taking new work; calls under way go on.
    pub async fn drain(self) -> Node<Draining> {
        let core = &self.handle.core;
        core.phase.send_replace(Phase::Draining);
        // Without the control actor the node is being killed, and nobody needs the notice.
        let _ = self.handle.control.members.tell(Leave).await;
        info!(core.logger, "node: {} drains", core.node_name());
        Node { handle: self.handle, state: PhantomData }
    }
}

impl Node<Draining> {
    /// Hands all programs over and waits until no call is under way.
    ///
    /// Gives up at the limit in the settings; what is left then recovers from the journal.
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
            info!(core.logger, "node: the drain ended at its time limit");
        }
        core.phase.send_replace(Phase::Stopped);
        info!(core.logger, "node: {} has stopped", core.node_name());
        Node { handle: self.handle, state: PhantomData }
    }
}

impl<S> Node<S> {
    /// Returns a handle for requests.
    pub fn handle(&self) -> NodeHandle {
        self.handle.clone()
    }
}

impl NodeHandle {
    /// Returns the node's name.
    pub fn name(&self) -> &NodeName {
        self.core.node_name()
    }

    /// Returns the document in force.
    pub fn document(&self) -> Arc<ActiveDocument> {
        self.core.document.borrow().clone()
    }

    /// Returns the nodes as this one knows them.
    pub fn view(&self) -> Arc<ClusterView> {
        self.core.view()
    }

    /// Tells whether the node can serve: it has a document and is not leaving.
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

    /// Returns the tokens of budget that this node's takeovers have stranded.
    pub fn stranded_tokens(&self) -> u64 {
        self.core.metrics.stranded_tokens.get()
    }

    /// Returns hosts for a caller to try, in order, and how long to keep the answer.
    ///
    /// The owner of `program` comes first, since it serves without another hop.
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

    /// Serves a call, here or at the program's owner.
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
        let in_force = self.core.document.borrow();
        in_force
            .document
            .targets
            .iter()
            .any(|it| it.serves(member) && it.engine().is_some_and(|it| it.models.contains(model)))
    }

    /// Answers another node.
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
            PeerRequest::Document => Ok(PeerReply::Document(self.describe_document())),
            PeerRequest::Adopt { handover } => {
                owner::adopt(core, *handover).await.map(|()| PeerReply::Done)
            }
        };
        result.unwrap_or_else(PeerReply::Refused)
    }

    fn describe_document(&self) -> Option<DocumentReply> {
        let in_force = self.core.document().ok()?;
        let publication = control::config::describe(&in_force);
        Some(DocumentReply { revision: in_force.revision, publication })
    }
}
