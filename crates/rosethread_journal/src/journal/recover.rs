//! Rebuilds programs from their journal records.

use std::time::Duration;

use rosethread_program::Recovery;
use rosethread_types::{Position, ProgramId};

use crate::{Batch, Journal, JournalError, Record};

/// The position of a record, and the index of its program among those to recover.
struct RecordLocation {
    position: Position,
    program: usize,
}

impl Journal {
    /// Reads the accepted records of `program` and replays them.
    ///
    /// The caller must have read its own claim back, so that all records of earlier owners are
    /// indexed.
    pub async fn recover(&self, program: &ProgramId) -> Result<Recovery, JournalError> {
        let programs = std::slice::from_ref(program);
        let recoveries = self.recover_all(programs).await?;
        Ok(recoveries.into_iter().next().unwrap_or_default())
    }

    /// Recovers several programs in one pass over the log that reads each batch only once.
    pub async fn recover_all(&self, programs: &[ProgramId]) -> Result<Vec<Recovery>, JournalError> {
        let mut recoveries = vec![Recovery::default(); programs.len()];
        let locations = self.locations(programs);
        for group in locations.chunk_by(|a, b| a.position.offset() == b.position.offset()) {
            // Records of an expired batch have been replaced by a checkpoint.
            let Some(batch) = self.read_batch(group[0].position.offset()).await? else {
                continue;
            };
            for it in group {
                apply_record(
                    &mut recoveries[it.program],
                    &programs[it.program],
                    it.position,
                    &batch,
                );
            }
        }
        Ok(recoveries)
    }

    /// Returns the record locations of all `programs` in log order.
    fn locations(&self, programs: &[ProgramId]) -> Vec<RecordLocation> {
        let journal_index = self.index();
        let mut locations = Vec::new();
        for (index, program) in programs.iter().enumerate() {
            let positions = journal_index.program(program).map(|it| it.positions.as_slice());
            let positions = positions.unwrap_or_default().iter();
            locations.extend(positions.map(|it| RecordLocation { position: *it, program: index }));
        }
        locations.sort_by_key(|it| it.position);
        locations
    }

    /// Reads one batch, or returns `None` if it has expired.
    async fn read_batch(&self, offset: u64) -> Result<Option<Batch>, JournalError> {
        let config = &self.shared.config;
        let read = self.shared.log.read(&config.stream, offset, 1, Duration::ZERO).await;
        let read = read.map_err(|_| JournalError::Unavailable)?;
        let entry = read.entries.first().filter(|it| it.offset == offset);
        Ok(entry.and_then(|it| Batch::decode(&it.data)))
    }
}

fn apply_record(recovery: &mut Recovery, program: &ProgramId, position: Position, batch: &Batch) {
    if let Some(Record::Program { program: it, event, .. }) = batch.records.get(position.index())
        && it == program
    {
        recovery.apply(event.clone());
    }
}
