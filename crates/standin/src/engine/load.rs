//! The load report, which is refreshed at intervals and so may be stale.

use std::rc::Weak;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::engine::state::State;

const KV_CAPACITY_TOKENS: f64 = 262_144.0;

/// Load at one point in time.
#[derive(Clone, Copy)]
pub struct Load {
    sampled_at: Instant,
    running: usize,
    waiting: usize,
    kv_used: f64,
    tokens_per_second: f64,
}

/// Load report as sent to the entry.
#[derive(Serialize)]
pub struct Report {
    running: usize,
    waiting: usize,
    kv_used: f64,
    tokens_per_second: f64,
    as_of_ms: u64,
}

impl Load {
    /// Returns the load of an idle engine.
    pub fn idle() -> Load {
        Load {
            sampled_at: Instant::now(),
            running: 0,
            waiting: 0,
            kv_used: 0.0,
            tokens_per_second: 0.0,
        }
    }

    /// Returns the report with its current age.
    pub fn report(&self) -> Report {
        Report {
            running: self.running,
            waiting: self.waiting,
            kv_used: self.kv_used,
            tokens_per_second: self.tokens_per_second,
            as_of_ms: self.sampled_at.elapsed().as_millis() as u64,
        }
    }
}

/// Refreshes the engine's load at intervals until the engine is dropped.
pub async fn refresh_periodically(state: Weak<State>) {
    let mut previously_generated = 0;
    loop {
        let Some(state) = state.upgrade() else { return };
        let total_generated = state.counts.borrow().generated_tokens;
        let previous_sample = state.load.get().sampled_at;
        let seconds = previous_sample.elapsed().as_secs_f64().max(0.001);
        let held_tokens: u64 = state
            .streams
            .borrow()
            .values()
            .map(|stream| stream.held_tokens())
            .sum();
        state.load.set(Load {
            sampled_at: Instant::now(),
            running: state.batch.running(),
            waiting: state.batch.waiting(),
            kv_used: held_tokens as f64 / KV_CAPACITY_TOKENS,
            tokens_per_second: (total_generated - previously_generated) as f64 / seconds,
        });
        previously_generated = total_generated;
        let interval = Duration::from_millis(state.config.load_lag_ms.max(1));
        drop(state);
        tokio::time::sleep(interval).await;
    }
}
