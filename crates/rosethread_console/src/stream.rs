//! Reads and writes the configuration stream, the log stream to which documents are published.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rosethread_config::{ActiveDocument, ConfigFold, Document, Publication, PublicationError};
use rosethread_platform::{HttpLog, LogError, LogService};
use rosethread_types::Revision;

use crate::settings::ConsoleSettings;

/// The maximum number of log entries in one read.
const MAX_READ_ENTRIES: usize = 64;

/// How often the stream is read for the verdict on a publication.
const MAX_VERDICT_READS: u32 = 20;

/// The delay between two reads for a verdict.
const VERDICT_READ_DELAY: Duration = Duration::from_millis(250);

/// A client of the configuration stream.
pub(crate) struct ConfigStream {
    log: HttpLog,
    settings: ConsoleSettings,
}

/// The outcome of a publication.
#[derive(Debug)]
pub(crate) enum PublishOutcome {
    /// The document is in force under this revision.
    Active(Revision),
    /// The document was rejected, for example because another one was published first.
    Rejected {
        /// The reason.
        reason: PublicationError,
        /// The document in force instead.
        in_force: Arc<ActiveDocument>,
    },
}

/// The state of the configuration after reading the whole stream.
pub(crate) struct StreamState {
    /// The document in force.
    pub(crate) in_force: Arc<ActiveDocument>,
    /// The verdict on the publication with the requested nonce, if the stream contains it.
    verdict: Option<Result<Revision, PublicationError>>,
}

impl ConfigStream {
    /// Creates a client of the stream that `settings` name.
    pub(crate) fn new(settings: &ConsoleSettings) -> ConfigStream {
        let log = HttpLog::new(reqwest::Client::new(), settings.log);
        ConfigStream { log, settings: settings.clone() }
    }

    /// Reads the whole stream and returns the document in force.
    ///
    /// Also returns the verdict on the publication with the given nonce, if any.
    pub(crate) async fn read(&self, nonce: Option<&str>) -> Result<StreamState, LogError> {
        let mut fold = ConfigFold::default();
        let mut verdict = None;
        let mut next = 0;
        loop {
            let read = self
                .log
                .read(&self.settings.stream, next, MAX_READ_ENTRIES, Duration::ZERO)
                .await?;
            next = next.max(read.first);
            for entry in &read.entries {
                next = entry.offset + 1;
                let Ok(publication) = serde_json::from_slice::<Publication>(&entry.data) else {
                    fold.skip(entry.offset);
                    continue;
                };
                let result = fold.apply(entry.offset, &publication).map(|it| it.revision);
                if verdict.is_none() && nonce == Some(publication.nonce.as_str()) {
                    verdict = Some(result);
                }
            }
            if read.end <= next {
                return Ok(StreamState { in_force: fold.current().clone(), verdict });
            }
        }
    }

    /// Publishes a document that was edited from `base`, and waits for the verdict.
    ///
    /// An append whose acknowledgement was lost may have taken effect. The stream is therefore read
    /// until it contains the publication, which is never appended twice.
    pub(crate) async fn publish(
        &self,
        document: &Document,
        base: Revision,
        author: &str,
    ) -> Result<PublishOutcome, String> {
        let written_ms = now_ms();
        let publication = Publication {
            base,
            author: author.to_owned(),
            nonce: format!("{author}-{written_ms}-{}", std::process::id()),
            written_ms,
            repeats: None,
            known_to: None,
            document: document.to_toml(),
        };
        let data = serde_json::to_vec(&publication).map_err(|it| it.to_string())?;
        let appended = self.log.append(&self.settings.stream, data.into()).await;
        for _ in 0..MAX_VERDICT_READS {
            if let Ok(state) = self.read(Some(&publication.nonce)).await
                && let Some(verdict) = state.verdict
            {
                return Ok(match verdict {
                    Ok(revision) => PublishOutcome::Active(revision),
                    Err(reason) => PublishOutcome::Rejected { reason, in_force: state.in_force },
                });
            }
            tokio::time::sleep(VERDICT_READ_DELAY).await;
        }
        match appended {
            Ok(_) => Err("the document was appended to the log, but its verdict could not be read"
                .to_owned()),
            Err(error) => Err(format!("the document was not published: {error}")),
        }
    }
}

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since_epoch.as_millis() as u64
}
