//! The log record that carries the operators' configuration document to the nodes.

use rosethread_types::Revision;
use serde::{Deserialize, Serialize};

/// A record of the configuration stream: a new document from an operator, or the repetition of the
/// active document by a node.
///
/// Records are JSON, so that operators can read the stream without special tools.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publication {
    /// The revision that the document was edited from. The publication takes effect only if this
    /// revision is still active just before the record; a repetition does not depend on it.
    pub base: Revision,
    /// The operator who published the document.
    pub author: String,
    /// A string that no other publication has; a repetition carries that of its document. A
    /// publication with the active document's nonce comes from a retried append and has no effect.
    pub nonce: String,
    /// When the record was written, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// The revision that this record repeats, absent for a new document. Nodes repeat the active
    /// document so that it does not expire with the log's retention.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeats: Option<Revision>,
    /// For a repetition, the offset up to which its writer knew all records, exclusive; if absent,
    /// the offset just after the document's own record. A reader that did not see these
    /// records, because they have expired, takes them as evaluated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_to: Option<u64>,
    /// The document as TOML.
    pub document: String,
}
