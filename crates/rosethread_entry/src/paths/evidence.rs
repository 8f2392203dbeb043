//! Finds out whether a target's process has ended, or only the path to it.
//!
//! An address that refuses connections shows that the process has ended, unless the network refuses
//! them. So this host must reach another target, and another host, which reaches another target too,
//! must find the address refused as well.

use std::sync::Arc;

use futures::{StreamExt, future::join_all, stream::FuturesUnordered};
use rosethread_policy::PathLoss;
use serde::{Deserialize, Serialize};
use slog::{debug, info};

use crate::{
    entry::Entry,
    paths::{self, NoPath, PathRequest},
    peers::{PeerReply, PeerRequest},
    ports::ConnectError,
    registry::{Target, TargetStatus},
};

/// The number of other hosts that are asked. Some may have lost their links too.
const WITNESSES: usize = 3;

/// The number of other targets of which a host must reach one for its word to count.
const CONTROLS: usize = 2;

/// What another host finds at the address of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// It takes connections.
    Reached,
    /// It refuses connections, while another target takes them, or a later run of the target has
    /// registered.
    Ended,
    /// Neither was found, or the host reaches no target.
    Unclear,
}

/// Returns whether a target's process has ended, as far as several hosts can tell.
///
/// Where no other host can be asked, as none is there or none knows the question, this one's word counts,
/// unless it had lost its path to the target before.
pub(crate) async fn has_ended(entry: &Arc<Entry>, target: &Target) -> bool {
    let is_lost = entry.paths.reach().is_lost(&target.name);
    if probe(entry, target).await != Probe::Ended {
        return false;
    }
    let found = ask_others(entry, target).await;
    let own_word_counts = found.is_empty() && !is_lost;
    let has_ended =
        !found.contains(&Probe::Reached) && (own_word_counts || found.contains(&Probe::Ended));
    info!(entry.logger, "paths: a target refuses connections"; "target" => %target.name,
        "start" => target.start.0, "others" => ?found, "has_ended" => has_ended);
    has_ended
}

/// Returns whether a target's process may have ended: its address refuses this host's connections, and no
/// other host reaches it.
///
/// Where this host had lost its path before, another one has to find that the process has ended.
pub(crate) async fn may_have_ended(entry: &Arc<Entry>, target: &Target) -> bool {
    let is_lost = entry.paths.reach().is_lost(&target.name);
    let is_refused = match paths::connect_directly(entry, target).await {
        Ok(_) | Err(ConnectError::Full) => return false,
        Err(error) => error == ConnectError::Refused,
    };
    let found = ask_others(entry, target).await;
    let may_have_ended = !found.contains(&Probe::Reached)
        && (is_refused && !is_lost || found.contains(&Probe::Ended));
    info!(entry.logger, "paths: a target is not reached"; "target" => %target.name,
        "start" => target.start.0, "refused" => is_refused, "lost" => is_lost,
        "others" => ?found, "may_have_ended" => may_have_ended);
    may_have_ended
}

/// Asks other hosts what they find at the address of a target that refuses this one.
async fn ask_others(entry: &Arc<Entry>, target: &Target) -> Vec<Probe> {
    let view = entry.view();
    let order = paths::order_helpers(entry, &view);
    let asked = order.iter().take(WITNESSES).filter_map(|it| view.get(it)).map(async |it| {
        let request = PeerRequest::ProbeTarget(paths::sign_request(entry, target, &it.node));
        let reply = entry.peers.request(it.contact.peer, request).await;
        debug!(entry.logger, "paths: a host was asked for a target"; "host" => %it.node,
            "target" => %target.name, "reply" => ?reply);
        match reply {
            Ok(PeerReply::Probed(found)) => Some(found),
            _ => None,
        }
    });
    let found: Vec<Probe> = join_all(asked).await.into_iter().flatten().collect();
    if found.contains(&Probe::Reached) {
        paths::record_lost(entry, target, PathLoss::Refused);
    }
    found
}

/// Answers another host's question for a target.
pub(crate) async fn answer(entry: &Arc<Entry>, request: &PathRequest) -> Probe {
    match paths::grant::find_target(entry, request) {
        Ok(target) => probe(entry, &target).await,
        Err(NoPath::Restarted) => Probe::Ended,
        Err(_) => Probe::Unclear,
    }
}

/// Returns what this host finds at a target's address.
async fn probe(entry: &Arc<Entry>, target: &Target) -> Probe {
    match paths::connect_directly(entry, target).await {
        Ok(_) | Err(ConnectError::Full) => Probe::Reached,
        Err(ConnectError::Refused) if reaches_another(entry, target).await => Probe::Ended,
        Err(_) => Probe::Unclear,
    }
}

/// Returns whether this host reaches another target than `target`; true if there is none.
async fn reaches_another(entry: &Arc<Entry>, target: &Target) -> bool {
    let targets = entry.targets();
    let is_other = |it: &&Target| it.name != target.name && it.status == TargetStatus::Ready;
    let others: Vec<&Target> = targets.values().filter(is_other).collect();
    if others.is_empty() {
        return true;
    }
    let first = entry.random.next_u64() as usize % others.len();
    let controls = (0..CONTROLS.min(others.len())).map(|it| others[(first + it) % others.len()]);
    let mut connected: FuturesUnordered<_> =
        controls.map(|it| paths::connect_directly(entry, it)).collect();
    while let Some(result) = connected.next().await {
        if matches!(result, Ok(_) | Err(ConnectError::Full)) {
            return true;
        }
    }
    false
}
