//! Records and batches, and their encoding in the log.

use bytes::Bytes;
use rosethread_program::Event;
use rosethread_types::{Epoch, Incarnation, NodeName, ProgramId, TargetName};
use serde::{Deserialize, Serialize};

/// The version byte before each encoded batch.
const FORMAT_VERSION: u8 = 1;

/// One journalled fact.
#[expect(clippy::large_enum_variant, reason = "nearly all records are of the large variant")]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A change of a program, written by its owner.
    Program {
        /// The program.
        program: ProgramId,
        /// The writer's epoch; for [`Event::Claimed`], the epoch that the claim replaces.
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

/// The records of one append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The node that wrote the batch.
    pub node: NodeName,
    /// The run of that node's process.
    pub incarnation: Incarnation,
    /// The batch's number within the run, counted from one.
    ///
    /// An append is repeated under the same number when its acknowledgement is lost.
    pub number: u64,
    /// The writer's time, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// The records in order.
    pub records: Vec<Record>,
}

impl Batch {
    /// Encodes the batch for the log.
    pub fn encode(&self) -> Bytes {
        let bytes = vec![FORMAT_VERSION];
        let bytes = postcard::to_extend(self, bytes).expect("a batch serialises");
        bytes.into()
    }

    /// Decodes a batch, or returns nothing for foreign or damaged bytes.
    ///
    /// Readers skip what they cannot decode, all alike, so one bad append does no harm.
    pub fn decode(bytes: &[u8]) -> Option<Batch> {
        let (version, body) = bytes.split_first()?;
        if *version != FORMAT_VERSION {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}
