//! Crashes and answers, seen here or by other entries.

use std::cmp::Reverse;
use std::rc::Rc;

use clock::Span;
use clock::Time;

use crate::quarantine::crashes::Crashes;
use crate::quarantine::digest::PartItem;

use super::ANNOUNCEMENT;
use super::Answer;
use super::Answered;
use super::Parts;
use super::record::Crash;
use super::record::Record;

/// Maximum number of answers whose replicas may still turn out to have crashed.
const MAX_UNCONFIRMED: usize = 4_096;

impl Parts {
    /// Records the crash of a replica that was to answer the prompt of a request with these parts.
    pub fn accuse(&mut self, now: Time, replica: u64, request: u64, parts: &[u64]) {
        for part in parts {
            if self.was_answered_before(*part, now) {
                continue;
            }
            let crash = Crash { replica, at: now };
            let was_probe = self
                .probes
                .get(part)
                .is_some_and(|(probing, _)| *probing == request);
            if was_probe {
                // It isn't tried at another replica.
                self.probes.remove(part);
            }
            let record = self.record(*part);
            record.is_own = true;
            record.failed_probes += u32::from(was_probe);
            if record.add(crash) {
                self.urgent = true;
                self.reviews.insert(now + self.config.settle);
            }
        }
    }

    /// Drops answers of a replica that crashed, which prove nothing.
    pub fn forget_answers(&mut self, replica: u64) {
        self.unconfirmed.retain(|answer| answer.replica != replica);
    }

    /// Records that a replica has written an answer to a prompt with these parts.
    pub fn record_answer(&mut self, now: Time, replica: u64, parts: &Rc<[u64]>) {
        if parts.is_empty() {
            return;
        }
        let parts = Rc::clone(parts);
        self.unconfirmed.push_back(Answer {
            at: now,
            replica,
            parts,
        });
        if self.unconfirmed.len() > MAX_UNCONFIRMED {
            self.unconfirmed.pop_front();
        }
    }

    /// Takes the parts of answers that their replicas survived for sound.
    pub fn confirm_answers(&mut self, now: Time, crashes: &Crashes) {
        let mut is_evidence = false;
        while let Some(answer) = self.unconfirmed.front() {
            if now < answer.at + self.config.confirm_delay {
                break;
            }
            let Some(answer) = self.unconfirmed.pop_front() else {
                break;
            };
            for part in answer.parts.iter() {
                is_evidence |= self.confirm(*part, answer.at, true);
            }
        }
        if is_evidence {
            self.review(now, crashes);
        }
    }

    /// Merges what a peer knows of parts.
    pub fn merge(&mut self, now: Time, items: &[PartItem], crashes: &Crashes) {
        let mut is_cleared = false;
        for item in items {
            is_cleared |= self.merge_item(now, item);
        }
        if is_cleared {
            self.review(now, crashes);
        }
    }

    /// Returns whether an accused part is known to be sound from now on.
    fn merge_item(&mut self, now: Time, item: &PartItem) -> bool {
        let before = |age: Span| Time::from_millis(now.as_millis().saturating_sub(age.as_millis()));
        let mut is_cleared = false;
        // An answer before this entry's start would seem to be as late as the crashes.
        let answered = item
            .answered
            .filter(|age| item.crashes.is_empty() || *age <= now.since(Time::ZERO));
        if let Some(age) = answered {
            is_cleared |= self.confirm(item.part, before(age), false);
        }
        for (replica, age) in &item.crashes {
            let at = before(*age);
            let answered = self.was_answered_before(item.part, at);
            if answered && !self.is_home(item.part) {
                continue;
            }
            let crash = Crash {
                replica: *replica,
                at,
            };
            let is_added = self.record(item.part).add(crash);
            // The sender doesn't know of the answer.
            self.urgent |= is_added && answered;
            if is_added {
                self.reviews.insert(at + self.config.settle);
            }
        }
        is_cleared
    }

    /// Returns accused parts that were found sound here within the last `window`, with the times since; a bounded number.
    ///
    /// What only other entries found isn't stated again. The time that a message is under way is missing in its ages, so
    /// that entries which repeat each other's statements would go on with them.
    pub fn recently_cleared(&self, now: Time, window: Span) -> Vec<(u64, Span)> {
        let answered = self.records.iter().filter_map(|(part, record)| {
            let at = self.answered.get(part)?.own_at?;
            let is_refuted = self.config.is_refuted(record.last_crash(), at);
            (is_refuted && now.since(at) < window).then(|| (*part, now.since(at)))
        });
        let mut cleared: Vec<(u64, Span)> = answered.collect();
        cleared.sort_by_key(|(part, age)| (*age, *part));
        cleared.truncate(self.config.max_digest_items);
        cleared
    }

    /// Returns the evidence that this entry answers for: what it has seen, and what it is home to.
    pub fn digest(&self, now: Time) -> Vec<PartItem> {
        let is_sent = |part: &u64, record: &Record| record.is_own || self.is_home(*part);
        let records = self
            .records
            .iter()
            .filter(|(part, record)| is_sent(part, record));
        let mut records: Vec<(&u64, &Record)> = records.collect();
        records.sort_by_key(|(part, record)| {
            let is_blocked = self.blocked.contains_key(part);
            (Reverse(is_blocked), Reverse(record.last_crash()), **part)
        });
        records.truncate(self.config.max_digest_items);
        let item = |(part, record): (&u64, &Record)| PartItem {
            part: *part,
            crashes: record
                .crashes
                .iter()
                .filter(|crash| !self.was_answered_before(*part, crash.at))
                .map(|crash| (crash.replica, now.since(crash.at)))
                .collect(),
            answered: self.answered.get(part).map(|known| now.since(known.at)),
        };
        records.into_iter().map(item).collect()
    }

    /// Drops evidence that is out of date.
    pub fn tick(&mut self, now: Time, crashes: &Crashes) {
        let (memory, answer_memory) = (self.config.crash_memory, self.config.answer_memory);
        self.answered
            .retain(|_, known| now.since(known.at) < answer_memory);
        let config = self.config;
        let before = self.records.len();
        let answered = &self.answered;
        self.records.retain(|part, record| {
            let age = now.since(record.last_crash());
            let is_refuted = answered
                .get(part)
                .is_some_and(|known| config.is_refuted(record.last_crash(), known.at));
            record.refuted_since = is_refuted.then(|| record.refuted_since.unwrap_or(now));
            // A trial may be answered long after the last crash.
            let is_announced = |since: Time| now.since(since) < ANNOUNCEMENT;
            age < memory && record.refuted_since.is_none_or(is_announced)
        });
        if self.records.len() != before {
            self.review(now, crashes);
        }
    }

    /// Takes a part for sound at a time, by an answer to a request of this entry or as a peer states; returns whether it
    /// was accused.
    fn confirm(&mut self, part: u64, at: Time, is_own: bool) -> bool {
        let before = self.answered.get(&part).copied();
        let known = before.map(|before| before.at);
        let own_before = before.and_then(|before| before.own_at);
        let answered = Answered {
            at: known.map_or(at, |known| known.max(at)),
            own_at: is_own.then_some(at).max(own_before),
        };
        self.answered.insert(part, answered);
        if known.is_some_and(|known| known >= at) {
            return false;
        }
        if self.answered.len() > self.config.max_answered {
            let oldest = self.answered.iter().min_by_key(|(_, known)| known.at);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.answered.remove(&oldest);
            }
        }
        let Some(record) = self.records.get(&part) else {
            return false;
        };
        let was_refuted =
            known.is_some_and(|known| self.config.is_refuted(record.last_crash(), known));
        if !was_refuted && (record.is_own || self.is_home(part)) {
            self.urgent = true;
        }
        !was_refuted
    }

    /// Returns whether an answer speaks for a part at the time of a crash.
    fn was_answered_before(&self, part: u64, crash: Time) -> bool {
        let answered = self.answered.get(&part);
        answered.is_some_and(|known| self.config.is_refuted(crash, known.at))
    }

    /// Returns the record of a part, which may be new.
    fn record(&mut self, part: u64) -> &mut Record {
        if !self.records.contains_key(&part) && self.records.len() >= self.config.max_records {
            let least = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.counted.len(), record.last_crash()));
            if let Some(least) = least.map(|(part, _)| *part) {
                self.records.remove(&least);
            }
        }
        self.records.entry(part).or_default()
    }
}
