//! Settings of [`crate::slots`].

/// How slots that others leave free are borrowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Off, an entry takes whatever its estimate calls free.
    pub enabled: bool,
    /// Equal parts of the slots reported free that an entry takes on top of its own a report: a half, one
    /// and two were measured, docs/design/policy-queues.md.
    pub borrowed_shares: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            enabled: true,
            borrowed_shares: 0.5,
        }
    }
}
