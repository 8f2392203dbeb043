//! Which target to drain, and which targets receive its programs.
//!
//! Follows "Repacking Volcano Heterogeneous Resources": choose the unit that is cheapest to drain
//! completely, count whole workloads, limit the moves per round, and plan again after each choice,
//! because every move uses up receiving capacity. `docs/design/decisions.md` says where this is
//! used and which measurement supports it.

/// One target that takes part in a plan, as a source or as a receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainCandidate {
    /// The cached tokens of each program placed on the target.
    pub programs: Vec<u64>,
    /// The number of programs that the target can hold.
    pub capacity: usize,
    /// Whether the target may be drained.
    pub can_drain: bool,
}

/// The move of one program in a plan; targets are given by their index in the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgramMove {
    /// The index of the drained target.
    pub from: usize,
    /// The index of the program in the drained target's list.
    pub program: usize,
    /// The index of the target that receives the program.
    pub to: usize,
}

/// Plans to drain one target with at most `max_moves` moves.
///
/// Prefers the target with the fewest programs, then the fewest cached tokens. Returns `None` if no
/// target can be drained within the limit and the free capacity of the others. Empty targets
/// receive nothing.
pub fn plan_drain(targets: &[DrainCandidate], max_moves: usize) -> Option<Vec<ProgramMove>> {
    let candidates = targets.iter().enumerate().filter(|(_, it)| it.can_drain);
    let feasible = candidates.filter(|(index, it)| {
        let room: usize = receivers(targets, *index).map(|to| free_capacity(&targets[to])).sum();
        it.programs.len() <= max_moves && it.programs.len() <= room
    });
    let cost = |it: &DrainCandidate| (it.programs.len(), it.programs.iter().sum::<u64>());
    let (from, target) = feasible.min_by_key(|(index, it)| (cost(it), *index))?;
    let mut room: Vec<usize> = targets.iter().map(free_capacity).collect();
    let mut moves = Vec::with_capacity(target.programs.len());
    for program in 0..target.programs.len() {
        // Filling the fullest receiver first keeps the others cheap to drain.
        let to = receivers(targets, from).filter(|to| 0 < room[*to]).min_by_key(|to| room[*to])?;
        room[to] -= 1;
        moves.push(ProgramMove { from, program, to });
    }
    Some(moves)
}

fn free_capacity(target: &DrainCandidate) -> usize {
    target.capacity.saturating_sub(target.programs.len())
}

fn receivers(targets: &[DrainCandidate], from: usize) -> impl Iterator<Item = usize> {
    (0..targets.len()).filter(move |to| *to != from && !targets[*to].programs.is_empty())
}
