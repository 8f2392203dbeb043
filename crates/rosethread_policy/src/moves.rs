//! Which target to empty, and where its programs go.
//!
//! The idea is the paper's ("Repacking Volcano Heterogeneous Resources"): choose the unit that is
//! cheapest to empty as a whole, counting whole workloads, within a cap per round, and plan again
//! after each choice because receiving capacity shrinks. `docs/design/decisions.md` says where it
//! is used and what measurement supports it.

/// The load of one target that takes part in a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainCandidate {
    /// The cached tokens of each program at home there.
    pub programs: Vec<u64>,
    /// Programs that the target can hold.
    pub capacity: usize,
    /// Whether the target may be emptied.
    pub can_drain: bool,
}

/// One program's move in a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgramMove {
    /// The position of the target that is emptied.
    pub from: usize,
    /// The position of the program there.
    pub program: usize,
    /// The position of the target that receives it.
    pub to: usize,
}

/// Plans to empty one target, moving at most `cap` programs; returns nothing if none can be.
pub fn plan_drain(loads: &[DrainCandidate], cap: usize) -> Option<Vec<ProgramMove>> {
    let candidates = loads.iter().enumerate().filter(|(_, it)| it.can_drain);
    let feasible = candidates.filter(|(index, it)| {
        let room: usize = receivers(loads, *index).map(|to| free(&loads[to])).sum();
        it.programs.len() <= cap && it.programs.len() <= room
    });
    let cost = |it: &DrainCandidate| (it.programs.len(), it.programs.iter().sum::<u64>());
    let (from, load) = feasible.min_by_key(|(index, it)| (cost(it), *index))?;
    let mut room: Vec<usize> = loads.iter().map(free).collect();
    let mut moves = Vec::with_capacity(load.programs.len());
    for program in 0..load.programs.len() {
        // The fullest receiver that still has room keeps the others easy to empty.
        let to = receivers(loads, from).filter(|to| 0 < room[*to]).min_by_key(|to| room[*to])?;
        room[to] -= 1;
        moves.push(ProgramMove { from, program, to });
    }
    Some(moves)
}

fn free(load: &DrainCandidate) -> usize {
    load.capacity.saturating_sub(load.programs.len())
}

fn receivers(loads: &[DrainCandidate], from: usize) -> impl Iterator<Item = usize> {
    (0..loads.len()).filter(move |to| *to != from && !loads[*to].programs.is_empty())
}
