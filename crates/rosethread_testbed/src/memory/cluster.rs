//! An in-memory deployment: nodes and the fake targets, log and host list.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use rosethread_config::{
    Addresses, Document, JournalSettings, KeySettings, Limits, LogSettings, MembershipSettings,
    Publication, Settings,
};
use rosethread_fakes::{EngineConfig, FakeEngine, FakeHosts, FakeLog, FakeService, FakeTargets};
use rosethread_membership::Contact;
use rosethread_node::{Node, NodeHandle, NodeParts, RandomSource, Serving, Stopped, TaskSpawner};
use rosethread_platform::{Clock, HostEntry, HostState, LogError, LogRead, LogService};
use rosethread_types::{Revision, StreamName};
use tokio::time::sleep;

use crate::{
    discarding_logger,
    document::parse_name,
    memory::network::{Network, NodeTransport},
};

/// The simulated wall-clock time at the start, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_800_000_000_000;

/// The key that all nodes share, for peer messages and for sealing continuations.
const CLUSTER_KEY: &str = "ffeeddccbbaa99887766554433221100";

/// The size and settings of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// The number of nodes.
    pub nodes: usize,
    /// The zones, to which nodes are assigned in rotation.
    pub zones: Vec<&'static str>,
    /// The configuration of each fake engine.
    pub engines: Vec<EngineConfig>,
    /// The number of fake services.
    pub services: usize,
    /// The retention time of the log.
    pub retention: Duration,
    /// The time without calls after which a node ends a program.
    pub idle_timeout: Duration,
    /// The seed of the network's and the nodes' random sources.
    pub seed: u64,
}

impl Default for ClusterSpec {
    fn default() -> ClusterSpec {
        let engine = EngineConfig {
            slots: 4,
            cache_tokens: 8_000,
            base_step: Duration::from_millis(10),
            ..EngineConfig::default()
        };
        let unfenced = EngineConfig { fencing: false, ..engine };
        ClusterSpec {
            nodes: 4,
            zones: vec!["a", "b"],
            engines: vec![engine, engine, unfenced],
            services: 2,
            retention: Duration::from_secs(3_600),
            idle_timeout: Duration::from_secs(60),
            seed: 0,
        }
    }
}

/// One node's connection to the log, which can be made unreachable for this node alone.
///
/// An append that the log took before the connection broke still fails, as if its acknowledgement
/// were lost.
pub struct NodeLog {
    log: Arc<FakeLog>,
    is_unreachable: AtomicBool,
}

impl NodeLog {
    /// Makes the log unreachable for the node, or reachable again.
    pub fn set_unreachable(&self, is_unreachable: bool) {
        self.is_unreachable.store(is_unreachable, Ordering::Relaxed);
    }

    fn check_reachable(&self) -> Result<(), LogError> {
        if self.is_unreachable.load(Ordering::Relaxed) {
            return Err(LogError::Unavailable("the log is unreachable from this node".to_owned()));
        }
        Ok(())
    }
}

#[async_trait]
impl LogService for NodeLog {
    async fn append(&self, stream: &StreamName, data: Bytes) -> Result<u64, LogError> {
        self.check_reachable()?;
        let result = self.log.append(stream, data).await;
        self.check_reachable()?;
        result
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> Result<LogRead, LogError> {
        self.check_reachable()?;
        let result = self.log.read(stream, from, max, wait).await;
        self.check_reachable()?;
        result
    }
}

/// A running node of a cluster; a restart replaces it by a new one.
pub struct ClusterNode {
    /// The node's tasks, which can be paused and killed.
    pub tasks: TaskSpawner,
    /// The node's handle.
    pub handle: NodeHandle,
    /// The node's connection to the log.
    pub log: Arc<NodeLog>,
    /// The node itself; absent once a drain has begun.
    node: Option<Node<Serving>>,
}

/// An in-memory deployment.
pub struct Cluster {
    /// The fake log service.
    pub log: Arc<FakeLog>,
    /// The fake host list.
    pub hosts: Arc<FakeHosts>,
    /// The fake engines and services.
    pub targets: Arc<FakeTargets>,
    /// The network between the nodes.
    pub network: Arc<Network>,
    /// The running nodes by index.
    pub nodes: BTreeMap<usize, ClusterNode>,
    spec: ClusterSpec,
    clock: Clock,
    entries: Vec<HostEntry>,
    /// The number of node starts so far; it is part of each node's seed, so that a restarted node
    /// draws other random numbers than before.
    start_count: u64,
    /// The revision of the document in force.
    pub revision: Revision,
}

impl Cluster {
    /// Starts the fakes and all nodes, without a document.
    pub fn start(spec: ClusterSpec) -> Cluster {
        let log = Arc::new(FakeLog::new());
        let mut faults = log.faults();
        faults.retention = spec.retention;
        log.set_faults(faults);
        let targets = Arc::new(FakeTargets::default());
        for (index, config) in spec.engines.iter().enumerate() {
            let name = parse_name(&format!("engine-{index}"));
            targets.add_engine(name, FakeEngine::start(*config));
        }
        for index in 0..spec.services {
            let service = FakeService::new(Duration::from_millis(15));
            targets.add_service(parse_name(&format!("service-{index}")), Arc::new(service));
        }
        let entries: Vec<HostEntry> = (0..spec.nodes).map(|it| host_entry(&spec, it)).collect();
        let mut cluster = Cluster {
            hosts: Arc::new(FakeHosts::new(Duration::from_secs(10), entries.clone())),
            network: Network::new(spec.seed ^ 0x6e65_7477),
            clock: Clock::starting_at(START_MS),
            nodes: BTreeMap::new(),
            start_count: 0,
            revision: Revision::default(),
            log,
            targets,
            entries,
            spec,
        };
        for index in 0..cluster.spec.nodes {
            cluster.start_node(index);
        }
        cluster
    }

    /// Starts a node that is not running, at the same addresses as before.
    pub fn start_node(&mut self, index: usize) {
        self.start_count += 1;
        let tasks = TaskSpawner::current();
        let log =
            Arc::new(NodeLog { log: self.log.clone(), is_unreachable: AtomicBool::new(false) });
        let contact = self.contact(index);
        let settings = self.settings(index);
        let peers = NodeTransport::new(self.network.clone(), contact.clone());
        let datagrams = NodeTransport::new(self.network.clone(), contact.clone());
        let parts = NodeParts {
            settings,
            clock: self.clock,
            log: log.clone(),
            targets: self.targets.clone(),
            hosts: self.hosts.clone(),
            peers: Arc::new(peers),
            datagrams: Arc::new(datagrams),
            random: RandomSource::seeded(self.spec.seed ^ (self.start_count << 32)),
            tasks: tasks.clone(),
            logger: discarding_logger(),
        };
        let node = Node::start(parts);
        let handle = node.handle();
        self.network.register_node(&contact, handle.clone(), tasks.clone());
        self.nodes.insert(index, ClusterNode { tasks, handle, log, node: Some(node) });
    }

    /// Kills a node; does nothing if it is not running.
    pub fn kill(&mut self, index: usize) {
        if let Some(node) = self.nodes.remove(&index) {
            node.tasks.kill();
        }
    }

    /// Returns a future that drains a node and completes when it has stopped.
    ///
    /// Returns `None` if the node is not running or a drain has begun already.
    pub fn drain(&mut self, index: usize) -> Option<impl Future<Output = Node<Stopped>> + use<>> {
        let node = self.nodes.get_mut(&index)?.node.take()?;
        Some(async { node.drain().await.finish().await })
    }

    /// Returns the zone and the addresses of node `index`, running or not.
    pub fn contact(&self, index: usize) -> Contact {
        let entry = &self.entries[index];
        Contact {
            zone: entry.zone.clone(),
            caller: entry.caller,
            peer: entry.peer,
            heartbeat: entry.heartbeat,
        }
    }

    /// Returns the number of nodes, whether running or not.
    pub fn node_count(&self) -> usize {
        self.spec.nodes
    }

    /// Returns the simulated clock that all nodes use.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the zones of the specification.
    pub fn zones(&self) -> &[&'static str] {
        &self.spec.zones
    }

    /// Returns a unique address for a target in documents; nothing listens there.
    pub fn target_address(index: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 2], 10_000 + index as u16))
    }

    /// Publishes a document based on the current revision, bypassing the log's injected faults.
    pub fn publish(&mut self, document: &Document) {
        let base = self.revision;
        self.revision = self.publish_from(document, base, "testbed");
    }

    /// Publishes a document that is based on revision `base`, and returns its own revision.
    ///
    /// Nodes reject the document if `base` is no longer the revision in force. This does not change
    /// [`Cluster::revision`].
    pub fn publish_from(&self, document: &Document, base: Revision, author: &str) -> Revision {
        let publication = Publication {
            base,
            author: author.to_owned(),
            nonce: format!("{author}-{}", self.log.append_totals().0),
            written_ms: self.clock.now_ms(),
            repeats: None,
            known_to: None,
            document: document.to_toml(),
        };
        let data = serde_json::to_vec(&publication).expect("a publication serialises");
        let offset =
            self.log.append_bypassing_faults(&parse_name("rosethread-config"), data.into());
        Revision(offset + 1)
    }

    /// Waits until all running nodes have activated the document and see each other alive.
    ///
    /// Panics after 50 s of simulated time.
    pub async fn wait_until_ready(&self) {
        let count = self.nodes.len();
        for _ in 0..1_000 {
            let is_settled = self.nodes.values().all(|it| {
                self.revision <= it.handle.document().revision
                    && it.handle.view().live().count() == count
            });
            if is_settled {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the nodes did not reach the current revision and membership within 50 s");
    }

    /// Returns the simulated wall-clock time, in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    fn settings(&self, index: usize) -> Settings {
        let entry = &self.entries[index];
        Settings {
            node: entry.node.clone(),
            zone: entry.zone.clone(),
            addresses: Addresses {
                caller: entry.caller,
                peer: entry.peer,
                heartbeat: entry.heartbeat,
            },
            keys: KeySettings {
                shared: vec![CLUSTER_KEY.to_owned()],
                seal: vec![CLUSTER_KEY.to_owned()],
            },
            log: LogSettings {
                address: Cluster::target_address(0),
                config: parse_name("rosethread-config"),
                journal: parse_name("rosethread-journal"),
                retention_s: self.spec.retention.as_secs(),
            },
            hosts: Cluster::target_address(0),
            journal: JournalSettings::default(),
            membership: MembershipSettings::default(),
            limits: Limits { idle_s: self.spec.idle_timeout.as_secs(), ..Limits::default() },
        }
    }
}

fn host_entry(spec: &ClusterSpec, index: usize) -> HostEntry {
    let address = |kind: u8| SocketAddr::from(([127, 1, kind, 1], 1_000 + index as u16));
    HostEntry {
        node: parse_name(&format!("node-{index}")),
        zone: parse_name(spec.zones[index % spec.zones.len()]),
        caller: address(1),
        peer: address(2),
        heartbeat: address(3),
        state: HostState::Live,
    }
}
