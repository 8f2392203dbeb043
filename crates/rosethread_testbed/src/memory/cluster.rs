//! A deployment in memory: nodes, targets, the log and the host list.

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

/// The wall-clock time at which runs start, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_800_000_000_000;

/// The key that all nodes of a run share.
const CLUSTER_KEY: &str = "ffeeddccbbaa99887766554433221100";

/// The size and the settings of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// The number of nodes.
    pub nodes: usize,
    /// The zones over which nodes and targets are spread.
    pub zones: Vec<&'static str>,
    /// The engines: what each is like.
    pub engines: Vec<EngineConfig>,
    /// The number of services.
    pub services: usize,
    /// How long the log keeps records.
    pub retention: Duration,
    /// The time after which a program without calls is ended.
    pub idle_timeout: Duration,
    /// The seed of all random sources.
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

/// One node's access to the log, which can be cut.
pub struct NodeLog {
    log: Arc<FakeLog>,
    is_unreachable: AtomicBool,
}

impl NodeLog {
    /// Cuts the node off from the log, or connects it again.
    pub fn set_unreachable(&self, is_unreachable: bool) {
        self.is_unreachable.store(is_unreachable, Ordering::Relaxed);
    }

    fn check_reachable(&self) -> Result<(), LogError> {
        if self.is_unreachable.load(Ordering::Relaxed) {
            return Err(LogError::Unavailable("the log cannot be reached".to_owned()));
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

/// A node of a cluster, in its current run.
pub struct ClusterNode {
    /// Its tasks, to pause and kill.
    pub tasks: TaskSpawner,
    /// Its handle.
    pub handle: NodeHandle,
    /// Its access to the log.
    pub log: Arc<NodeLog>,
    node: Option<Node<Serving>>,
}

/// A deployment in memory.
pub struct Cluster {
    /// The log service.
    pub log: Arc<FakeLog>,
    /// The host list.
    pub hosts: Arc<FakeHosts>,
    /// The targets.
    pub targets: Arc<FakeTargets>,
    /// The network between the nodes.
    pub network: Arc<Network>,
    /// The running nodes by index.
    pub nodes: BTreeMap<usize, ClusterNode>,
    spec: ClusterSpec,
    clock: Clock,
    entries: Vec<HostEntry>,
    /// How often nodes have been started, which seeds each run of a node anew.
    start_count: u64,
    /// The revisions that were accepted.
    pub revision: Revision,
}

impl Cluster {
    /// Starts the fakes and all nodes; the document comes afterwards.
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

    /// Starts a node that is not running.
    pub fn start_node(&mut self, index: usize) {
        self.start_count += 1;
        let tasks = TaskSpawner::current();
        let log =
            Arc::new(NodeLog { log: self.log.clone(), is_unreachable: AtomicBool::new(false) });
        let contact = self.contact(index);
        let settings = self.settings(index);
        let link = NodeTransport::new(self.network.clone(), contact.clone());
        let datagrams = NodeTransport::new(self.network.clone(), contact.clone());
        let parts = NodeParts {
            settings,
            clock: self.clock,
            log: log.clone(),
            targets: self.targets.clone(),
            hosts: self.hosts.clone(),
            peers: Arc::new(link),
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

    /// Kills a node.
    pub fn kill(&mut self, index: usize) {
        if let Some(node) = self.nodes.remove(&index) {
            node.tasks.kill();
        }
    }

    /// Drains a node in the background; the returned future ends when it has stopped.
    pub fn drain(&mut self, index: usize) -> Option<impl Future<Output = Node<Stopped>> + use<>> {
        let node = self.nodes.get_mut(&index)?.node.take()?;
        Some(async { node.drain().await.finish().await })
    }

    /// Returns where node `index` is.
    pub fn contact(&self, index: usize) -> Contact {
        let entry = &self.entries[index];
        Contact {
            zone: entry.zone.clone(),
            caller: entry.caller,
            peer: entry.peer,
            heartbeat: entry.heartbeat,
        }
    }

    /// Returns the number of nodes, running or not.
    pub fn node_count(&self) -> usize {
        self.spec.nodes
    }

    /// Returns the clock of all nodes.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the zones.
    pub fn zones(&self) -> &[&'static str] {
        &self.spec.zones
    }

    /// Returns the address of a target in documents; nothing listens there.
    pub fn target_address(index: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 2], 10_000 + index as u16))
    }

    /// Publishes a document that was edited from the revision in force.
    pub fn publish(&mut self, document: &Document) {
        let base = self.revision;
        self.revision = self.publish_from(document, base, "testbed");
    }

    /// Publishes a document that was edited from `base`, and returns its revision.
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

    /// Waits until all nodes have the document in force and know each other.
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
        panic!("the nodes did not come to agree in 50 s");
    }

    /// Returns the wall-clock time, in milliseconds since the Unix epoch.
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
