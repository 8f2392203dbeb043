//! Opens connections to targets, by way of another host where this one does not reach a target.
//!
//! Only the connection takes another way: attempts, deadlines, budgets and the choice of the target
//! stay with the host that has the call. What is known of the paths is in [`rosethread_policy::Reach`].
//! See `docs/design/paths.md`.

mod evidence;
mod grant;
mod relay;
mod silence;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use displaydoc::Display;
use futures::{StreamExt, stream::FuturesUnordered};
use rosethread_membership::{ClusterView, MAC_BYTES};
use rosethread_policy::{DirectPath, PathLoss, Reach};
use rosethread_types::{Incarnation, NodeName, TargetName};
use serde::{Deserialize, Serialize};
use slog::{debug, info, warn};
use tokio::{net::TcpStream, sync::Semaphore, time::timeout};

use crate::{
    entry::Entry,
    ports::{ConnectError, Connector, SendError, TargetSocket},
    registry::Target,
};

pub use evidence::Probe;
pub(crate) use evidence::{answer as answer_probe, has_ended, may_have_ended};
pub(crate) use grant::serve_path;
pub use relay::PathStream;
pub use silence::{LateReader, limit_silence};

/// The time that a direct connection gets before another host is asked. A lost opening packet is sent
/// again only after a second.
const DIRECT_HEAD_START: Duration = Duration::from_millis(100);

/// The time in which a host that is asked for a path replies.
const HELP_TIMEOUT: Duration = Duration::from_millis(250);

/// The time after which the next host is asked as well.
const ASK_INTERVAL: Duration = Duration::from_millis(40);

/// The most hosts that are asked for one path. Where most hosts have lost their links, most of those
/// asked at first have, too.
const MAX_ASKED: usize = 8;

/// The number of hosts that don't reach a target either after which no more are asked.
const MAX_FAILED: usize = 2;

/// The most paths that a host carries for others at a time. Each takes two sockets and some 20 KB.
const MAX_GRANTED: usize = 256;

/// Separates requests for paths from everything else that hosts authenticate with the same keys.
const DOMAIN: &str = "rosethread path";

/// A host's request for a path to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathRequest {
    /// The target.
    pub target: TargetName,
    /// The run of the target that is meant.
    pub start: Incarnation,
    /// When the request was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// The authentication code, which also covers the name of the host that is asked.
    pub mac: [u8; MAC_BYTES],
}

/// Why a host opens no path to a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoPath {
    /// the target refuses its connection too
    Refused,
    /// the target does not reply to it either
    Silent,
    /// it has lost its own path to the target
    CutOff,
    /// it does not know this run of the target
    Unknown,
    /// the target has started anew since
    Restarted,
    /// the target is leaving
    Leaving,
    /// the target is at its limit of connections
    Full,
    /// it carries too many paths, or is shutting down
    Busy,
    /// the request is not authentic
    NotAuthentic,
}

/// What a host knows of its paths to targets, and the paths that it carries for others.
pub(crate) struct Paths {
    reach: Mutex<Reach>,
    granted: Semaphore,
}

impl Default for Paths {
    fn default() -> Paths {
        Paths { reach: Mutex::default(), granted: Semaphore::new(MAX_GRANTED) }
    }
}

impl Paths {
    fn reach(&self) -> MutexGuard<'_, Reach> {
        self.reach.lock().expect("no holder of the reach lock panics")
    }

    /// Forgets a target that left, restarted or moved to another address.
    pub(crate) fn forget(&self, target: &TargetName) {
        self.reach().forget(target);
    }

    /// Forgets the targets that are no longer known. Calls that end late may have recorded them again.
    pub(crate) fn forget_unknown(&self, targets: &BTreeMap<TargetName, Target>) {
        self.reach().retain(|it| targets.contains_key(it));
    }

    /// Returns the time up to which idle connections to targets may have gone silent since.
    pub(crate) fn doubt_since(&self) -> Option<Duration> {
        self.reach().doubt_since()
    }

    /// Returns the number of targets to which the direct path is lost.
    pub(crate) fn lost_count(&self) -> usize {
        self.reach().lost_count()
    }
}

/// The [`Connector`] of an entry.
pub(crate) struct PathConnector<'a>(pub(crate) &'a Arc<Entry>);

#[async_trait]
impl Connector for PathConnector<'_> {
    async fn open(&self, target: &Target) -> Result<TargetSocket, SendError> {
        let entry = self.0;
        if !entry.view().live().any(|it| it.node != entry.settings.node) {
            let socket = entry.upstream.connect(target).await;
            return socket.map(TargetSocket::Left).map_err(send_error);
        }
        let plan =
            entry.paths.reach().plan_direct(&target.name, entry.now(), entry.random.next_f64());
        match plan {
            DirectPath::Up => open_first(entry, target, DIRECT_HEAD_START).await,
            DirectPath::Trial => open_first(entry, target, Duration::ZERO).await,
            DirectPath::Down => match open_relayed(entry, target).await {
                Ok(path) => Ok(TargetSocket::Right(path)),
                Err(error) => Err(error.into()),
            },
        }
    }
}

fn send_error(error: ConnectError) -> SendError {
    match error {
        ConnectError::Full | ConnectError::Reset => SendError::Full,
        error => SendError::NotSent(error.to_string()),
    }
}

/// Opens a connection directly or by way of another host, whichever succeeds first. The direct one
/// begins `head_start` earlier.
async fn open_first(
    entry: &Arc<Entry>,
    target: &Target,
    head_start: Duration,
) -> Result<TargetSocket, SendError> {
    let mut direct = pin!(connect_directly(entry, target));
    let mut failure = match timeout(head_start, &mut direct).await {
        Ok(Ok(socket)) => return Ok(TargetSocket::Left(socket)),
        Ok(Err(error)) => Some(check_path(error)?),
        Err(_) => None,
    };
    let mut relayed = pin!(open_relayed(entry, target));
    let relayed = tokio::select! {
        biased;
        connected = &mut direct, if failure.is_none() => match connected {
            Ok(socket) => return Ok(TargetSocket::Left(socket)),
            Err(error) => {
                failure = Some(check_path(error)?);
                relayed.await
            }
        },
        relayed = &mut relayed => relayed,
    };
    match relayed {
        Ok(path) => {
            let loss = match failure {
                Some(ConnectError::TimedOut) => PathLoss::Silent,
                None if !head_start.is_zero() => {
                    entry.paths.reach().record_failed(&target.name);
                    PathLoss::Silent
                }
                // Without a head start, an answer that has not come yet says nothing of the connections.
                Some(_) | None => PathLoss::Refused,
            };
            record_lost(entry, target, loss);
            Ok(TargetSocket::Right(path))
        }
        Err(NoRelay::Full) => Err(SendError::Full),
        Err(error) => {
            let failure = match failure {
                Some(failure) => failure,
                None => match direct.await {
                    Ok(socket) => return Ok(TargetSocket::Left(socket)),
                    Err(error) => check_path(error)?,
                },
            };
            let loss = match failure {
                ConnectError::Reset => return Err(send_error(failure)),
                ConnectError::TimedOut => PathLoss::Silent,
                _ => PathLoss::Refused,
            };
            if entry.paths.reach().is_cut_off() {
                record_lost(entry, target, loss);
            } else {
                entry.paths.reach().record_unreachable(&target.name);
            }
            Err(error.into())
        }
    }
}

/// Returns a failure for which the path may be the cause, or the error for the request if it is not.
fn check_path(failure: ConnectError) -> Result<ConnectError, SendError> {
    match failure {
        ConnectError::Refused | ConnectError::Reset | ConnectError::TimedOut => Ok(failure),
        ConnectError::Full | ConnectError::Failed(_) => Err(send_error(failure)),
    }
}

/// Connects to a target directly, and records whether that worked.
async fn connect_directly(entry: &Arc<Entry>, target: &Target) -> Result<TcpStream, ConnectError> {
    let connected = entry.upstream.connect(target).await;
    let mut reach = entry.paths.reach();
    match &connected {
        Ok(_) | Err(ConnectError::Full) => {
            if reach.record_reached(&target.name, entry.now()) {
                info!(entry.logger, "paths: a direct path is back"; "target" => %target.name,
                    "lost" => reach.lost_count());
            }
        }
        Err(ConnectError::Refused | ConnectError::TimedOut) => {
            reach.record_failed(&target.name);
        }
        // A target at its limit resets connections, and so may the network.
        Err(ConnectError::Reset) => (),
        // The cause is at this host.
        Err(ConnectError::Failed(_)) => (),
    }
    drop(reach);
    connected
}

fn record_lost(entry: &Entry, target: &Target, loss: PathLoss) {
    let mut reach = entry.paths.reach();
    if reach.record_lost(&target.name, loss, entry.now(), entry.random.next_f64()) {
        warn!(entry.logger, "paths: lost the direct path to a target"; "target" => %target.name,
            "start" => target.start.0, "loss" => ?loss, "lost" => reach.lost_count(),
            "cut_off" => reach.is_cut_off());
    }
}

/// Why no path by way of another host was opened.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum NoRelay {
    /// other hosts don't reach the target either
    TargetFailed,
    /// no other host opened a path to the target
    NoHelp,
    /// the target is at its limit of connections
    Full,
}

impl From<NoRelay> for SendError {
    fn from(error: NoRelay) -> SendError {
        match error {
            NoRelay::Full => SendError::Full,
            error => SendError::NotSent(error.to_string()),
        }
    }
}

/// Asks other hosts for a path to a target, one after the other, until one opens it.
async fn open_relayed(entry: &Arc<Entry>, target: &Target) -> Result<PathStream, NoRelay> {
    let view = entry.view();
    let mut order = order_helpers(entry, &view).into_iter().take(MAX_ASKED);
    let mut asked = FuturesUnordered::new();
    let mut failed = 0;
    let mut no_path = NoRelay::TargetFailed;
    loop {
        let next = order.next().and_then(|it| view.get(&it));
        let is_last = next.is_none();
        asked.extend(next.map(|it| ask_host(entry, target, &it.node, it.contact.peer)));
        let wait = if is_last { HELP_TIMEOUT } else { ASK_INTERVAL };
        match timeout(wait, asked.next()).await {
            Ok(Some(Ok(path))) => {
                entry.metrics.relayed_paths.inc();
                return Ok(path);
            }
            Ok(Some(Err(Some(reason @ (NoPath::Refused | NoPath::Silent | NoPath::Full))))) => {
                failed += 1;
                if reason == NoPath::Full {
                    no_path = NoRelay::Full;
                }
                if MAX_FAILED <= failed {
                    return Err(no_path);
                }
            }
            Ok(None) if is_last && failed == 0 => return Err(NoRelay::NoHelp),
            Ok(None) if is_last => return Err(no_path),
            Ok(_) | Err(_) => (),
        }
    }
}

/// Returns the other hosts in the order in which they are asked.
fn order_helpers(entry: &Entry, view: &ClusterView) -> Vec<NodeName> {
    let others = view.live().map(|it| it.node.clone()).filter(|it| *it != entry.settings.node);
    entry.paths.reach().order_helpers(others, entry.now(), || entry.random.next_u64())
}

/// Asks one host for a path, and records whether it helped.
async fn ask_host(
    entry: &Arc<Entry>,
    target: &Target,
    host: &NodeName,
    to: SocketAddr,
) -> Result<PathStream, Option<NoPath>> {
    let request = sign_request(entry, target, host);
    let reply = timeout(HELP_TIMEOUT, relay::open(to, request)).await;
    let result = match reply {
        Ok(Ok(Ok(path))) => Ok(path),
        Ok(Ok(Err(reason))) => Err(Some(reason)),
        Ok(Err(error)) => {
            debug!(entry.logger, "paths: a host gave no usable reply"; "host" => %host,
                "error" => %error);
            Err(None)
        }
        Err(_) => Err(None),
    };
    // What a host says of the target alone says nothing of the help that it can give.
    let is_of_target = matches!(
        result,
        Err(Some(NoPath::Unknown | NoPath::Restarted | NoPath::Leaving | NoPath::Full))
    );
    if !is_of_target {
        entry.paths.reach().record_help(host, result.is_ok(), entry.now());
    }
    if let Err(reason) = &result {
        debug!(entry.logger, "paths: a host opens no path"; "host" => %host,
            "target" => %target.name, "reason" => reason.map(|it| it.to_string()));
    }
    result
}

fn sign_request(entry: &Entry, target: &Target, host: &NodeName) -> PathRequest {
    let (target, start, sent_ms) = (target.name.clone(), target.start, entry.clock.now_ms());
    let mac = entry.auth_keys.sign(&signed_bytes(&target, start, sent_ms, host));
    PathRequest { target, start, sent_ms, mac }
}

fn signed_bytes(target: &TargetName, start: Incarnation, sent_ms: u64, host: &NodeName) -> Vec<u8> {
    postcard::to_stdvec(&(DOMAIN, target, start, sent_ms, host)).expect("a request serialises")
}
