//! Estimates the demand on a pool from its engines' load reports.
//!
//! Demand swings within minutes, and an instance takes minutes to load a model. Following each dip would stop
//! instances that are missing at the next peak, so demand is the peak within a window that is longer than the
//! loading time. Reports may be late or missing; the last report of an engine counts until the next.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Span;
use clock::Time;
use smol_str::SmolStr;

/// Number of slices in the window; a peak expires with an error of one slice.
const WINDOW_SLICES: u64 = 10;

/// Demand on one pool.
#[derive(Clone, Debug)]
pub struct Demand {
    window: Span,
    /// Requests at each engine, by its last report.
    requests: BTreeMap<SmolStr, u32>,
    /// Start of each slice and the highest sum within it, oldest first.
    peaks: VecDeque<(Time, u32)>,
}

impl Demand {
    /// Creates an estimate without reports.
    pub fn new(window: Span) -> Demand {
        Demand {
            window,
            requests: BTreeMap::new(),
            peaks: VecDeque::new(),
        }
    }

    /// Records an engine's load report.
    pub fn record(&mut self, now: Time, engine: SmolStr, requests: u32) {
        self.requests.insert(engine, requests);
        let sum: u32 = self.requests.values().sum();
        let slice = self.window.as_millis() / WINDOW_SLICES;
        match self.peaks.back_mut() {
            Some((started_at, peak)) if now.since(*started_at).as_millis() < slice => {
                *peak = sum.max(*peak)
            }
            _ => self.peaks.push_back((now, sum)),
        }
    }

    /// Removes engines that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.requests.retain(|engine, _| is_listed(engine));
    }

    /// Returns the highest sum within the window.
    pub fn peak(&mut self, now: Time) -> u32 {
        let window = self.window;
        while self
            .peaks
            .front()
            .is_some_and(|(started_at, _)| now.since(*started_at) > window)
        {
            self.peaks.pop_front();
        }
        self.peaks.iter().map(|(_, peak)| *peak).max().unwrap_or(0)
    }
}
