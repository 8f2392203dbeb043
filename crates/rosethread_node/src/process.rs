//! A node process: its two runtimes, its sockets and its servers.

use std::{
    io,
    net::{SocketAddr, TcpListener as StdListener, UdpSocket as StdUdpSocket},
    sync::Arc,
};

use axum::serve::{Listener, ListenerExt};
use displaydoc::Display;
use rosethread_config::{Addresses, Settings};
use rosethread_platform::{Clock, HttpHosts, HttpLog, HttpTargetClient};
use rosethread_runtime::start_control_thread;
use slog::{Logger, info};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Handle, Runtime},
    sync::oneshot,
};

use crate::{
    HttpPeerClient, Node, NodeHandle, NodeParts, RandomSource, Serving, TaskSpawner, UdpTransport,
    api, serve_peers,
};

/// The reason why a node process could not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// cannot start the runtime or register a socket with it: {0}
    Runtime(io::Error),
    /// {field} = {address}: {error}
    Bind {
        /// The key of the setting that contains the address.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// cannot build the HTTP client: {0}
    Client(reqwest::Error),
}

impl std::error::Error for StartError {}

/// A running node process.
pub struct NodeProcess {
    traffic: Option<Runtime>,
    runtime: Handle,
    /// Ends the control thread when dropped.
    control: Option<oneshot::Sender<()>>,
    node: Option<Node<Serving>>,
    handle: NodeHandle,
}

impl NodeProcess {
    /// Starts a node with `workers` threads for traffic and one for control.
    pub fn start(
        settings: Settings,
        logger: Logger,
        workers: usize,
    ) -> Result<NodeProcess, StartError> {
        let sockets = NodeSockets::bind(&settings.addresses)?;
        NodeProcess::start_with_sockets(sockets, settings, logger, workers)
    }

    /// Starts a node on sockets that are already bound to the addresses in the settings.
    pub fn start_with_sockets(
        sockets: NodeSockets,
        settings: Settings,
        logger: Logger,
        workers: usize,
    ) -> Result<NodeProcess, StartError> {
        let traffic = Builder::new_multi_thread()
            .worker_threads(workers)
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(StartError::Runtime)?;
        let (control, control_handle) = start_control_thread().map_err(StartError::Runtime)?;
        let node = traffic.block_on(start_node(sockets, settings, logger, control_handle))?;
        let handle = node.handle();
        let runtime = traffic.handle().clone();
        let (traffic, control, node) = (Some(traffic), Some(control), Some(node));
        Ok(NodeProcess { traffic, runtime, control, node, handle })
    }

    /// Returns a handle through which requests reach the node.
    pub fn handle(&self) -> NodeHandle {
        self.handle.clone()
    }

    /// Returns the runtime that carries traffic.
    pub fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Finishes the calls in progress, hands the programs over, and stops.
    pub fn drain(mut self) {
        if let Some(node) = self.node.take() {
            self.runtime.block_on(async {
                node.drain().await.finish().await;
            });
        }
    }

    /// Stops at once without a drain, like a killed process.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        drop(self.control.take());
        if let Some(traffic) = self.traffic.take() {
            // Dropping a runtime waits for its tasks, which panics in an async context. A process may
            // be dropped in one.
            traffic.shutdown_background();
        }
    }
}

async fn start_node(
    sockets: NodeSockets,
    settings: Settings,
    logger: Logger,
    control: Handle,
) -> Result<Node<Serving>, StartError> {
    let addresses = settings.addresses.clone();
    let caller = async_listener(sockets.caller)?;
    let peer = async_listener(sockets.peer)?;
    sockets.heartbeat.set_nonblocking(true).map_err(StartError::Runtime)?;
    let datagrams = UdpTransport::from_std(sockets.heartbeat).map_err(StartError::Runtime)?;
    let client =
        reqwest::Client::builder().tcp_nodelay(true).build().map_err(StartError::Client)?;
    let clock = Clock::system();
    let parts = NodeParts {
        clock,
        log: Arc::new(HttpLog::new(client.clone(), settings.log.address)),
        targets: Arc::new(HttpTargetClient::new(client.clone())),
        hosts: Arc::new(HttpHosts::new(client.clone(), settings.hosts)),
        peers: Arc::new(HttpPeerClient::new(&settings, clock, client)),
        datagrams: Arc::new(datagrams),
        random: RandomSource::from_system(),
        tasks: TaskSpawner::new(control, Handle::current()),
        logger: logger.clone(),
        settings,
    };
    let node = Node::start(parts);
    tokio::spawn(api::serve(caller, node.handle()));
    tokio::spawn(serve_peers(peer, node.handle()));
    info!(
        logger,
        "node: listening on {} for callers and on {} for nodes", addresses.caller, addresses.peer
    );
    Ok(node)
}

/// The bound sockets of a node.
///
/// They are bound before the runtimes start, so that code that picks free ports can reserve them at
/// once, and no other process takes them in the meantime.
pub struct NodeSockets {
    /// Accepts connections from callers.
    pub caller: StdListener,
    /// Accepts connections from other nodes and from the console.
    pub peer: StdListener,
    /// Sends and receives heartbeats.
    pub heartbeat: StdUdpSocket,
}

impl NodeSockets {
    /// Binds the addresses in the settings.
    pub fn bind(addresses: &Addresses) -> Result<NodeSockets, StartError> {
        let bind_error = |field, address| move |error| StartError::Bind { field, address, error };
        let Addresses { caller, peer, heartbeat } = *addresses;
        Ok(NodeSockets {
            caller: StdListener::bind(caller).map_err(bind_error("addresses.caller", caller))?,
            peer: StdListener::bind(peer).map_err(bind_error("addresses.peer", peer))?,
            heartbeat: StdUdpSocket::bind(heartbeat)
                .map_err(bind_error("addresses.heartbeat", heartbeat))?,
        })
    }
}

fn async_listener(socket: StdListener) -> Result<TcpListener, StartError> {
    socket.set_nonblocking(true).map_err(StartError::Runtime)?;
    TcpListener::from_std(socket).map_err(StartError::Runtime)
}

/// Returns a listener that sets `TCP_NODELAY` on its connections.
///
/// With Nagle's algorithm, each event of a stream may wait 40 ms for the delayed acknowledgement of
/// the event before it.
pub(crate) fn with_nodelay(listener: TcpListener) -> impl Listener<Addr = SocketAddr> {
    listener.tap_io(|connection| {
        // The connection also works without the option, with higher latency.
        let _ = connection.set_nodelay(true);
    })
}
