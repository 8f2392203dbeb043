//! Rebuilds programs from their records.

use std::time::Duration;

use rosethread_program::Recovery;
use rosethread_types::{Position, ProgramId};

use crate::{Batch, Journal, JournalError, Record};

/// A record to read: where it is, and which of the programs it belongs to.
struct Wanted {
    position: Position,
    program: usize,
}

impl Journal {
    /// Reads the records of `program` that count and folds them.
    ///
    /// The caller has read its own claim back before, so nothing of an earlier owner is missing.
    pub async fn recover(&self, program: &ProgramId) -> Result<Recovery, JournalError> {
        let programs = std::slice::from_ref(program);
        let recoveries = self.recover_all(programs).await?;
        Ok(recoveries.into_iter().next().unwrap_or_default())
    }

    /// Recovers several programs in one pass over the log, reading each batch once.
    pub async fn recover_all(&self, programs: &[ProgramId]) -> Result<Vec<Recovery>, JournalError> {
        let mut recoveries = vec![Recovery::default(); programs.len()];
        let wanted = self.wanted(programs);
        for group in wanted.chunk_by(|a, b| a.position.offset() == b.position.offset()) {
            // A batch that has expired held nothing that a checkpoint did not replace.
            let Some(batch) = self.read_batch(group[0].position.offset()).await? else {
                continue;
            };
            for it in group {
                apply(&mut recoveries[it.program], &programs[it.program], it.position, &batch);
            }
        }
        Ok(recoveries)
    }

    /// Returns the records of all `programs` in log order.
    fn wanted(&self, programs: &[ProgramId]) -> Vec<Wanted> {
        let fold = self.index();
        let mut wanted = Vec::new();
        for (index, program) in programs.iter().enumerate() {
            let positions = fold.program(program).map(|it| it.positions.as_slice());
            let positions = positions.unwrap_or_default().iter();
            wanted.extend(positions.map(|it| Wanted { position: *it, program: index }));
        }
        wanted.sort_by_key(|it| it.position);
        wanted
    }

    /// Reads one batch, or nothing if it has expired.
    async fn read_batch(&self, offset: u64) -> Result<Option<Batch>, JournalError> {
        let config = &self.shared.config;
        let read = self.shared.log.read(&config.stream, offset, 1, Duration::ZERO).await;
        let read = read.map_err(|_| JournalError::Unavailable)?;
        let entry = read.entries.first().filter(|it| it.offset == offset);
        Ok(entry.and_then(|it| Batch::decode(&it.data)))
    }
}

fn apply(recovery: &mut Recovery, program: &ProgramId, position: Position, batch: &Batch) {
    if let Some(Record::Program { program: it, event, .. }) = batch.records.get(position.index())
        && it == program
    {
        recovery.apply(event.clone());
    }
}
