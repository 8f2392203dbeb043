//! The record that carries a document to the nodes.

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
    /// revision is still active.
    pub base: Revision,
    /// The operator who published the document.
    pub author: String,
    /// A random string that distinguishes a retried append from a second publication.
    pub nonce: String,
    /// The time at which the record was written, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// The revision that this record repeats, absent for a new document. Nodes repeat the active
    /// document so that it does not expire with the log's retention.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeats: Option<Revision>,
    /// For a repetition, the offset up to which its writer knew all records, exclusive.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_to: Option<u64>,
    /// The document as TOML.
    pub document: String,
}
