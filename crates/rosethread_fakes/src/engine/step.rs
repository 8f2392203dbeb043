//! The steps of a fake engine: each computes a chunk of prefill, and generates one token for each
//! sequence whose prompt is computed.

use std::{sync::Arc, time::Duration};

use rosethread_platform::{EngineEvent, TargetError};
use rosethread_types::Tokens;
use tokio::{
    sync::mpsc::error::TrySendError,
    time::{Instant, sleep},
};

use crate::{
    FakeEngine,
    engine::{Sequence, State},
    oracle,
};

/// Runs the engine's steps in a loop; never returns.
pub(super) async fn run(engine: Arc<FakeEngine>) {
    loop {
        let duration = plan_step(&engine);
        match duration {
            Some(duration) => {
                sleep(duration).await;
                run_step(&engine);
            }
            None => engine.work_arrived.notified().await,
        }
    }
}

/// Fills the batch and returns the duration of its next step, or `None` if there is no work.
fn plan_step(engine: &FakeEngine) -> Option<Duration> {
    let mut state = engine.state();
    if state.faults.hang || state.faults.down {
        state.retain(|it| !it.sender.is_closed());
        if state.faults.down {
            fail_all(&mut state);
        }
        let is_idle = state.running.is_empty() && state.waiting.is_empty();
        return (!is_idle).then_some(engine.config.base_step);
    }
    state.retain(|it| !it.sender.is_closed());
    while state.running.len() < engine.config.slots {
        let Some((_, sequence)) = state.waiting.pop_first() else {
            break;
        };
        state.running.push(sequence);
    }
    if state.running.is_empty() {
        return None;
    }
    let prefill: Tokens = state.running.iter().map(|it| it.to_prefill).sum();
    let prefill = prefill.min(engine.config.prefill_chunk);
    let prefill_s = prefill as f64 / f64::from(engine.config.prefill_rate.max(1));
    let step = engine.config.base_step + engine.config.per_sequence * state.running.len() as u32;
    let step = step + Duration::from_secs_f64(prefill_s);
    Some(step * state.faults.slow_factor.max(1))
}

/// Ends all streams with an error.
fn fail_all(state: &mut State) {
    for sequence in state.running.iter().chain(state.waiting.values()) {
        let error = TargetError::ResponseFailed("the engine went down".to_owned());
        let _ = sequence.sender.try_send(Err(error));
    }
    state.retain(|_| false);
}

/// Does the work of one step.
fn run_step(engine: &FakeEngine) {
    let mut state = engine.state();
    if state.faults.hang || state.faults.down {
        return;
    }
    prefill(&mut state, engine.config.prefill_chunk);
    let state = &mut *state;
    if state.faults.misroute_events {
        rotate_clients(&mut state.running);
    }
    let mut finished = Vec::new();
    for (index, sequence) in state.running.iter_mut().enumerate() {
        if sequence.to_prefill != 0 {
            continue;
        }
        let is_finished = decode(sequence, state.faults.truncate_after);
        state.records[sequence.record].generated = sequence.generated;
        if is_finished {
            finished.push(index);
        }
    }
    for index in finished.into_iter().rev() {
        let sequence = state.running.swap_remove(index);
        state.records[sequence.record].ended = Some(Instant::now());
        let request = &sequence.request;
        // The prompt is a JSON array that the next turn extends, so what both share ends before the
        // closing bracket.
        let prompt = request.messages.trim_end_matches(']').as_bytes();
        state.cache.insert(prompt, &request.program);
        state.exportable.insert(request.program.clone(), prompt.to_vec());
    }
}

/// Connects each running sequence to the client of its neighbour in the batch.
fn rotate_clients(running: &mut [Sequence]) {
    for index in 1..running.len() {
        let (left, right) = running.split_at_mut(index);
        std::mem::swap(&mut left[index - 1].sender, &mut right[0].sender);
    }
}

/// Computes up to `chunk` prompt tokens, for the sequences in batch order.
fn prefill(state: &mut State, chunk: Tokens) {
    let mut budget = chunk;
    for sequence in &mut state.running {
        let part = sequence.to_prefill.min(budget);
        sequence.to_prefill -= part;
        budget -= part;
    }
}

/// Generates one token; returns whether the sequence has finished, failed or lost its client.
fn decode(sequence: &mut Sequence, truncate_after: Tokens) -> bool {
    if sequence.generated < sequence.limit {
        let text = oracle::token_text(sequence.digest, sequence.generated);
        sequence.generated += 1;
        sequence.text.push_str(&text);
        let event = EngineEvent::Text {
            attempt: sequence.request.attempt,
            text,
            tokens: sequence.generated,
        };
        if !send(sequence, Ok(event)) {
            return true;
        }
    }
    if truncate_after != 0 && truncate_after <= sequence.generated {
        let error = TargetError::ResponseFailed("the engine broke the stream off".to_owned());
        send(sequence, Err(error));
        return true;
    }
    if sequence.generated < sequence.limit {
        return false;
    }
    let usage = sequence.usage();
    send(sequence, Ok(EngineEvent::Done(usage)));
    true
}

/// Sends an event; returns false if the client left, or if its buffer is full.
fn send(sequence: &Sequence, event: Result<EngineEvent, TargetError>) -> bool {
    match sequence.sender.try_send(event) {
        Ok(()) => true,
        Err(TrySendError::Full(_) | TrySendError::Closed(_)) => false,
    }
}
