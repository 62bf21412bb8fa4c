//! What the scheduler knows of a client account.

use smol_str::SmolStr;

/// Stands for one account within one scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u32);

/// An account's share and limits, as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Its name, unique.
    pub name: SmolStr,
    /// Its share against other accounts when there isn't enough for all; at least 1.
    pub weight: u32,
    /// Who is shed first under overload: 0 goes last, 9 first.
    pub priority: u8,
    /// Tokens (prompt and generated) a second over all entries; 0 for no limit.
    pub tokens_per_second: u64,
    /// Requests open at once over all entries; 0 for no limit.
    pub concurrent: u32,
}
