//! How many requests a pool has to carry, from its engines' lagging reports.
//!
//! *Pattern*: demand swings within minutes, while an instance takes minutes to load a model. *Without
//! it*: instances follow each dip and are missing at the next peak. *How*: the peak within a memory
//! that is longer than loading takes. Reports lag and some are missing; a missing one counts as the
//! last one of that engine.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Span;
use clock::Time;
use smol_str::SmolStr;

/// Slices that the memory is cut into: the peak is forgotten with an error of a tenth.
const SLICES: u64 = 10;

/// The demand on one pool.
#[derive(Clone, Debug)]
pub struct Demand {
    window: Span,
    /// Requests at each engine, by its last report.
    engines: BTreeMap<SmolStr, u32>,
    /// The highest sum of each slice, oldest first.
    peaks: VecDeque<(Time, u32)>,
}

impl Demand {
    /// Nothing known yet.
    pub fn new(window: Span) -> Demand {
        Demand {
            window,
            engines: BTreeMap::new(),
            peaks: VecDeque::new(),
        }
    }

    /// Takes an engine's report.
    pub fn record(&mut self, now: Time, engine: SmolStr, requests: u32) {
        self.engines.insert(engine, requests);
        let sum: u32 = self.engines.values().sum();
        let slice = self.window.as_millis() / SLICES;
        match self.peaks.back_mut() {
            Some((since, peak)) if now.since(*since).as_millis() < slice => *peak = sum.max(*peak),
            _ => self.peaks.push_back((now, sum)),
        }
    }

    /// Forgets engines that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.engines.retain(|engine, _| listed(engine));
    }

    /// The peak that is remembered.
    pub fn peak(&mut self, now: Time) -> u32 {
        let window = self.window;
        while self
            .peaks
            .front()
            .is_some_and(|(since, _)| now.since(*since) > window)
        {
            self.peaks.pop_front();
        }
        self.peaks.iter().map(|(_, peak)| *peak).max().unwrap_or(0)
    }
}
