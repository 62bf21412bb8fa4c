//! A queue in virtual time, for tests that drive state machines.

use std::collections::BTreeMap;

use clock::Time;

/// Things that will happen, in the order of their times and, at one time, of their arrival.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    items: BTreeMap<(Time, u64), T>,
    next: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Queue<T> {
        Queue {
            items: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds something that happens at `at`.
    pub fn push(&mut self, at: Time, item: T) {
        self.items.insert((at, self.next), item);
        self.next += 1;
    }

    /// Takes the first thing if it happens at `until` or before.
    pub fn pop(&mut self, until: Time) -> Option<(Time, T)> {
        let entry = self.items.first_entry()?;
        let at = entry.key().0;
        (at <= until).then(|| (at, entry.remove()))
    }
}
