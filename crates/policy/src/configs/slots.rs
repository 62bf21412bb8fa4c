//! Settings of [`crate::slots`].

/// How free slots of other entries are borrowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether slots are divided; when off, an entry takes whatever its estimate calls free.
    pub enabled: bool,
    /// Equal shares of the slots reported free that an entry borrows per report on top of its own.
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
