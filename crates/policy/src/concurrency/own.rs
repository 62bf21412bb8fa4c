//! Own jobs in flight at one replica, now and in the recent past.

use std::collections::VecDeque;

use clock::Time;

/// Own jobs and tokens in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct Own {
    jobs: u32,
    tokens: u64,
    /// Jobs in flight after each change, oldest first.
    history: VecDeque<(Time, u32)>,
}

impl Own {
    /// Records the start of a job with that many tokens.
    pub fn started(&mut self, now: Time, tokens: u64, max_history: usize) {
        self.jobs += 1;
        self.tokens += tokens;
        self.record(now, max_history);
    }

    /// Records that tokens of a job are done.
    pub fn progressed(&mut self, tokens: u64) {
        self.tokens = self.tokens.saturating_sub(tokens);
    }

    /// Records the end of a job and its outstanding tokens.
    pub fn ended(&mut self, now: Time, outstanding: u64, max_history: usize) {
        self.jobs = self.jobs.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(outstanding);
        self.record(now, max_history);
    }

    /// Returns the jobs in flight.
    pub fn jobs(&self) -> u32 {
        self.jobs
    }

    /// Returns the outstanding tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the jobs in flight at `time`, or the oldest known count if the history begins later.
    pub fn jobs_at(&self, time: Time) -> u32 {
        let before = self
            .history
            .iter()
            .rev()
            .find(|(changed, _)| *changed <= time);
        let oldest = || self.history.front().map_or(0, |(_, jobs)| *jobs);
        before.map_or_else(oldest, |(_, jobs)| *jobs)
    }

    fn record(&mut self, now: Time, max_history: usize) {
        if self.history.is_empty() {
            self.history.push_back((Time::ZERO, 0));
        }
        self.history.push_back((now, self.jobs));
        if self.history.len() > max_history {
            self.history.pop_front();
        }
    }
}
