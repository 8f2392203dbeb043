//! An index of the journal: applies batches in log order and decides which records are accepted.

use std::collections::BTreeMap;

use rosethread_program::Event;
use rosethread_types::{Epoch, Incarnation, NodeName, Position, ProgramId, TargetName};

use crate::{Batch, Record};

/// The decision on one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The record is accepted; the program or target has this epoch afterwards.
    Accepted(Epoch),
    /// The record is ignored, because another claim came first in the log.
    Fenced {
        /// The current owner.
        owner: NodeName,
        /// The current epoch.
        epoch: Epoch,
    },
}

/// The index entry of one program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexedProgram {
    /// The node that claimed the program last.
    pub owner: NodeName,
    /// The epoch of that claim.
    pub epoch: Epoch,
    /// The positions of the accepted records, from the last checkpoint on.
    pub positions: Vec<Position>,
    /// When the oldest of these records was written, by its writer's clock, in milliseconds since
    /// the Unix epoch.
    pub oldest_ms: u64,
    /// When the newest of these records was written, by its writer's clock, in milliseconds since
    /// the Unix epoch.
    pub newest_ms: u64,
    /// Whether the program has ended.
    pub closed: bool,
    /// Whether engines have released all cached state of the ended program.
    pub released: bool,
    /// The end of the program's wall time, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// The index entry of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexedTarget {
    /// The node that claimed the target last.
    pub owner: NodeName,
    /// The epoch of that claim.
    pub epoch: Epoch,
}

/// The owners, epochs and record positions that follow from reading a journal stream in order.
///
/// It does not hold the programs themselves, and takes about a hundred bytes per program.
#[derive(Clone, Debug, Default)]
pub struct JournalIndex {
    programs: BTreeMap<ProgramId, IndexedProgram>,
    targets: BTreeMap<TargetName, IndexedTarget>,
    /// The number of the last batch from each writer, by which repeated appends are dropped.
    last_numbers: BTreeMap<(NodeName, Incarnation), u64>,
}

impl JournalIndex {
    /// Applies the batch at `offset` and returns the verdict on each record, or `None` if the batch
    /// repeats an earlier one.
    pub fn apply(&mut self, offset: u64, batch: &Batch) -> Option<Vec<Verdict>> {
        let writer = (batch.node.clone(), batch.incarnation);
        let last = self.last_numbers.entry(writer).or_default();
        if batch.number <= *last {
            return None;
        }
        *last = batch.number;
        let mut verdicts = Vec::with_capacity(batch.records.len());
        for (index, record) in batch.records.iter().enumerate().take(Position::MAX_BATCH) {
            let position = Position::new(offset, index);
            verdicts.push(self.apply_record(position, batch, record));
        }
        Some(verdicts)
    }

    fn apply_record(&mut self, position: Position, batch: &Batch, record: &Record) -> Verdict {
        match record {
            Record::Program { program, epoch, event } => match event {
                Event::Claimed(grant) => {
                    let expires_ms = grant.created_ms + grant.budget.wall.as_millis() as u64;
                    self.claim_program(position, batch, program, *epoch, expires_ms)
                }
                _ => self.apply_event(position, batch, program, *epoch, event),
            },
            Record::Target { target, epoch } => self.claim_target(position, batch, target, *epoch),
        }
    }

    fn claim_program(
        &mut self,
        position: Position,
        batch: &Batch,
        program: &ProgramId,
        replaced: Epoch,
        expires_ms: u64,
    ) -> Verdict {
        let epoch = Epoch::of_claim(position);
        match self.programs.get_mut(program) {
            Some(entry) if entry.epoch != replaced => {
                Verdict::Fenced { owner: entry.owner.clone(), epoch: entry.epoch }
            }
            Some(entry) => {
                entry.owner = batch.node.clone();
                entry.epoch = epoch;
                entry.positions.push(position);
                entry.newest_ms = batch.written_ms;
                entry.expires_ms = expires_ms;
                Verdict::Accepted(epoch)
            }
            None => {
                let entry = IndexedProgram {
                    owner: batch.node.clone(),
                    epoch,
                    positions: vec![position],
                    oldest_ms: batch.written_ms,
                    newest_ms: batch.written_ms,
                    closed: false,
                    released: false,
                    expires_ms,
                };
                self.programs.insert(program.clone(), entry);
                Verdict::Accepted(epoch)
            }
        }
    }

    fn apply_event(
        &mut self,
        position: Position,
        batch: &Batch,
        program: &ProgramId,
        epoch: Epoch,
        event: &Event,
    ) -> Verdict {
        let is_checkpoint = matches!(event, Event::Checkpoint { .. });
        let entry = self.programs.entry(program.clone()).or_insert_with(|| IndexedProgram {
            owner: batch.node.clone(),
            epoch,
            positions: Vec::new(),
            oldest_ms: batch.written_ms,
            newest_ms: batch.written_ms,
            closed: false,
            released: false,
            expires_ms: u64::MAX,
        });
        // A reader that starts after the claim has expired from the log infers the claim from the
        // checkpoint.
        if is_checkpoint && entry.epoch < epoch {
            entry.owner = batch.node.clone();
            entry.epoch = epoch;
        }
        if entry.epoch != epoch || entry.owner != batch.node {
            return Verdict::Fenced { owner: entry.owner.clone(), epoch: entry.epoch };
        }
        match event {
            Event::Checkpoint { grant, ended, .. } => {
                entry.positions.clear();
                entry.oldest_ms = batch.written_ms;
                entry.expires_ms = grant.created_ms + grant.budget.wall.as_millis() as u64;
                entry.closed = *ended;
            }
            Event::Closed => entry.closed = true,
            Event::Released => entry.released = true,
            _ => (),
        }
        entry.newest_ms = batch.written_ms;
        entry.positions.push(position);
        Verdict::Accepted(epoch)
    }

    fn claim_target(
        &mut self,
        position: Position,
        batch: &Batch,
        target: &TargetName,
        replaced: Epoch,
    ) -> Verdict {
        let epoch = Epoch::of_claim(position);
        if let Some(entry) = self.targets.get(target)
            && entry.epoch != replaced
        {
            return Verdict::Fenced { owner: entry.owner.clone(), epoch: entry.epoch };
        }
        self.targets.insert(target.clone(), IndexedTarget { owner: batch.node.clone(), epoch });
        Verdict::Accepted(epoch)
    }

    /// Returns the entry of `program`, if the journal mentions it.
    pub fn program(&self, program: &ProgramId) -> Option<&IndexedProgram> {
        self.programs.get(program)
    }

    /// Returns the entry of `target`, if it was ever claimed.
    pub fn target(&self, target: &TargetName) -> Option<&IndexedTarget> {
        self.targets.get(target)
    }

    /// Returns all programs, ordered by identifier.
    pub fn programs(&self) -> impl Iterator<Item = (&ProgramId, &IndexedProgram)> {
        self.programs.iter()
    }

    /// Removes programs whose wall time is over, since their continuations are no longer accepted.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.programs.retain(|_, it| now_ms < it.expires_ms);
    }
}
