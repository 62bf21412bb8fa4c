//! Runs a stream: waits for a slot, computes the prompt, then generates one token after another.

use std::rc::Rc;

use crate::engine::state::State;
use crate::engine::stream::Phase;
use crate::engine::stream::Stream;
use crate::tokens::BLOCK_BYTES;
use crate::tokens::BYTES_PER_TOKEN;
use crate::tokens::Chat;
use crate::tokens::block_hashes;

/// Runs a new stream.
pub async fn start(state: Rc<State>, stream: Rc<Stream>, chat: Chat) {
    let Some(_slot) = state.batch.acquire(stream.priority).await else {
        return;
    };
    if stream.phase() != Phase::Running {
        return;
    }
    if stream.plan.crashes {
        state.crash();
        return;
    }
    let uncached = look_up_prompt(&state, &chat);
    let millis = state.config.prefill_ms as f64 * uncached as f64 / 1_000.0;
    state.work_for(millis).await;
    run(&state, &stream).await;
}

/// Resumes a parked stream without recomputing its prompt.
pub async fn resume(state: Rc<State>, stream: Rc<Stream>) {
    let Some(_slot) = state.batch.acquire(stream.priority).await else {
        return;
    };
    run(&state, &stream).await;
}

async fn run(state: &State, stream: &Stream) {
    stream.finish_if_complete();
    while stream.phase() == Phase::Running {
        state.work_for(state.config.token_ms as f64).await;
        if stream.phase() != Phase::Running {
            return;
        }
        stream.advance();
        state.counts.borrow_mut().generated_tokens += 1;
    }
}

/// Looks the prompt up in the cache, updates the counters and returns the prompt tokens to compute.
fn look_up_prompt(state: &State, chat: &Chat) -> u64 {
    let text = chat.text();
    let total = prompt_tokens(&text);
    let hits = state.cache.borrow_mut().touch(&block_hashes(&text));
    let cached = (hits * BLOCK_BYTES / BYTES_PER_TOKEN) as u64;
    let uncached = total.saturating_sub(cached);
    let mut counts = state.counts.borrow_mut();
    counts.cached_tokens += cached;
    counts.computed_tokens += uncached;
    if chat.plan().base > 0 {
        counts.recomputed_tokens += uncached;
    }
    uncached
}

/// Returns the number of tokens in a prompt.
pub fn prompt_tokens(text: &str) -> u64 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u64
}
