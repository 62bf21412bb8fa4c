//! Settings of [`crate::division`] and of the slots that it leaves to be borrowed.

use clock::Span;

/// How slots are divided where entries are more than a replica's slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether they are divided in whole numbers; when off, each entry's share is at least one slot.
    pub enabled: bool,
    /// Age up to which a report allows this entry to borrow slots that it doesn't own.
    pub max_report_age: Span,
    /// Multiple of the mean duration of attempts after which slots gained by a change of the division are used. With 1,
    /// when a replica of 60 was replaced, 1.8 in 100 attempts waited inside replicas; with 2, 1.2.
    pub handover_factor: f64,
    /// Fraction of a replica's slots that is left free for their owners. With none left, 37 in 100 attempts waited
    /// inside replicas at twice the capacity (301 entries); with a quarter, 6.
    pub reserve: f64,
    /// Fraction of the slots reported free beyond the reserve that all entries together may borrow on one report, on average. Each draws
    /// by itself, so that the sum varies.
    pub lent_fraction: f64,
    /// Fraction of a job's possible wait after which it takes a borrowed slot. At the onset of an overload all entries
    /// see free slots in the same reports; by then newer reports show them in use.
    pub borrowing_wait: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            enabled: true,
            max_report_age: Span::from_seconds(1),
            handover_factor: 2.0,
            reserve: 0.5,
            lent_fraction: 0.5,
            borrowing_wait: 0.5,
        }
    }
}
