//! Settings of the stand-in plain service.

/// Behaviour of a plain service without faults.
#[derive(Clone, Debug)]
pub struct Service {
    /// Listen address.
    pub listen: String,
    /// Duration of a call, milliseconds.
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
