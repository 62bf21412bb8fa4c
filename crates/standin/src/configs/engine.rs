//! Settings of the stand-in model engine.

/// Behaviour of an engine without faults.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Listen address.
    pub listen: String,
    /// Sequences that run concurrently; more are queued.
    pub slots: usize,
    /// Time between two tokens, milliseconds.
    pub token_ms: u64,
    /// Time to compute a thousand uncached prompt tokens, milliseconds.
    pub prefill_ms: u64,
    /// Capacity of the KV cache in blocks.
    pub cache_blocks: usize,
    /// Delay before cache events are published, milliseconds.
    pub event_delay_ms: u64,
    /// Every n-th cache event is never published; 0 publishes all.
    pub event_gap: u64,
    /// Interval at which the load report is refreshed, milliseconds.
    pub load_lag_ms: u64,
    /// Whether an order with a stale fencing number is refused.
    pub checks_fencing: bool,
    /// Time for which a stream without a reader is kept, milliseconds.
    pub resume_window_ms: u64,
    /// Time to execute an order, milliseconds.
    pub order_ms: u64,
    /// Whether a marked prompt exits the process; otherwise only its sockets are closed.
    pub exit_on_crash: bool,
}

impl Default for Engine {
    fn default() -> Engine {
        Engine {
            listen: "127.0.0.1:0".to_owned(),
            slots: 16,
            token_ms: 5,
            prefill_ms: 100,
            cache_blocks: 4_096,
            event_delay_ms: 200,
            event_gap: 0,
            load_lag_ms: 200,
            checks_fencing: true,
            resume_window_ms: 30_000,
            order_ms: 50,
            exit_on_crash: false,
        }
    }
}
