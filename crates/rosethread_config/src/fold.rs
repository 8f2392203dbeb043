//! Reads publications in log order and decides which document is in force.

use std::{collections::BTreeMap, sync::Arc};

use displaydoc::Display;
use rosethread_types::Revision;

use crate::{Document, Problems, Publication};

/// The document in force and where it came from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActiveDocument {
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
pub enum PublicationError {
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
    Duplicate,
    /// what came before it is not known, so it cannot be judged yet
    Undecided,
}

impl std::error::Error for PublicationError {}

/// The fold over the configuration stream; all readers reach the same result.
///
/// Whether a publication counts depends on what was in force just before it. A reader that has not
/// read the stream from its start, because retention took that or because a peer told what is in
/// force, knows this only from some offset on. Until it does, it judges nothing.
#[derive(Clone, Debug, Default)]
pub struct ConfigFold {
    current: Arc<ActiveDocument>,
    /// The offset up to which `current` takes all records into account.
    known_to: u64,
    /// Later records, which wait for the ones between; operators write few of them.
    waiting: BTreeMap<u64, Option<Publication>>,
}

impl ConfigFold {
    /// Returns what is in force.
    pub fn current(&self) -> &Arc<ActiveDocument> {
        &self.current
    }

    /// Returns the offset up to which all records are taken into account.
    pub fn known_to(&self) -> u64 {
        self.known_to
    }

    /// Takes note that the record at `offset` is no publication.
    pub fn skip(&mut self, offset: u64) {
        self.waiting.insert(offset, None);
        self.judge_waiting();
    }

    /// Reads the publication at `offset`.
    pub fn apply(
        &mut self,
        offset: u64,
        publication: &Publication,
    ) -> Result<Arc<ActiveDocument>, PublicationError> {
        if let Some(original) = publication.repeats {
            return self.repeat(offset, original, publication);
        }
        if publication.nonce == self.current.nonce {
            self.skip(offset);
            return Err(PublicationError::Duplicate);
        }
        if self.known_to < offset {
            self.waiting.insert(offset, Some(publication.clone()));
            return Err(PublicationError::Undecided);
        }
        let result = self.judge(offset, publication);
        self.judge_waiting();
        result
    }

    /// Judges a publication before which all records are known.
    fn judge(
        &mut self,
        offset: u64,
        publication: &Publication,
    ) -> Result<Arc<ActiveDocument>, PublicationError> {
        let revision = Revision(offset + 1);
        let is_new = self.known_to <= offset;
        self.known_to = self.known_to.max(offset + 1);
        if !is_new || publication.base != self.current.revision {
            return Err(self.stale(publication));
        }
        let document = Document::parse(&publication.document).map_err(PublicationError::Invalid)?;
        self.current = in_force(revision, publication, document);
        Ok(self.current.clone())
    }

    /// Takes over what another node had in force when it wrote the record at `offset`.
    fn repeat(
        &mut self,
        offset: u64,
        original: Revision,
        publication: &Publication,
    ) -> Result<Arc<ActiveDocument>, PublicationError> {
        // A repetition comes after what it repeats, or it is not genuine.
        let known_to = publication.known_to.unwrap_or(original.0);
        let is_genuine = original.0 <= known_to && known_to <= offset;
        if !is_genuine || original < self.current.revision {
            let error = self.stale(publication);
            self.skip(offset);
            return Err(error);
        }
        let document = Document::parse(&publication.document);
        if let Ok(document) = &document {
            self.current = in_force(original, publication, document.clone());
            self.known_to = self.known_to.max(known_to);
        }
        self.skip(offset);
        document.map(|_| self.current.clone()).map_err(PublicationError::Invalid)
    }

    fn stale(&self, publication: &Publication) -> PublicationError {
        PublicationError::Stale {
            base: publication.base,
            current: self.current.revision,
            winner: self.current.author.clone(),
        }
    }

    /// Judges the waiting records before which all others are known by now.
    fn judge_waiting(&mut self) {
        while let Some(record) = self.waiting.first_entry()
            && *record.key() <= self.known_to
        {
            let (offset, publication) = record.remove_entry();
            match publication {
                // Those that are void change nothing, as if they had been judged when they came.
                Some(publication) => drop(self.judge(offset, &publication)),
                None => self.known_to = self.known_to.max(offset + 1),
            }
        }
    }

    /// Takes over what another node has in force, if it is newer.
    pub fn adopt(&mut self, other: ActiveDocument) -> bool {
        if other.revision <= self.current.revision {
            return false;
        }
        // It was in force right behind its own record.
        self.known_to = self.known_to.max(other.revision.0);
        self.current = Arc::new(other);
        self.judge_waiting();
        true
    }
}

fn in_force(
    revision: Revision,
    publication: &Publication,
    document: Document,
) -> Arc<ActiveDocument> {
    Arc::new(ActiveDocument {
        revision,
        author: publication.author.clone(),
        nonce: publication.nonce.clone(),
        written_ms: publication.written_ms,
        document: Arc::new(document),
    })
}
