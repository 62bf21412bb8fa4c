//! Which part of the offered work is admitted.
//!
//! Load pattern: for seconds to minutes more work is offered than the replicas carry. Admitted in order of arrival,
//! urgent and other work would be late alike, and an account with many requests would take the place of the others.

use std::collections::BTreeMap;

use crate::demand::Class;

/// The admitted part of a service's work.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Admitted fractions, from 0 to 1, of the classes of which not all is admitted.
    pub fractions: BTreeMap<Class, f64>,
}

impl Plan {
    /// Returns the admitted fraction of a class, from 0 to 1.
    pub fn fraction(&self, class: Class) -> f64 {
        self.fractions.get(&class).copied().unwrap_or(1.0)
    }
}
