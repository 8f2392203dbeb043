//! A deployment over loopback sockets: stand-ins behind HTTP, and real node processes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rosethread_config::{
    Addresses, Document, JournalSettings, KeySettings, Limits, LogSettings, MembershipSettings,
    Publication, Settings,
};
use rosethread_fakes::{
    FakeEngine, FakeHosts, FakeLog, FakeService,
    serve::{serve_engine, serve_hosts, serve_log, serve_service},
};
use rosethread_node::{NodeHandle, NodeProcess, NodeSockets};
use rosethread_platform::{Clock, HostEntry, HostState};
use rosethread_types::Revision;
use slog::{Drain, Logger, o};
use tokio::net::TcpListener;

use crate::document::parse_name;

/// The key that all nodes of a test share.
const SHARED_KEY: &str = "00112233445566778899aabbccddeeff";

/// Threads for the traffic of one node.
const NODE_WORKERS: usize = 2;

/// The size of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// The zones, one for each node.
    pub node_zones: Vec<String>,
    /// The first of a row of ports to use; free ones are chosen if absent.
    pub base_port: Option<u16>,
    /// The time between two probes of the failure detector, in milliseconds.
    pub period_ms: u64,
    /// The logger of all nodes.
    pub logger: Logger,
}

/// A running deployment.
pub struct Deployment {
    /// The log service.
    pub log: Arc<FakeLog>,
    /// The host list.
    pub hosts: Arc<FakeHosts>,
    /// The engines by name.
    pub engines: BTreeMap<String, Arc<FakeEngine>>,
    /// The services by name.
    pub services: BTreeMap<String, Arc<FakeService>>,
    entries: Vec<HostEntry>,
    nodes: BTreeMap<String, NodeProcess>,
    /// The sockets of nodes that have not started yet.
    sockets: BTreeMap<String, NodeSockets>,
    settings: BTreeMap<String, Settings>,
    logger: Logger,
    revision: Revision,
}

/// Returns a logger that drops everything.
pub fn discarding_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Returns a logger that writes warnings to the terminal.
pub fn terminal_logger() -> Logger {
    let decorator = slog_term::TermDecorator::new().stderr().build();
    let drain = slog_term::CompactFormat::new(decorator).build().fuse();
    let drain = slog_async::Async::new(drain).build().filter_level(slog::Level::Warning).fuse();
    Logger::root(drain, o!())
}

/// Returns the loopback address `offset` ports after the first, or one whose port the system
/// chooses when it is bound.
fn loopback_address(base_port: Option<u16>, offset: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], base_port.map_or(0, |it| it + offset)))
}

/// Binds a listener on a free loopback port.
async fn bind_free_port() -> (TcpListener, SocketAddr) {
    bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).await
}

async fn bind_listener(address: SocketAddr) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(address).await.expect("the port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    (listener, address)
}

impl Deployment {
    /// Starts the stand-ins and the nodes; targets and the document come afterwards.
    pub async fn start(spec: &DeploymentSpec) -> Deployment {
        let log = Arc::new(FakeLog::new());
        let (listener, log_address) = bind_listener(loopback_address(spec.base_port, 0)).await;
        tokio::spawn(serve_log(listener, log.clone()));
        let bound =
            spec.node_zones.iter().enumerate().map(|(index, zone)| bind_node(spec, index, zone));
        let (entries, sockets): (Vec<HostEntry>, Vec<NodeSockets>) = bound.unzip();
        let names = entries.iter().map(|it| it.node.to_string());
        let sockets = names.zip(sockets).collect();
        let hosts = Arc::new(FakeHosts::new(Duration::ZERO, entries.clone()));
        let (listener, hosts_address) = bind_listener(loopback_address(spec.base_port, 1)).await;
        tokio::spawn(serve_hosts(listener, hosts.clone()));
        let settings = entries.iter().map(|it| {
            let settings = settings(it, log_address, hosts_address, spec.period_ms);
            (it.node.to_string(), settings)
        });
        let mut deployment = Deployment {
            log,
            hosts,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            settings: settings.collect(),
            nodes: BTreeMap::new(),
            sockets,
            entries,
            logger: spec.logger.clone(),
            revision: Revision::default(),
        };
        for name in deployment.settings.keys().cloned().collect::<Vec<_>>() {
            deployment.start_node(&name).await;
        }
        deployment
    }

    /// Starts a node that is not running.
    pub async fn start_node(&mut self, name: &str) {
        let settings = self.settings[name].clone();
        let logger = self.logger.clone();
        let sockets = self.sockets.remove(name);
        // Building a process blocks, which an asynchronous context must not.
        let starting = tokio::task::spawn_blocking(move || match sockets {
            Some(sockets) => {
                NodeProcess::start_with_sockets(sockets, settings, logger, NODE_WORKERS)
            }
            // A node that starts again binds its former addresses.
            None => NodeProcess::start(settings, logger, NODE_WORKERS),
        });
        let process = starting.await.expect("starting a node does not panic");
        self.nodes.insert(name.to_owned(), process.expect("the node's addresses are free"));
    }

    /// Adds an engine and returns its address.
    pub async fn add_engine(&mut self, name: &str, engine: Arc<FakeEngine>) -> SocketAddr {
        let (listener, address) = bind_free_port().await;
        tokio::spawn(serve_engine(listener, engine.clone()));
        self.engines.insert(name.to_owned(), engine);
        address
    }

    /// Adds a service and returns its address.
    pub async fn add_service(&mut self, name: &str, service: Arc<FakeService>) -> SocketAddr {
        let (listener, address) = bind_free_port().await;
        tokio::spawn(serve_service(listener, service.clone()));
        self.services.insert(name.to_owned(), service);
        address
    }

    /// Publishes a document and waits until all nodes have it in force.
    pub async fn publish(&mut self, document: &Document) {
        document.validate().expect("documents in tests are valid");
        let publication = Publication {
            base: self.revision,
            author: "testbed".to_owned(),
            nonce: format!("nonce-{}", self.revision.0),
            written_ms: Clock::system().now_ms(),
            repeats: None,
            known_to: None,
            document: document.to_toml(),
        };
        let data = serde_json::to_vec(&publication).expect("a publication serialises");
        let stream = parse_name("rosethread-config");
        let offset = self.log.append_bypassing_faults(&stream, data.into());
        self.revision = Revision(offset + 1);
        let revision = self.revision;
        self.wait_until(move |it| revision <= it.document().revision).await;
        let count = self.nodes.len();
        self.wait_until(move |it| it.view().live().count() == count).await;
    }

    /// Waits until `condition` holds for all nodes.
    pub async fn wait_until(&self, condition: impl Fn(&NodeHandle) -> bool) {
        let start = Instant::now();
        let time_limit = Duration::from_secs(30);
        while !self.handles().iter().all(&condition) {
            assert!(start.elapsed() < time_limit, "the nodes did not come to agree in 30 s");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns handles on all running nodes.
    pub fn handles(&self) -> Vec<NodeHandle> {
        self.nodes.values().map(NodeProcess::handle).collect()
    }

    /// Returns the names of all running nodes.
    pub fn node_names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns the addresses for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|it| it.caller).collect()
    }

    /// Returns a node's address for callers.
    pub fn caller_address(&self, name: &str) -> SocketAddr {
        self.settings[name].addresses.caller
    }

    /// Kills a node.
    pub async fn kill(&mut self, name: &str) {
        let process = self.nodes.remove(name).expect("the node is running");
        let killing = tokio::task::spawn_blocking(|| process.kill());
        killing.await.expect("killing a node does not panic");
    }

    /// Drains a node and waits until it has stopped.
    pub async fn drain(&mut self, name: &str) {
        let process = self.nodes.remove(name).expect("the node is running");
        let draining = tokio::task::spawn_blocking(|| process.drain());
        draining.await.expect("draining a node does not panic");
    }

    /// Stops all nodes.
    pub async fn stop(mut self) {
        for name in self.node_names() {
            self.kill(&name).await;
        }
    }
}

/// Binds the sockets of a node, and returns them with its entry in the host list.
fn bind_node(spec: &DeploymentSpec, index: usize, zone: &str) -> (HostEntry, NodeSockets) {
    let port_offset = 100 + 10 * index as u16;
    let addresses = Addresses {
        caller: loopback_address(spec.base_port, port_offset),
        peer: loopback_address(spec.base_port, port_offset + 1),
        heartbeat: loopback_address(spec.base_port, port_offset + 2),
    };
    let sockets = NodeSockets::bind(&addresses).expect("the ports are free");
    let message = "a bound socket has an address";
    let entry = HostEntry {
        node: parse_name(&format!("node-{index}")),
        zone: parse_name(zone),
        caller: sockets.caller.local_addr().expect(message),
        peer: sockets.peer.local_addr().expect(message),
        heartbeat: sockets.heartbeat.local_addr().expect(message),
        state: HostState::Live,
    };
    (entry, sockets)
}

fn settings(entry: &HostEntry, log: SocketAddr, hosts: SocketAddr, period_ms: u64) -> Settings {
    Settings {
        node: entry.node.clone(),
        zone: entry.zone.clone(),
        addresses: Addresses { caller: entry.caller, peer: entry.peer, heartbeat: entry.heartbeat },
        keys: KeySettings {
            shared: vec![SHARED_KEY.to_owned()],
            seal: vec![SHARED_KEY.to_owned()],
        },
        log: LogSettings {
            address: log,
            config: parse_name("rosethread-config"),
            journal: parse_name("rosethread-journal"),
            retention_s: 86_400,
        },
        hosts,
        journal: JournalSettings::default(),
        membership: MembershipSettings { period_ms, suspicion_ms: period_ms * 4 },
        limits: Limits::default(),
    }
}
