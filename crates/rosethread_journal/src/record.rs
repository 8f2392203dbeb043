//! Records and batches, and how they are encoded in the log.

use bytes::Bytes;
use rosethread_program::Event;
use rosethread_types::{Epoch, Incarnation, NodeName, ProgramId, TargetName};
use serde::{Deserialize, Serialize};

/// The version byte at the start of each encoded batch.
const FORMAT_VERSION: u8 = 1;

/// One entry of a batch: a change of a program or a claim.
#[expect(clippy::large_enum_variant, reason = "nearly all records are of the large variant")]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A change of a program, written by its owner, or a claim of the program.
    Program {
        /// The program.
        program: ProgramId,
        /// The epoch in which the writer owns the program; for [`Event::Claimed`], the epoch that
        /// the claim replaces.
        epoch: Epoch,
        /// The change.
        event: Event,
    },
    /// A claim of a target.
    Target {
        /// The target.
        target: TargetName,
        /// The epoch that the claim replaces.
        epoch: Epoch,
    },
}

/// The records of one append to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The node that wrote the batch.
    pub node: NodeName,
    /// The incarnation of that node, which changes with each start of its process.
    pub incarnation: Incarnation,
    /// The batch's sequence number within the incarnation, counted from one.
    ///
    /// An append whose acknowledgement was lost is repeated under the same number, by which readers
    /// drop the duplicate.
    pub number: u64,
    /// The time on the writer's clock, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// The records, in the order of their submission.
    pub records: Vec<Record>,
}

impl Batch {
    /// Encodes the batch for the log: a version byte, then postcard.
    pub fn encode(&self) -> Bytes {
        let bytes = vec![FORMAT_VERSION];
        let bytes = postcard::to_extend(self, bytes).expect("a batch serialises");
        bytes.into()
    }

    /// Decodes a batch, or returns `None` for foreign or damaged bytes.
    ///
    /// All readers skip the same undecodable bytes, so a bad append does not make them disagree.
    pub fn decode(bytes: &[u8]) -> Option<Batch> {
        let (version, body) = bytes.split_first()?;
        if *version != FORMAT_VERSION {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}
