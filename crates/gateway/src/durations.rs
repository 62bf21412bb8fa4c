//! How long the latest answers of each route took.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Span;
use smol_str::SmolStr;

/// Answers of a route that count: the longest of them is exceeded by about one call in a hundred.
const ANSWERS: usize = 128;

/// Times from the arrival of a request to the end of its answer, by route.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    latest: BTreeMap<SmolStr, VecDeque<Span>>,
}

impl Durations {
    /// Records that an answer is complete.
    pub(crate) fn record(&mut self, route: &SmolStr, took: Span) {
        let latest = self.latest.entry(route.clone()).or_default();
        if latest.len() == ANSWERS {
            latest.pop_front();
        }
        latest.push_back(took);
    }

    /// Returns the longest of a route's latest answers; none if there was no answer.
    pub(crate) fn longest(&self, route: &str) -> Option<Span> {
        self.latest.get(route)?.iter().max().copied()
    }

    /// Forgets the routes that `is_known` doesn't name.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&SmolStr) -> bool) {
        self.latest.retain(|route, _| is_known(route));
    }
}
