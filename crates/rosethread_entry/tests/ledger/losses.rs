//! What programs get whose shard's owner was lost.

use std::time::Duration;

use rosethread_entry::{GrantId, GrantRequest, Ledger, LedgerRecord, Verdict};
use rosethread_types::{Incarnation, ProgramLabel};

use crate::{
    BUDGETS, LATER, NOW, SHORT_TOKENS, TURN_TOKENS,
    shard::{Shard, budget_of},
};

/// A program begins after its shard's owner was lost `losses` times, and runs turns, each of which uses
/// `share` percent of its tokens, until its budget is reported as spent.
fn check_later_program(losses: u64, share: u64) {
    let mut shard = Shard::default();
    for _ in 0..=losses {
        shard.claim(&[]);
    }
    let program = BUDGETS.len() - 1;
    loop {
        let granted = shard.granted.len();
        let (owner, ask) = shard.send(0, program, TURN_TOKENS);
        shard.request_grant(owner, program, ask.clone());
        shard.flush(owner);
        if shard.granted.len() == granted {
            let verdict = shard.owners[owner].ledger.request_grant(&ask, NOW);
            assert_eq!(verdict, Verdict::Spent, "after {} turns", granted);
            break;
        }
        shard.end(0, share, |_, owner| vec![owner]);
    }
    let settled = shard.settled_tokens(program);
    assert!(budget_of(program) < settled + TURN_TOKENS, "stopped at {settled} tokens");
    assert!(settled <= budget_of(program), "got {settled} tokens");
}

rosethread_cases::cases!(check_later_program {
    a_program_has_its_whole_budget: (0, 50);
    // Guards against status 503 for good: each program that began after the loss of an owner was taken for
    // one that may have got a third of its budget without a record.
    a_program_that_begins_after_a_loss_has_its_whole_budget: (1, 50);
    a_program_of_full_turns_that_begins_after_a_loss_has_its_whole_budget: (1, 100);
    a_program_that_begins_after_three_losses_has_its_whole_budget: (3, 50);
});

/// A program gets a first turn that no record contains, then a new owner's turns until that one is lost
/// too, and then a third owner's. All turns use all of their tokens, and what an owner recorded during its
/// last turn is lost.
fn check_unrecorded_turn(first: u64, later: u64, last: u64) {
    let mut shard = Shard::default();
    let program = BUDGETS.len() - 1;
    for (tokens, turns) in [(first, 1), (later, 5), (last, 100)] {
        shard.claim(&[]);
        for turn in 1..=turns {
            let (owner, ask) = shard.send(0, program, tokens);
            shard.request_grant(owner, program, ask);
            if turn != turns {
                shard.flush(owner);
            }
            shard.end(0, 100, |_, owner| vec![owner]);
        }
    }
    let (got, most) = (shard.max_spent(program), budget_of(program) + shard.longest_turn(program));
    assert!(got <= most, "got {got} of {most}");
    assert!(budget_of(program) - 4 * TURN_TOKENS <= got, "got {got}");
}

rosethread_cases::cases!(check_unrecorded_turn {
    a_budget_holds_after_an_unrecorded_turn: (TURN_TOKENS, TURN_TOKENS, TURN_TOKENS);
    // Guards against an exceeded budget: an unrecorded turn and the uncertain tokens of a later loss each let
    // the program exceed its budget by a turn.
    a_budget_holds_after_an_unrecorded_turn_and_short_ones: (TURN_TOKENS, SHORT_TOKENS, TURN_TOKENS);
    a_budget_holds_after_a_short_unrecorded_turn: (SHORT_TOKENS, TURN_TOKENS, SHORT_TOKENS);
});

// Guards against an exceeded budget while hosts are replaced in turn: owners of the last release grant a
// third of a budget without a record.
#[test]
fn a_lost_owner_of_the_last_release_may_have_granted_a_third() {
    let mut ledger = Ledger::default();
    let owner = "n".parse().unwrap();
    ledger.replay(&LedgerRecord::Claim { epoch: 1, owner, run: Incarnation(1) });
    let ask = GrantRequest {
        program: "p".parse().unwrap(),
        session: "s".parse().unwrap(),
        request: "r".parse().unwrap(),
        budget: 9 * TURN_TOKENS,
        tokens: TURN_TOKENS,
        grant: GrantId(1),
        is_stored: false,
    };
    assert_eq!(ledger.request_grant(&ask, NOW), Verdict::Record(4 * TURN_TOKENS));
    assert_eq!(ledger.balance(&ask.program).uncertain, 3 * TURN_TOKENS);
}

/// Requests a turn from the newest owner, and returns whether it was granted; otherwise the budget has to be
/// reported as spent.
fn is_granted(shard: &mut Shard, program: usize) -> bool {
    let granted = shard.granted.len();
    let (owner, ask) = shard.send(0, program, TURN_TOKENS);
    shard.request_grant(owner, program, ask.clone());
    shard.flush(owner);
    if shard.granted.len() == granted {
        let verdict = shard.owners[owner].ledger.request_grant(&ask, LATER);
        assert_eq!(verdict, Verdict::Spent, "after {granted} turns");
        return false;
    }
    true
}

/// A program runs stored turns one after the other, each of which uses `share` percent of its tokens, until its
/// budget is reported as spent. Its owner is lost before the turns `losses`, or during them if `is_midway`.
fn check_underway(losses: &[usize], share: u64, is_midway: bool) {
    let mut shard = Shard::default();
    shard.claim(&[]);
    shard.is_stored = true;
    let program = BUDGETS.len() - 1;
    for turn in 0.. {
        if losses.contains(&turn) && !is_midway {
            shard.claim(&[]);
        }
        if !is_granted(&mut shard, program) {
            break;
        }
        if losses.contains(&turn) && is_midway {
            shard.claim(&[]);
        }
        // The settlement reaches the host that owns the shard by then.
        shard.end(0, share, |shard, _| vec![shard.position(0)]);
        shard.flush(shard.position(0));
    }
    let (got, budget) = (shard.settled_tokens(program), budget_of(program));
    assert!(budget < got + TURN_TOKENS, "stopped at {got} tokens of {budget}");
    assert!(got <= budget + TURN_TOKENS, "got {got} tokens of {budget}");
}

rosethread_cases::cases!(check_underway {
    // Guards against status 503 for good: what a ceiling was above its use counted as uncertain, so programs
    // under way when their owner was lost never got the last turns of their budgets.
    a_program_has_its_whole_budget_after_a_loss_between_turns: (&[2], 50, false);
    a_program_has_its_whole_budget_after_a_loss_before_its_first_turn: (&[0], 50, false);
    a_program_has_its_whole_budget_after_a_late_loss: (&[17], 50, false);
    a_program_has_its_whole_budget_after_losses_in_a_row: (&[2, 3, 9, 14], 50, false);
    a_program_of_full_turns_has_its_whole_budget_after_losses: (&[1, 4, 9], 100, false);
    a_program_has_its_whole_budget_after_a_loss_during_a_turn: (&[2], 50, true);
    a_program_has_its_whole_budget_after_losses_during_turns: (&[2, 5, 6], 50, true);
});

/// When an owner is lost during a turn, and what the log and the next owners hear of the turn's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// The turn ends after the loss.
    BeforeEnd,
    /// The owner knew of the end, and is lost before the log does.
    BeforeRecord,
    /// The log has the end, and the owner is lost before it tells the carrier.
    BeforeReply,
    /// The next owner is lost as well before the log has the end.
    Twice,
    /// The carrier reports the end to the next owner while the lost one still runs, and grants.
    Frozen,
}

/// A program runs stored turns one after the other, each of which uses half of its tokens, until its budget is
/// reported as spent. Its owner is lost during each of the turns `losses`, whose carriers live.
fn check_carried(losses: &[usize], loss: Loss) {
    let mut shard = Shard::default();
    shard.claim(&[]);
    shard.is_stored = true;
    let program = BUDGETS.len() - 1;
    for turn in 0.. {
        if !is_granted(&mut shard, program) {
            break;
        }
        let is_lost = losses.contains(&turn);
        if is_lost && loss == Loss::BeforeEnd {
            shard.claim(&[]);
        }
        let ended = shard.granted.len() - 1;
        shard.end(0, 50, |shard, _| vec![shard.position(0)]);
        if is_lost && loss == Loss::BeforeReply {
            shard.flush(shard.position(0));
        }
        if is_lost && loss != Loss::BeforeEnd {
            shard.claim(&[]);
            shard.report_held(ended, shard.position(0));
        }
        if is_lost && loss == Loss::Twice {
            shard.claim(&[]);
            shard.report_held(ended, shard.position(0));
        }
        if is_lost && loss == Loss::Frozen {
            let (owner, ask) = shard.send(1, program, TURN_TOKENS);
            shard.request_grant(owner, program, ask);
            shard.flush(owner);
        }
        shard.flush(shard.position(0));
    }
    let (got, budget) = (shard.max_spent(program), budget_of(program));
    assert!(budget < got + TURN_TOKENS, "stopped at {got} tokens of {budget}");
    assert!(got <= budget + TURN_TOKENS, "got {got} tokens of {budget}");
}

rosethread_cases::cases!(check_carried {
    // Guards against status 503 for good: the next owner did not know the turns that lost owners had granted, and
    // each further loss cost a program what its turn did not use.
    a_program_whose_turns_outlive_their_owners_has_its_budget: (&[2, 5, 6, 9, 12], Loss::BeforeEnd);
    a_program_whose_owners_recorded_no_ends_has_its_budget: (&[2, 5, 6, 9, 12], Loss::BeforeRecord);
    a_program_whose_owners_confirmed_no_ends_has_its_budget: (&[2, 5, 6, 9, 12], Loss::BeforeReply);
    a_program_that_loses_two_owners_in_a_turn_has_its_budget: (&[2, 5, 6, 9, 12], Loss::Twice);
    // Guards against an exceeded budget: both owners return what the turn did not use.
    a_frozen_owner_returns_nothing_that_the_next_one_does: (&[2, 5, 6, 9, 12], Loss::Frozen);
});

// An owner that was not told of an end in time counts it all the same.
#[test]
fn a_lost_turn_is_settled_when_its_end_is_reported() {
    let mut shard = Shard::default();
    shard.claim(&[]);
    shard.is_stored = true;
    let (owner, ask) = shard.send(0, 2, TURN_TOKENS);
    shard.request_grant(owner, 2, ask.clone());
    shard.flush(owner);
    assert_eq!(shard.owners[owner].ledger.expire_grants(LATER, LATER), 1);
    shard.end(0, 30, |_, owner| vec![owner]);
    shard.flush(owner);
    let balance = shard.owners[owner].ledger.balance(&ask.program);
    assert_eq!((balance.spent, balance.open), (30, 0));
}

/// A new owner is asked for a turn `after` the claim, when earlier owners may have granted the rest of the budget,
/// of which `open` tokens are reserved for a turn that is handed over.
fn check_uncertain(after: Duration, open: u64, expected: &Verdict) {
    let program: ProgramLabel = "p".parse().unwrap();
    let budget = 4 * TURN_TOKENS;
    let mut ledger = Ledger::default();
    let tokens = budget + TURN_TOKENS;
    ledger.replay(&LedgerRecord::Ceiling { program: program.clone(), budget, spent: 50, tokens });
    if open != 0 {
        let (program, request) = (program.clone(), "open".parse().unwrap());
        ledger.replay(&LedgerRecord::Open { program, request, grant: GrantId(2), tokens: open });
    }
    ledger.reset_last_used(NOW);
    ledger.set_settled_by(LATER);
    let ask = GrantRequest {
        program,
        session: "s".parse().unwrap(),
        request: "r".parse().unwrap(),
        budget,
        tokens: TURN_TOKENS,
        grant: GrantId(1),
        is_stored: true,
    };
    assert_eq!(ledger.request_grant(&ask, NOW + after), *expected);
}

rosethread_cases::cases!(check_uncertain {
    tokens_of_a_lost_owner_are_uncertain_while_its_turns_may_be_under_way:
        (LATER / 2, 0, &Verdict::Uncertain);
    // Guards against status 503 for good, which tells callers to come back though nothing can change.
    tokens_of_a_lost_owner_count_as_spent_once_its_turns_have_ended: (LATER, 0, &Verdict::Spent);
    a_turn_under_way_that_cannot_return_enough_leaves_them_spent: (LATER, 50, &Verdict::Spent);
    a_turn_under_way_that_may_return_enough_is_waited_for: (LATER, 400, &Verdict::Uncertain);
});

// Guards against status 503 for good: the turns of a host that was lost were never settled at their owner.
#[test]
fn turns_that_nobody_settles_count_as_spent() {
    let mut shard = Shard::default();
    shard.claim(&[]);
    let (owner, ask) = shard.send(0, 2, TURN_TOKENS);
    shard.request_grant(owner, 2, ask.clone());
    let ledger = &mut shard.owners[owner].ledger;
    let longest = Duration::from_secs(10);
    assert_eq!(ledger.expire_grants(longest / 2, longest), 0);
    assert_eq!(ledger.balance(&ask.program).open, TURN_TOKENS);
    assert_eq!(ledger.expire_grants(longest, longest), 1);
    let balance = ledger.balance(&ask.program);
    assert_eq!((balance.spent, balance.open), (TURN_TOKENS, 0));
}

// Guards against status 402 for a budget that is not spent: a ledger that was transferred without the log
// counted as spent what earlier owners may have granted.
#[test]
fn a_transfer_leaves_uncertain_tokens_uncertain() {
    let program: ProgramLabel = "p".parse().unwrap();
    let budget = 2 * TURN_TOKENS;
    let mut ledger = Ledger::default();
    ledger.replay(&LedgerRecord::Unrecorded { program: program.clone(), budget });
    ledger.replay(&LedgerRecord::Ceiling {
        program: program.clone(),
        budget,
        spent: 0,
        tokens: budget,
    });
    let copy = ledger.close_for_transfer(NOW);
    let balance = copy.balance(&program);
    assert_eq!((balance.spent, balance.uncertain), (0, budget));
}
