//! Settings of the stand-in plain service.

/// How a plain service behaves when nothing fails.
#[derive(Clone, Debug)]
pub struct Service {
    /// Where to listen.
    pub listen: String,
    /// Time that a call takes, milliseconds.
    pub call_ms: u64,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            listen: "127.0.0.1:0".to_owned(),
            call_ms: 2,
        }
    }
}
