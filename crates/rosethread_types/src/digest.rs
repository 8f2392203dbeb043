//! Digests that chain the turns of a program's history.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// A SHA-256 digest over a chain of turns; the default is the digest of the empty chain.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Returns the digest of the chain that extends `self` by `parts`.
    ///
    /// Each part is hashed with its length before it, so that moving a byte from one part to the
    /// next changes the digest.
    #[must_use]
    pub fn chain(self, parts: &[&[u8]]) -> Digest {
        let mut hasher = Sha256::new();
        hasher.update(self.0);
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Digest(hasher.finalize().into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0[..6]))
    }
}
