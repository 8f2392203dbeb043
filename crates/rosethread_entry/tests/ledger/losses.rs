//! What programs get whose shard's owner was lost.

use rosethread_entry::{GrantId, GrantRequest, Ledger, LedgerRecord, Verdict};
use rosethread_types::Incarnation;

use crate::{
    BUDGETS, NOW, SHORT_TOKENS, TURN_TOKENS,
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
    };
    assert_eq!(ledger.request_grant(&ask, NOW), Verdict::Record(4 * TURN_TOKENS));
    assert_eq!(ledger.balance(&ask.program).uncertain, 3 * TURN_TOKENS);
}
