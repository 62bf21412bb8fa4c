//! Sums by slice of time, a bounded number of them.

use serde::Deserialize;
use serde::Serialize;

use crate::count::Count;

/// Sums by slice of time. Slices without a request take no place.
///
/// A sorted list and not a tree: it is short, grows at its end and takes less memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slices {
    /// Rising by the slice's number since 1970; each number at most once.
    list: Vec<(u64, Count)>,
}

impl Slices {
    /// Adds to a slice.
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

    /// Adds all slices of another.
    pub fn merge(&mut self, other: &Slices) {
        for (number, count) in &other.list {
            self.add(*number, count);
        }
    }

    /// Forgets slices before the first that is wanted.
    pub fn trim(&mut self, first: u64) {
        self.list.retain(|(number, _)| *number >= first);
    }

    /// The sum from a slice on.
    pub fn sum_since(&self, first: u64) -> Count {
        let mut sum = Count::default();
        for (_, count) in self.iter_since(first) {
            sum.add(count);
        }
        sum
    }

    /// The slices from one on, by number.
    pub fn iter_since(&self, first: u64) -> impl Iterator<Item = (u64, &Count)> {
        let slices = self.list.iter().map(|(number, count)| (*number, count));
        slices.skip_while(move |(number, _)| *number < first)
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}
