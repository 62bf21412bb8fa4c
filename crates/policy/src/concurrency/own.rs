//! What this entry has in flight at one replica, now and a little while ago.

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
    /// A job of that many tokens was started.
    pub fn started(&mut self, now: Time, tokens: u64, most: usize) {
        self.jobs += 1;
        self.tokens += tokens;
        self.note(now, most);
    }

    /// So many tokens of a job are done.
    pub fn progressed(&mut self, tokens: u64) {
        self.tokens = self.tokens.saturating_sub(tokens);
    }

    /// A job ended with so many of its tokens still outstanding.
    pub fn ended(&mut self, now: Time, outstanding: u64, most: usize) {
        self.jobs = self.jobs.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(outstanding);
        self.note(now, most);
    }

    /// Jobs in flight.
    pub fn jobs(&self) -> u32 {
        self.jobs
    }

    /// Tokens outstanding.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Jobs in flight at that time; the oldest known count if it lies before all that is known.
    pub fn jobs_at(&self, at: Time) -> u32 {
        let before = self.history.iter().rev().find(|(since, _)| *since <= at);
        let oldest = || self.history.front().map_or(0, |(_, jobs)| *jobs);
        before.map_or_else(oldest, |(_, jobs)| *jobs)
    }

    fn note(&mut self, now: Time, most: usize) {
        if self.history.is_empty() {
            self.history.push_back((Time::ZERO, 0));
        }
        self.history.push_back((now, self.jobs));
        if self.history.len() > most {
            self.history.pop_front();
        }
    }
}
