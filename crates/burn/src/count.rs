//! Totals over a slice of time.

use serde::Deserialize;
use serde::Serialize;

use crate::report::Misses;
use crate::sample::Cause;

/// Totals over a slice of time, serialized as a list of numbers because slices make up most of a summary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "[u64; 10]", from = "[u64; 10]")]
pub struct Count {
    /// Ended requests that count toward the objective.
    pub requests: u64,
    /// Requests that met both targets; the rest of `requests` are misses.
    pub within: u64,
    /// Misses by cause.
    pub misses: Misses,
    /// Cost of all requests, millionths of the currency.
    pub cost_micros: u64,
    /// Tokens that were recomputed.
    pub recomputed: u64,
}

impl Count {
    /// Adds the totals of another slice.
    pub fn add(&mut self, other: &Count) {
        let own = <[u64; 10]>::from(*self);
        let others = <[u64; 10]>::from(*other);
        let mut sums = [0; 10];
        for ((sum, left), right) in sums.iter_mut().zip(own).zip(others) {
            *sum = left.saturating_add(right);
        }
        *self = Count::from(sums);
    }

    /// Counts one miss under its cause.
    pub fn count_miss(&mut self, cause: Cause) {
        let misses = &mut self.misses;
        let counter = match cause {
            Cause::Waiting => &mut misses.waiting,
            Cause::SlowBackend => &mut misses.slow_backend,
            Cause::Reclaim => &mut misses.reclaim,
            Cause::Refused => &mut misses.refused,
            Cause::Store => &mut misses.store,
            Cause::Other => &mut misses.other,
        };
        *counter += 1;
    }

    /// Returns the number of requests that missed a target.
    pub const fn missed(&self) -> u64 {
        self.requests.saturating_sub(self.within)
    }
}

impl From<Count> for [u64; 10] {
    fn from(count: Count) -> [u64; 10] {
        let misses = count.misses;
        [
            count.requests,
            count.within,
            misses.waiting,
            misses.slow_backend,
            misses.reclaim,
            misses.refused,
            misses.store,
            misses.other,
            count.cost_micros,
            count.recomputed,
        ]
    }
}

impl From<[u64; 10]> for Count {
    fn from(numbers: [u64; 10]) -> Count {
        let [
            requests,
            within,
            waiting,
            slow_backend,
            reclaim,
            refused,
            store,
            other,
            cost_micros,
            recomputed,
        ] = numbers;
        Count {
            requests,
            within,
            misses: Misses {
                waiting,
                slow_backend,
                reclaim,
                refused,
                store,
                other,
            },
            cost_micros,
            recomputed,
        }
    }
}
