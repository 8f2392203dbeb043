//! Follows the configuration stream and publishes the document in force.

use std::{sync::Arc, time::Duration};

use rosethread_config::{ActiveDocument, ConfigFold, Document, Publication};
use rosethread_membership::Status;
use rosethread_platform::LogRead;
use rosethread_types::Revision;
use slog::{info, warn};
use tokio::time::sleep;

use rosethread_runtime::Tick;

use crate::{
    core::Core,
    peers::{PeerReply, PeerRequest},
};

/// The longest wait of one read.
const POLL: Duration = Duration::from_secs(1);

/// The pause after a failed read.
const RETRY: Duration = Duration::from_millis(200);

/// The most publications taken by one read.
const READ_MAX: usize = 64;

/// The time between two looks at the revisions of other nodes.
const COMPARE_PERIOD: Duration = Duration::from_millis(500);

/// The share of the retention time after which the document is written again.
const REWRITE_SHARE: u64 = 3;

/// Starts following the stream, and other nodes for when the log is down.
pub(super) fn start(core: &Arc<Core>) {
    let fold = Arc::new(std::sync::Mutex::new(ConfigFold::default()));
    core.tasks.spawn_control(follow_log(core.clone(), fold.clone()));
    core.tasks.spawn_control(follow_peers(core.clone(), fold));
}

type SharedFold = Arc<std::sync::Mutex<ConfigFold>>;

async fn follow_log(core: Arc<Core>, fold: SharedFold) {
    let stream = core.settings.log.config.clone();
    let mut next = 0;
    loop {
        match core.log.read(&stream, next, READ_MAX, POLL).await {
            Ok(read) => {
                next = take(&core, &fold, next, read);
                rewrite_if_old(&core, &fold).await;
            }
            Err(_) => sleep(RETRY).await,
        }
    }
}

fn take(core: &Core, fold: &SharedFold, next: u64, read: LogRead) -> u64 {
    let mut fold = fold.lock().expect("no holder of the configuration panics");
    let mut next = next.max(read.first);
    for entry in read.entries {
        next = entry.offset + 1;
        let Ok(publication) = serde_json::from_slice::<Publication>(&entry.data) else {
            warn!(core.logger, "config: record {} is no publication", entry.offset);
            fold.skip(entry.offset);
            continue;
        };
        match fold.apply(entry.offset, &publication) {
            Ok(in_force) => publish(core, in_force),
            Err(void) => info!(core.logger, "config: record {} is void: {}", entry.offset, void),
        }
    }
    next
}

/// Publishes a document, unless a newer one is in force already.
fn publish(core: &Core, in_force: Arc<ActiveDocument>) {
    let revision = in_force.revision;
    let is_newer = core.document.send_if_modified(|it| {
        let is_newer = it.revision <= in_force.revision;
        if is_newer {
            *it = in_force;
        }
        is_newer
    });
    if is_newer {
        info!(core.logger, "config: revision {} is in force", revision);
    }
}

/// Writes the document again before retention takes it, under its own revision.
async fn rewrite_if_old(core: &Core, fold: &SharedFold) {
    let in_force = core.document.borrow().clone();
    let limit_ms = core.settings.log.retention_s * 1_000 / REWRITE_SHARE;
    let now_ms = core.clock.now_ms();
    if in_force.revision == Revision::default() || now_ms < in_force.written_ms + limit_ms {
        return;
    }
    let mut publication = describe(&in_force);
    publication.written_ms = now_ms;
    publication.repeats = Some(in_force.revision);
    publication.known_to = known_to(fold, in_force.revision);
    let data = serde_json::to_vec(&publication).expect("a publication serialises");
    // A failure is tried again at the next read; the nodes' own copies bridge the time.
    let _ = core.log.append(&core.settings.log.config, data.into()).await;
}

/// Returns how far the stream is known, if `revision` is still in force there.
fn known_to(fold: &SharedFold, revision: Revision) -> Option<u64> {
    let fold = fold.lock().expect("no holder of the configuration panics");
    (fold.current().revision == revision).then(|| fold.known_to())
}

/// Returns the publication that another node needs to take a document over.
pub(crate) fn describe(in_force: &ActiveDocument) -> Publication {
    Publication {
        base: in_force.revision,
        author: in_force.author.clone(),
        nonce: in_force.nonce.clone(),
        written_ms: in_force.written_ms,
        repeats: None,
        known_to: None,
        document: in_force.document.to_toml(),
    }
}

/// Takes the document from any node that has a newer one in force.
async fn follow_peers(core: Arc<Core>, fold: SharedFold) {
    let mut ticks = core.timer.every(COMPARE_PERIOD);
    while let Some(Tick) = ticks.recv().await {
        let revision = core.document.borrow().revision;
        let view = core.view();
        let ahead = view
            .nodes
            .values()
            .filter(|it| it.status < Status::Suspect && revision < it.summary.revision)
            .max_by_key(|it| it.summary.revision);
        let Some(ahead) = ahead else {
            continue;
        };
        let reply = core.peers.request(&ahead.contact, PeerRequest::Document).await;
        let Ok(PeerReply::Document(Some(reply))) = reply else {
            continue;
        };
        let Ok(document) = Document::parse(&reply.publication.document) else {
            warn!(core.logger, "config: {} sent an invalid document", ahead.node);
            continue;
        };
        let in_force = ActiveDocument {
            revision: reply.revision,
            author: reply.publication.author,
            nonce: reply.publication.nonce,
            written_ms: reply.publication.written_ms,
            document: Arc::new(document),
        };
        let mut fold = fold.lock().expect("no holder of the configuration panics");
        if fold.adopt(in_force) {
            publish(&core, fold.current().clone());
        }
    }
}
