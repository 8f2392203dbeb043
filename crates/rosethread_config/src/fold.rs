//! Reads publications in log order and decides which document is in force.

use std::sync::Arc;

use displaydoc::Display;
use rosethread_types::Revision;

use crate::{Document, Problems, Publication};

/// The document in force and where it came from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InForce {
    /// Its revision; zero if nothing has been published.
    pub revision: Revision,
    /// Who published it.
    pub author: String,
    /// The nonce of its publication.
    pub nonce: String,
    /// When it was last written to the log, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// The document.
    pub document: Arc<Document>,
}

/// Why a publication has no effect.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Void {
    /// it was edited from revision {base}, but {winner} published revision {current} meanwhile
    Stale {
        /// The revision it was edited from.
        base: Revision,
        /// The revision in force.
        current: Revision,
        /// Who published that.
        winner: String,
    },
    /// it breaks a rule: {0}
    Invalid(Problems),
    /// it repeats an earlier append
    Repeated,
    /// what it was edited from has expired, so it cannot be judged
    Unjudged,
}

impl std::error::Error for Void {}

/// The fold over the configuration stream; all readers reach the same result.
#[derive(Clone, Debug, Default)]
pub struct ConfigFold {
    current: Arc<InForce>,
    is_truncated: bool,
}

impl ConfigFold {
    /// Returns what is in force.
    pub fn current(&self) -> &Arc<InForce> {
        &self.current
    }

    /// Takes note that records before the first one read have expired.
    ///
    /// Whether a publication was void then depends on records that are gone, so only repetitions,
    /// which nodes write of what is in force, are accepted as a start.
    pub fn truncate(&mut self) {
        self.is_truncated = true;
    }

    /// Reads the publication at `offset`.
    pub fn apply(&mut self, offset: u64, publication: &Publication) -> Result<Arc<InForce>, Void> {
        let revision = Revision(offset + 1);
        if publication.nonce == self.current.nonce && publication.repeats.is_none() {
            return Err(Void::Repeated);
        }
        let is_start = self.current.revision == Revision::default();
        if self.is_truncated && is_start && publication.repeats.is_none() {
            return Err(Void::Unjudged);
        }
        let current = self.current.revision;
        let (revision, is_newer) = match publication.repeats {
            // A repetition comes after what it repeats, or it is not genuine.
            Some(original) => (original, current <= original && original < revision),
            // A node that took a later document from its peers may still be reading older records.
            None => (revision, publication.base == current && current < revision),
        };
        if !is_newer {
            return Err(Void::Stale {
                base: publication.base,
                current: self.current.revision,
                winner: self.current.author.clone(),
            });
        }
        let document = Document::parse(&publication.document).map_err(Void::Invalid)?;
        self.current = Arc::new(InForce {
            revision,
            author: publication.author.clone(),
            nonce: publication.nonce.clone(),
            written_ms: publication.written_ms,
            document: Arc::new(document),
        });
        Ok(self.current.clone())
    }

    /// Takes over what another node has in force, if it is newer.
    pub fn adopt(&mut self, other: InForce) -> bool {
        if other.revision <= self.current.revision {
            return false;
        }
        self.current = Arc::new(other);
        true
    }
}
