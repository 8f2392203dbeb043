//! The slots of one target, granted to waiting calls in the order that the policy chooses.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rosethread_policy::{FairShares, QueuedCall, Strategy, select_next_call};
use rosethread_types::MemberName;
use serde::{Deserialize, Serialize};
use tokio::{sync::oneshot, time::Instant};

/// A call's request for a slot, with what the policy needs to order it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The member on whose behalf the call runs.
    pub member: MemberName,
    /// The member's weight in fair sharing.
    pub share: u32,
    /// The priority of the call's class.
    pub priority: i32,
    /// Whether the class has reserved slots.
    pub reserved: bool,
    /// The most tokens that the call can consume.
    pub tokens: u64,
}

/// A call that waits for a slot.
struct Waiter {
    request: SlotRequest,
    since: Instant,
    grant: oneshot::Sender<Permit>,
}

#[derive(Default)]
struct PoolState {
    slots: u32,
    strategy: Strategy,
    running: u32,
    waiting: Vec<Waiter>,
    shares: FairShares,
}

/// The slots of a target at the node that grants them.
#[derive(Default)]
pub(crate) struct SlotPool {
    state: Mutex<PoolState>,
}

/// A slot in use; dropping it frees the slot.
pub(crate) struct Permit {
    slots: Option<Arc<SlotPool>>,
}

impl SlotPool {
    fn state(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().expect("no code panics while it holds the slots")
    }

    /// Sets the number of slots and the strategy.
    pub(crate) fn configure(&self, slots: u32, strategy: Strategy) {
        let mut state = self.state();
        state.slots = slots;
        state.strategy = strategy;
    }

    /// Returns the numbers of running and waiting calls.
    pub(crate) fn load(&self) -> (u32, u32) {
        let state = self.state();
        let waiting = state.waiting.iter().filter(|it| !it.grant.is_closed()).count();
        (state.running, waiting as u32)
    }

    /// Waits for a slot; dropping the future leaves the queue.
    pub(crate) async fn acquire(self: &Arc<SlotPool>, request: SlotRequest) -> Permit {
        let (grant, granted) = oneshot::channel();
        self.state().waiting.push(Waiter { request, since: Instant::now(), grant });
        self.grant_next();
        granted.await.expect("a waiter is dropped only after its grant")
    }

    /// Grants free slots to the calls that the policy chooses.
    fn grant_next(self: &Arc<SlotPool>) {
        while let Some(waiter) = self.dequeue() {
            // If the waiter was dropped the slot is released here. Dropping the permit would call
            // `grant_next` recursively.
            let permit = Permit { slots: Some(self.clone()) };
            if let Err(permit) = waiter.grant.send(permit) {
                permit.release_without_grant();
            }
        }
    }

    fn dequeue(&self) -> Option<Waiter> {
        let mut state = self.state();
        let state = &mut *state;
        state.waiting.retain(|it| !it.grant.is_closed());
        if state.waiting.is_empty() {
            return None;
        }
        let now = Instant::now();
        let waiting: Vec<QueuedCall> =
            state.waiting.iter().map(|it| it.to_queued_call(now)).collect();
        let index =
            select_next_call(state.strategy, &waiting, &state.shares, state.running, state.slots)?;
        let waiter = state.waiting.remove(index);
        let request = &waiter.request;
        state.shares.advance(&request.member);
        state.shares.charge(&request.member, request.share, request.tokens);
        state.running += 1;
        Some(waiter)
    }

    fn release(&self) {
        let mut state = self.state();
        state.running = state.running.saturating_sub(1);
    }
}

impl Waiter {
    fn to_queued_call(&self, now: Instant) -> QueuedCall {
        QueuedCall {
            member: self.request.member.clone(),
            priority: self.request.priority,
            reserved: self.request.reserved,
            waited_s: (now - self.since).max(Duration::ZERO).as_secs_f64(),
        }
    }
}

impl Permit {
    /// Frees the slot without granting it to the next call, for use inside `grant_next`.
    fn release_without_grant(mut self) {
        if let Some(slots) = self.slots.take() {
            slots.release();
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(slots) = self.slots.take() {
            slots.release();
            slots.grant_next();
        }
    }
}
