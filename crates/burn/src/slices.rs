//! Totals by slice of time.

use serde::Deserialize;
use serde::Serialize;

use crate::count::Count;

/// Totals by slice of time; slices without a request are not stored.
///
/// A sorted list rather than a tree: it is short, grows at its end and takes less memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slices {
    /// Sorted by the number of the slice since 1970, each at most once.
    list: Vec<(u64, Count)>,
}

impl Slices {
    /// Adds totals to a slice.
    pub fn add(&mut self, number: u64, count: &Count) {
        match self.list.binary_search_by_key(&number, |slice| slice.0) {
            Ok(index) => {
                if let Some((_, sum)) = self.list.get_mut(index) {
                    sum.add(count);
                }
            }
            Err(index) => self.list.insert(index, (number, *count)),
        }
    }

    /// Merges all slices of another list.
    pub fn merge(&mut self, other: &Slices) {
        for (number, count) in &other.list {
            self.add(*number, count);
        }
    }

    /// Drops slices before `first`.
    pub fn trim(&mut self, first: u64) {
        self.list.retain(|(number, _)| *number >= first);
    }

    /// Returns the totals over all slices from `first` on.
    pub fn sum_since(&self, first: u64) -> Count {
        let mut sum = Count::default();
        for (_, count) in self.iter_since(first) {
            sum.add(count);
        }
        sum
    }

    /// Iterates over the slices from `first` on, in order.
    pub fn iter_since(&self, first: u64) -> impl Iterator<Item = (u64, &Count)> {
        let slices = self.list.iter().map(|(number, count)| (*number, count));
        slices.skip_while(move |(number, _)| *number < first)
    }

    /// Returns whether there are no slices.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}
