//! A whole node process: its two runtimes, its sockets and its servers.

use std::{io, net::SocketAddr, sync::Arc, thread};

use axum::serve::{Listener, ListenerExt};
use displaydoc::Display;
use rosethread_config::Settings;
use rosethread_platform::{Clock, HttpHosts, HttpLog, HttpTargets};
use slog::{Logger, info};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Handle, Runtime},
    sync::oneshot,
};

use crate::{
    HttpPeers, Node, NodeHandle, Parts, Random, Serving, Tasks, UdpDatagrams, api, serve_peers,
};

/// Why a process could not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// the runtime could not be built: {0}
    Runtime(io::Error),
    /// {field} = {address}: {error}
    Bind {
        /// The setting that names the address.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        error: io::Error,
    },
    /// the HTTP client could not be built: {0}
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
        let traffic = Builder::new_multi_thread()
            .worker_threads(workers)
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(StartError::Runtime)?;
        let (control, control_handle) = start_control().map_err(StartError::Runtime)?;
        let node = traffic.block_on(start_node(settings, logger, control_handle))?;
        let handle = node.handle();
        let runtime = traffic.handle().clone();
        let (traffic, control, node) = (Some(traffic), Some(control), Some(node));
        Ok(NodeProcess { traffic, runtime, control, node, handle })
    }

    /// Returns a handle on the node.
    pub fn handle(&self) -> NodeHandle {
        self.handle.clone()
    }

    /// Returns the runtime that carries traffic.
    pub fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Finishes what is under way, hands the programs over, and stops.
    pub fn drain(mut self) {
        if let Some(node) = self.node.take() {
            self.runtime.block_on(async {
                node.drain().await.finish().await;
            });
        }
    }

    /// Stops at once, as a killed process would.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        drop(self.control.take());
        if let Some(traffic) = self.traffic.take() {
            // Waiting for the tasks is not allowed where a process may be dropped.
            traffic.shutdown_background();
        }
    }
}

/// Starts the thread that keeps the control state.
fn start_control() -> io::Result<(oneshot::Sender<()>, Handle)> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let handle = runtime.handle().clone();
    let (sender, receiver) = oneshot::channel::<()>();
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        // The sender is dropped, not used, when the process stops.
        let _ = runtime.block_on(receiver);
        runtime.shutdown_background();
    })?;
    Ok((sender, handle))
}

async fn start_node(
    settings: Settings,
    logger: Logger,
    control: Handle,
) -> Result<Node<Serving>, StartError> {
    let addresses = settings.addresses.clone();
    let caller = bind("addresses.caller", addresses.caller).await?;
    let peer = bind("addresses.peer", addresses.peer).await?;
    let datagrams = UdpDatagrams::bind(addresses.heartbeat).await.map_err(|error| {
        StartError::Bind { field: "addresses.heartbeat", address: addresses.heartbeat, error }
    })?;
    let client =
        reqwest::Client::builder().tcp_nodelay(true).build().map_err(StartError::Client)?;
    let clock = Clock::system();
    let parts = Parts {
        clock,
        log: Arc::new(HttpLog::new(client.clone(), settings.log.address)),
        targets: Arc::new(HttpTargets::new(client.clone())),
        hosts: Arc::new(HttpHosts::new(client.clone(), settings.hosts)),
        peers: Arc::new(HttpPeers::new(&settings, clock, client)),
        datagrams: Arc::new(datagrams),
        random: Random::from_system(),
        tasks: Tasks::new(control, Handle::current()),
        logger: logger.clone(),
        settings,
    };
    let node = Node::start(parts);
    tokio::spawn(api::serve(caller, node.handle()));
    tokio::spawn(serve_peers(peer, node.handle()));
    info!(logger, "node: callers at {}, nodes at {}", addresses.caller, addresses.peer);
    Ok(node)
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Bind { field, address, error })
}

/// Returns a listener whose connections send small messages at once.
///
/// Otherwise each event of a stream may wait 40 ms for the acknowledgement of the one before it.
pub(crate) fn no_delay(listener: TcpListener) -> impl Listener<Addr = SocketAddr> {
    listener.tap_io(|connection| {
        // A connection without the option works, only slower.
        let _ = connection.set_nodelay(true);
    })
}
