//! Client accounts as configured.

use smol_str::SmolStr;

/// Identifies an account within one scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u32);

/// Share and limits of an account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Unique name.
    pub name: SmolStr,
    /// Weight against other accounts under contention; at least 1.
    pub weight: u32,
    /// Shedding priority under overload: 9 is shed first, 0 last.
    pub priority: u8,
    /// Limit of tokens (prompt and generated) per second over all entries; 0 for none.
    pub tokens_per_second: u64,
    /// Limit of concurrently open requests over all entries; 0 for none.
    pub concurrent: u32,
}
