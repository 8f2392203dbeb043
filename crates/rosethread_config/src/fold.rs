//! The fold over the configuration stream, which determines the active document.

use std::{collections::BTreeMap, sync::Arc};

use displaydoc::Display;
use rosethread_types::Revision;

use crate::{Document, Problems, Publication};

/// The document that nodes currently apply, with its origin.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActiveDocument {
    /// The document's revision: the offset of its publication plus one, or 0 if nothing has been
    /// published.
    pub revision: Revision,
    /// The operator who published the document.
    pub author: String,
    /// The nonce of the publication.
    pub nonce: String,
    /// When the document was last written to the log, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// The parsed document.
    pub document: Arc<Document>,
}

/// The reason why a publication has no effect.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum PublicationError {
    /// it is based on revision {base}, but {winner} has published revision {current} since
    Stale {
        /// The revision that the publication is based on.
        base: Revision,
        /// The active revision.
        current: Revision,
        /// The operator who published the active revision.
        winner: String,
    },
    /// it is not a valid document: {0}
    Invalid(Problems),
    /// it is a duplicate of the active document's publication
    Duplicate,
    /// it cannot be evaluated until all earlier records are known
    Undecided,
}

impl std::error::Error for PublicationError {}

/// The fold over the configuration stream, whose result is the same for all readers.
///
/// A publication takes effect only if it is based on the revision that was active just before it.
/// A reader that has not read the stream from its start, because the start has expired or because
/// the reader got the active document from a peer, knows that revision only from some offset on. It
/// evaluates no publication before this offset is known.
#[derive(Clone, Debug, Default)]
pub struct ConfigFold {
    current: Arc<ActiveDocument>,
    /// The offset up to which `current` takes all records into account, exclusive.
    known_to: u64,
    /// Records after a gap in the known offsets, by offset; `None` marks a record without effect.
    /// The map has no size limit, since operators write few records.
    pending: BTreeMap<u64, Option<Publication>>,
}

impl ConfigFold {
    /// Returns the active document.
    pub fn current(&self) -> &Arc<ActiveDocument> {
        &self.current
    }

    /// Returns the offset up to which all records are taken into account, exclusive.
    pub fn known_to(&self) -> u64 {
        self.known_to
    }

    /// Marks the record at `offset` as known and without effect.
    pub fn skip(&mut self, offset: u64) {
        self.pending.insert(offset, None);
        self.evaluate_pending();
    }

    /// Applies the publication at `offset` and returns the active document if it takes effect.
    ///
    /// Fails with [`PublicationError::Undecided`] if earlier records are unknown; the publication
    /// is then kept and evaluated as soon as they are known.
    pub fn apply(
        &mut self,
        offset: u64,
        publication: &Publication,
    ) -> Result<Arc<ActiveDocument>, PublicationError> {
        if let Some(original) = publication.repeats {
            return self.apply_repetition(offset, original, publication);
        }
        if publication.nonce == self.current.nonce {
            self.skip(offset);
            return Err(PublicationError::Duplicate);
        }
        if self.known_to < offset {
            self.pending.insert(offset, Some(publication.clone()));
            return Err(PublicationError::Undecided);
        }
        let result = self.evaluate(offset, publication);
        self.evaluate_pending();
        result
    }

    /// Evaluates a publication; all earlier records must be known.
    fn evaluate(
        &mut self,
        offset: u64,
        publication: &Publication,
    ) -> Result<Arc<ActiveDocument>, PublicationError> {
        let revision = Revision(offset + 1);
        let is_new = self.known_to <= offset;
        self.known_to = self.known_to.max(offset + 1);
        if !is_new || publication.base != self.current.revision {
            return Err(self.stale_error(publication));
        }
        let document = Document::parse(&publication.document).map_err(PublicationError::Invalid)?;
        self.current = active_document(revision, publication, document);
        Ok(self.current.clone())
    }

    /// Applies a repetition: a record in which another node repeats its active document.
    fn apply_repetition(
        &mut self,
        offset: u64,
        original: Revision,
        publication: &Publication,
    ) -> Result<Arc<ActiveDocument>, PublicationError> {
        // A genuine repetition follows the publication that it repeats, and its writer can only
        // have known records before it.
        let known_to = publication.known_to.unwrap_or(original.0);
        let is_genuine = original.0 <= known_to && known_to <= offset;
        if !is_genuine || original < self.current.revision {
            let error = self.stale_error(publication);
            self.skip(offset);
            return Err(error);
        }
        let document = Document::parse(&publication.document);
        if let Ok(document) = &document {
            self.current = active_document(original, publication, document.clone());
            self.known_to = self.known_to.max(known_to);
        }
        self.skip(offset);
        document.map(|_| self.current.clone()).map_err(PublicationError::Invalid)
    }

    fn stale_error(&self, publication: &Publication) -> PublicationError {
        PublicationError::Stale {
            base: publication.base,
            current: self.current.revision,
            winner: self.current.author.clone(),
        }
    }

    /// Evaluates the pending records that are no longer preceded by a gap.
    fn evaluate_pending(&mut self) {
        while let Some(record) = self.pending.first_entry()
            && *record.key() <= self.known_to
        {
            let (offset, publication) = record.remove_entry();
            match publication {
                // An error leaves the active document as it is, just as if the publication had been
                // evaluated on arrival.
                Some(publication) => drop(self.evaluate(offset, &publication)),
                None => self.known_to = self.known_to.max(offset + 1),
            }
        }
    }

    /// Adopts the active document of another node if it is newer; returns whether it was.
    pub fn adopt(&mut self, other: ActiveDocument) -> bool {
        if other.revision <= self.current.revision {
            return false;
        }
        // The document was active right after its own record, which is at offset `revision - 1`.
        self.known_to = self.known_to.max(other.revision.0);
        self.current = Arc::new(other);
        self.evaluate_pending();
        true
    }
}

fn active_document(
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
