//! Rebuilds programs from their records.

use std::{collections::BTreeMap, time::Duration};

use rosethread_program::Recovery;
use rosethread_types::{Position, ProgramId};

use crate::{Batch, Journal, JournalError, Record};

/// The most batches kept while several programs are recovered together.
const CACHED_BATCHES: usize = 64;

impl Journal {
    /// Reads the records of `program` that count and folds them.
    ///
    /// The caller has read its own claim back before, so nothing of an earlier owner is missing.
    pub async fn recover(&self, program: &ProgramId) -> Result<Recovery, JournalError> {
        let mut cache = BTreeMap::new();
        self.recover_with(program, &mut cache).await
    }

    /// Recovers several programs, reading a batch that they share once.
    pub async fn recover_all(&self, programs: &[ProgramId]) -> Result<Vec<Recovery>, JournalError> {
        let mut cache = BTreeMap::new();
        let mut recoveries = Vec::with_capacity(programs.len());
        for program in programs {
            recoveries.push(self.recover_with(program, &mut cache).await?);
        }
        Ok(recoveries)
    }

    async fn recover_with(
        &self,
        program: &ProgramId,
        cache: &mut BTreeMap<u64, Option<Batch>>,
    ) -> Result<Recovery, JournalError> {
        let positions =
            self.fold().program(program).map(|it| it.positions.clone()).unwrap_or_default();
        let mut recovery = Recovery::default();
        for position in positions {
            let offset = position.offset();
            if !cache.contains_key(&offset) {
                if CACHED_BATCHES <= cache.len() {
                    cache.pop_first();
                }
                let batch = self.read_batch(offset).await?;
                cache.insert(offset, batch);
            }
            apply(&mut recovery, program, position, cache.get(&offset).and_then(Option::as_ref));
        }
        Ok(recovery)
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

fn apply(recovery: &mut Recovery, program: &ProgramId, position: Position, batch: Option<&Batch>) {
    let record = batch.and_then(|it| it.records.get(position.index()));
    if let Some(Record::Program { program: it, event, .. }) = record
        && it == program
    {
        recovery.apply(event.clone());
    }
}
