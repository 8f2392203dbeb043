//! The configuration stream, as the console reads and writes it.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rosethread_config::{ActiveDocument, ConfigFold, Document, Publication, PublicationError};
use rosethread_platform::{HttpLog, LogError, LogService};
use rosethread_types::Revision;

use crate::settings::ConsoleSettings;

/// The most publications taken by one read.
const READ_MAX: usize = 64;

/// How often a publication whose fate is unknown is looked for.
const LOOKS: u32 = 20;

/// The pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// The configuration stream.
pub(crate) struct ConfigStream {
    log: HttpLog,
    settings: ConsoleSettings,
}

/// What became of a publication.
#[derive(Debug)]
pub(crate) enum Published {
    /// It is in force.
    InForce(Revision),
    /// It is void, and `in_force` is what counts.
    Void {
        /// Why it is void.
        reason: PublicationError,
        /// What is in force.
        in_force: Arc<ActiveDocument>,
    },
}

/// What reading the whole stream shows.
pub(crate) struct State {
    /// What is in force.
    pub(crate) in_force: Arc<ActiveDocument>,
    /// The verdict on the publication that was looked for, if the stream has it.
    verdict: Option<Result<Revision, PublicationError>>,
}

impl ConfigStream {
    /// Returns the stream that `settings` name.
    pub(crate) fn new(settings: &ConsoleSettings) -> ConfigStream {
        let log = HttpLog::new(reqwest::Client::new(), settings.log);
        ConfigStream { log, settings: settings.clone() }
    }

    /// Reads the stream and returns what is in force.
    pub(crate) async fn read(&self, nonce: Option<&str>) -> Result<State, LogError> {
        let mut fold = ConfigFold::default();
        let mut verdict = None;
        let mut next = 0;
        loop {
            let read = self.log.read(&self.settings.stream, next, READ_MAX, Duration::ZERO).await?;
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
                return Ok(State { in_force: fold.current().clone(), verdict });
            }
        }
    }

    /// Publishes a document that was edited from `base`, and waits for the verdict.
    ///
    /// An append whose acknowledgement is lost may have taken effect, so the stream is read until
    /// it shows the publication; it is never appended twice.
    pub(crate) async fn publish(
        &self,
        document: &Document,
        base: Revision,
        author: &str,
    ) -> Result<Published, String> {
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
        for _ in 0..LOOKS {
            if let Ok(state) = self.read(Some(&publication.nonce)).await
                && let Some(verdict) = state.verdict
            {
                return Ok(match verdict {
                    Ok(revision) => Published::InForce(revision),
                    Err(reason) => Published::Void { reason, in_force: state.in_force },
                });
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        match appended {
            Ok(_) => Err("the log took the document but cannot be read".to_owned()),
            Err(error) => Err(format!("the document was not published: {error}")),
        }
    }
}

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since_epoch.as_millis() as u64
}
