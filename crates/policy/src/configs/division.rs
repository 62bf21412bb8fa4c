//! Settings of [`crate::division`] and of the slots that it leaves to be borrowed.

use clock::Span;

/// How slots are divided where entries are more than a replica's slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether they are divided in whole numbers; when off, each entry's share is at least one slot.
    pub enabled: bool,
    /// Age up to which a report allows this entry to borrow slots that it doesn't own.
    pub max_report_age: Span,
    /// Fraction of the slots reported free that all entries together may borrow on one report, on average. Each draws
    /// by itself, so that the sum varies.
    pub lent_fraction: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            enabled: true,
            max_report_age: Span::from_seconds(1),
            lent_fraction: 0.5,
        }
    }
}
