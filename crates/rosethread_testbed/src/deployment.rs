//! A deployment on loopback sockets: fakes behind HTTP, and real nodes in the same process.

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

/// The key that all nodes share, for peer messages and for sealing continuations.
const SHARED_KEY: &str = "00112233445566778899aabbccddeeff";

/// The number of worker threads of each node's runtime.
const NODE_WORKERS: usize = 2;

/// The nodes of a deployment and their settings.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// The zone of each node; its length is the number of nodes.
    pub node_zones: Vec<String>,
    /// The first port: the log listens here, the host list at the next, and node `n` at offsets
    /// 100 + 10`n` (callers), 101 + 10`n` (peers) and 102 + 10`n` (heartbeats). If absent, free
    /// ports are chosen.
    pub base_port: Option<u16>,
    /// The probe period of the failure detector, in milliseconds; the suspicion timeout is four
    /// periods.
    pub period_ms: u64,
    /// The logger that all nodes use.
    pub logger: Logger,
}

/// A running deployment: the fakes and the nodes.
pub struct Deployment {
    /// The fake log service.
    pub log: Arc<FakeLog>,
    /// The fake host list.
    pub hosts: Arc<FakeHosts>,
    /// The fake engines by target name.
    pub engines: BTreeMap<String, Arc<FakeEngine>>,
    /// The fake services by target name.
    pub services: BTreeMap<String, Arc<FakeService>>,
    entries: Vec<HostEntry>,
    nodes: BTreeMap<String, NodeProcess>,
    /// The bound sockets of nodes that have not started yet.
    sockets: BTreeMap<String, NodeSockets>,
    settings: BTreeMap<String, Settings>,
    logger: Logger,
    revision: Revision,
}

/// Returns a logger that discards every message.
pub fn discarding_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Returns a logger that writes warnings and errors to standard error.
pub fn terminal_logger() -> Logger {
    let decorator = slog_term::TermDecorator::new().stderr().build();
    let drain = slog_term::CompactFormat::new(decorator).build().fuse();
    let drain = slog_async::Async::new(drain).build().filter_level(slog::Level::Warning).fuse();
    Logger::root(drain, o!())
}

/// Returns the loopback address at `offset` from the base port.
///
/// Without a base port the port is 0, so that the system chooses one when the address is bound.
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
    /// Starts the fake log, the fake host list and the nodes, without targets or a document.
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

    /// Starts a node that is not running, on the addresses that it had before if it ran already.
    pub async fn start_node(&mut self, name: &str) {
        let settings = self.settings[name].clone();
        let logger = self.logger.clone();
        let sockets = self.sockets.remove(name);
        // Starting a node blocks, so it must not happen on a runtime thread.
        let starting = tokio::task::spawn_blocking(move || match sockets {
            Some(sockets) => {
                NodeProcess::start_with_sockets(sockets, settings, logger, NODE_WORKERS)
            }
            // A restarted node binds its previous addresses again.
            None => NodeProcess::start(settings, logger, NODE_WORKERS),
        });
        let process = starting.await.expect("starting a node does not panic");
        self.nodes.insert(name.to_owned(), process.expect("the node's addresses are free"));
    }

    /// Serves a fake engine on a free port and returns its address.
    ///
    /// Nodes use it once a published document lists the address.
    pub async fn add_engine(&mut self, name: &str, engine: Arc<FakeEngine>) -> SocketAddr {
        let (listener, address) = bind_free_port().await;
        tokio::spawn(serve_engine(listener, engine.clone()));
        self.engines.insert(name.to_owned(), engine);
        address
    }

    /// Serves a fake service on a free port and returns its address.
    ///
    /// Nodes use it once a published document lists the address.
    pub async fn add_service(&mut self, name: &str, service: Arc<FakeService>) -> SocketAddr {
        let (listener, address) = bind_free_port().await;
        tokio::spawn(serve_service(listener, service.clone()));
        self.services.insert(name.to_owned(), service);
        address
    }

    /// Publishes a document, and waits until all nodes have activated it and see each other alive.
    ///
    /// Panics if the document is not valid or the nodes take longer than 30 s.
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

    /// Waits until `condition` holds for all running nodes; panics after 30 s.
    pub async fn wait_until(&self, condition: impl Fn(&NodeHandle) -> bool) {
        let start = Instant::now();
        let time_limit = Duration::from_secs(30);
        while !self.handles().iter().all(&condition) {
            assert!(
                start.elapsed() < time_limit,
                "the condition did not hold for all nodes within 30 s"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the handles of all running nodes, ordered by name.
    pub fn handles(&self) -> Vec<NodeHandle> {
        self.nodes.values().map(NodeProcess::handle).collect()
    }

    /// Returns the names of all running nodes in order.
    pub fn node_names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns the caller addresses of all nodes, running or not.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|it| it.caller).collect()
    }

    /// Returns the address at which a node serves callers; panics if the node is unknown.
    pub fn caller_address(&self, name: &str) -> SocketAddr {
        self.settings[name].addresses.caller
    }

    /// Stops a running node abruptly, without a drain.
    pub async fn kill(&mut self, name: &str) {
        let process = self.nodes.remove(name).expect("the node is running");
        let killing = tokio::task::spawn_blocking(|| process.kill());
        killing.await.expect("killing a node does not panic");
    }

    /// Drains a running node and waits until it has stopped.
    pub async fn drain(&mut self, name: &str) {
        let process = self.nodes.remove(name).expect("the node is running");
        let draining = tokio::task::spawn_blocking(|| process.drain());
        draining.await.expect("draining a node does not panic");
    }

    /// Kills all running nodes.
    pub async fn stop(mut self) {
        for name in self.node_names() {
            self.kill(&name).await;
        }
    }
}

/// Binds the sockets of a node, and returns them with its host list entry.
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
