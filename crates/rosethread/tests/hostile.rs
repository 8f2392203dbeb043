//! Callers that keep to no limit, against the real process: it lives, its memory and descriptors stay below
//! what its settings allow, and it answers an ordinary call afterwards.
//!
//! Nothing here depends on the speed of the machine: waits only end a test that hangs.

mod crowd;

use std::sync::{Mutex, MutexGuard, PoisonError};

use crowd::{BODY_BYTES, Deployment, Manner};

/// Far more than the largest body.
const FAR_OVER: usize = 64 * BODY_BYTES;

/// Held by the test that runs, as the peak of a process shows only what its own callers cause.
static TURN: Mutex<()> = Mutex::new(());

fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a crowd in one manner, and checks the process during and after it.
fn check(manner: Manner) {
    let _turn = take_turn();
    Deployment::run(async |it| {
        it.expect_answer(BODY_BYTES).await;
        let crowd = it.send_crowd(manner).await;
        let descriptors = it.descriptors();
        it.expect_answer(8).await;
        drop(crowd);
        it.expect_answer(BODY_BYTES).await;
        it.check_limits(manner, descriptors);
    });
}

rosethread_cases::cases!(check {
    bodies_that_stop_before_their_end: (
        Manner::Body { announced: BODY_BYTES, sent: BODY_BYTES - 1, piece: BODY_BYTES }
    );
    bodies_in_pieces_that_stop_before_their_end: (
        Manner::Body { announced: BODY_BYTES, sent: BODY_BYTES - 1, piece: 4 << 10 }
    );
    large_chunks_that_stop_before_their_end:
        (Manner::Chunks { sent: BODY_BYTES, size: 64 << 10 });
    small_chunks_that_stop_before_their_end:
        (Manner::Chunks { sent: BODY_BYTES / 4, size: 8 });
    bodies_far_over_the_limit_announced: (
        Manner::Body { announced: FAR_OVER, sent: FAR_OVER, piece: 64 << 10 }
    );
    bodies_far_over_the_limit_sent: (Manner::Chunks { sent: FAR_OVER, size: 64 << 10 });
    heads_without_end: (Manner::Head);
    connections_that_say_nothing: (Manner::Silent);
    answers_that_are_never_read: (Manner::Unread);
    many_requests_in_a_row_without_reading: (Manner::Pipeline { requests: 2_000 });
});
