//! A document on its way to the nodes.

use rosethread_types::Revision;
use serde::{Deserialize, Serialize};

/// What an operator appends to the configuration stream.
///
/// It is JSON, so that an operator can read the stream without our tools.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publication {
    /// The revision that the operator edited.
    pub base: Revision,
    /// Who published.
    pub author: String,
    /// A random text that tells a repeated append from a second publication.
    pub nonce: String,
    /// The time of publication, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// The revision that this repeats, so that retention does not take it; absent for a new one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeats: Option<Revision>,
    /// With a repetition, the offset up to which its writer had read the stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_to: Option<u64>,
    /// The document's text.
    pub document: String,
}
