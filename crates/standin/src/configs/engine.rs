//! Settings of the stand-in model engine.

/// How an engine behaves when nothing fails.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Where to listen.
    pub listen: String,
    /// Sequences run at once; more wait.
    pub slots: usize,
    /// Time between two tokens, milliseconds.
    pub token_ms: u64,
    /// Time to compute a thousand prompt tokens that are not cached, milliseconds.
    pub prefill_ms: u64,
    /// Blocks of KV cache kept.
    pub cache_blocks: usize,
    /// How late cache events are published, milliseconds.
    pub event_delay_ms: u64,
    /// One in so many cache events is never published; 0 for none.
    pub event_gap: u64,
    /// How old a load report may be, milliseconds.
    pub load_lag_ms: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// How long a stream without a reader is kept, milliseconds.
    pub resume_window_ms: u64,
    /// Time to carry out an order, milliseconds.
    pub order_ms: u64,
    /// Whether the process ends on a marked prompt; else only its sockets are closed.
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
