//! Follows the operator's routes, from the store or from other hosts, never back to older ones.

use std::{sync::Arc, time::Duration};

use rosethread_membership::{NodeState, Status};
use rosethread_runtime::Tick;
use slog::{info, warn};
use tokio::time::sleep;

use crate::{
    entry::Entry,
    peers::{PeerReply, PeerRequest},
    routes::Routes,
};

/// The pause after the store has not answered.
const RETRY: Duration = Duration::from_millis(250);

/// The time between two looks at what other hosts have.
const PEER_PERIOD: Duration = Duration::from_millis(200);

/// Takes new routes from the store.
pub(super) async fn follow(entry: Arc<Entry>) {
    let mut is_up = true;
    loop {
        let after = entry.routes().revision;
        match entry.routes_source.fetch_newer(after).await {
            Ok(routes) => {
                if !std::mem::replace(&mut is_up, true) {
                    info!(entry.logger, "store: regained"; "part" => "routes");
                }
                if let Some(routes) = routes {
                    adopt(&entry, routes, "store");
                }
            }
            Err(error) => {
                if std::mem::replace(&mut is_up, false) {
                    warn!(entry.logger, "store: lost"; "part" => "routes", "error" => %error);
                }
                sleep(RETRY).await;
            }
        }
    }
}

/// Takes new routes from a host that has them, for the time when the store turns this one away.
pub(super) async fn follow_peers(entry: Arc<Entry>) {
    let mut ticks = entry.timer.every(PEER_PERIOD);
    while let Some(Tick) = ticks.recv().await {
        let own = entry.routes().revision;
        let view = entry.view();
        let has_newer = |it: &&NodeState| own < it.summary.revision && it.status < Status::Suspect;
        let Some(peer) = view.nodes.values().find(has_newer) else {
            continue;
        };
        match entry.peers.request(peer.contact.peer, PeerRequest::Routes).await {
            Ok(PeerReply::Routes(routes)) => adopt(&entry, routes, peer.node.as_str()),
            Ok(_) => warn!(entry.logger, "routes: another kind of reply"; "peer" => %peer.node),
            Err(error) => {
                warn!(entry.logger, "routes: not fetched"; "peer" => %peer.node,
                    "error" => %error);
            }
        }
    }
}

/// Puts routes in force unless newer ones are.
fn adopt(entry: &Entry, routes: Routes, from: &str) {
    let (revision, count) = (routes.revision, routes.count());
    let before = entry.routes().revision;
    let is_adopted = entry.routes.send_if_modified(|it| {
        let is_newer = it.revision < revision;
        if is_newer {
            *it = Arc::new(routes);
        }
        is_newer
    });
    if is_adopted {
        entry.metrics.revision.set(revision.0 as i64);
        info!(entry.logger, "routes: in force"; "revision" => revision.0, "before" => before.0,
            "from" => from, "routes" => count);
    }
}
