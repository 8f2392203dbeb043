//! Follows the configuration stream of the log and activates the documents published there.
//!
//! While the log is unavailable, the node gets newer documents from other nodes.

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

/// How long one read waits for new records.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The maximum number of records in one read.
const MAX_READ_RECORDS: usize = 64;

/// The time between two comparisons of this node's revision with those of other nodes.
const COMPARE_PERIOD: Duration = Duration::from_millis(500);

/// The retention time divided by this is the age at which the document is written to the log again.
const REWRITE_DIVISOR: u64 = 3;

/// Starts the tasks that follow the stream and, in case the log is unavailable, other nodes.
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
        match core.log.read(&stream, next, MAX_READ_RECORDS, POLL_TIMEOUT).await {
            Ok(read) => {
                next = apply_read(&core, &fold, next, read);
                rewrite_if_old(&core, &fold).await;
            }
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

/// Applies the records of a read and returns the offset of the next one.
fn apply_read(core: &Core, fold: &SharedFold, next: u64, read: LogRead) -> u64 {
    let mut fold = fold.lock().expect("no holder of the configuration lock panics");
    let mut next = next.max(read.first);
    for entry in read.entries {
        next = entry.offset + 1;
        let Ok(publication) = serde_json::from_slice::<Publication>(&entry.data) else {
            warn!(core.logger, "config: record {} is not a publication", entry.offset);
            fold.skip(entry.offset);
            continue;
        };
        match fold.apply(entry.offset, &publication) {
            Ok(document) => activate(core, document),
            Err(it) => info!(core.logger, "config: record {} not applied: {}", entry.offset, it),
        }
    }
    next
}

/// Makes a document the active one, unless a newer one is active already.
fn activate(core: &Core, document: Arc<ActiveDocument>) {
    let revision = document.revision;
    let is_newer = core.document.send_if_modified(|it| {
        let is_newer = it.revision <= document.revision;
        if is_newer {
            *it = document;
        }
        is_newer
    });
    if is_newer {
        info!(core.logger, "config: revision {} is active", revision);
    }
}

/// Writes the active document to the log again before retention deletes its record.
///
/// The document keeps its revision.
async fn rewrite_if_old(core: &Core, fold: &SharedFold) {
    let active = core.document.borrow().clone();
    let max_age_ms = core.settings.log.retention_s * 1_000 / REWRITE_DIVISOR;
    let now_ms = core.clock.now_ms();
    if active.revision == Revision::default() || now_ms < active.written_ms + max_age_ms {
        return;
    }
    let mut publication = to_publication(&active);
    publication.written_ms = now_ms;
    publication.repeats = Some(active.revision);
    publication.known_to = known_to(fold, active.revision);
    let data = serde_json::to_vec(&publication).expect("a publication serialises");
    // A failed append is retried after the next read. Until then nodes get the document from each
    // other.
    let _ = core.log.append(&core.settings.log.config, data.into()).await;
}

/// Returns the offset up to which the stream is known, exclusive, if `revision` is still active.
fn known_to(fold: &SharedFold, revision: Revision) -> Option<u64> {
    let fold = fold.lock().expect("no holder of the configuration lock panics");
    (fold.current().revision == revision).then(|| fold.known_to())
}

/// Returns the publication from which another node can restore an active document.
pub(crate) fn to_publication(active: &ActiveDocument) -> Publication {
    Publication {
        base: active.revision,
        author: active.author.clone(),
        nonce: active.nonce.clone(),
        written_ms: active.written_ms,
        repeats: None,
        known_to: None,
        document: active.document.to_toml(),
    }
}

/// Gets the document from the node with the newest revision, if that is newer than this node's.
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
        let active = ActiveDocument {
            revision: reply.revision,
            author: reply.publication.author,
            nonce: reply.publication.nonce,
            written_ms: reply.publication.written_ms,
            document: Arc::new(document),
        };
        let mut fold = fold.lock().expect("no holder of the configuration lock panics");
        if fold.adopt(active) {
            activate(&core, fold.current().clone());
        }
    }
}
