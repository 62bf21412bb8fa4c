//! Callers: they send requests, read answers, retry and give up.

use clock::Span;
use policy::account;
use policy::job;
use policy::job::Job;
use policy::pool;
use verdict::Refusal;
use verdict::Verdict;

use crate::support::world::Event;
use crate::support::world::Submission;
use crate::support::world::World;

/// Maximum number of times that a caller sends one request.
const MAX_SUBMISSIONS: u32 = 4;
/// Time that a caller waits for the first token, in multiples of its target.
const PATIENCE_TARGETS: u64 = 4;
/// Time without a token after which a caller abandons a stream, in milliseconds.
const STALL_TIMEOUT_MS: u64 = 10_000;
/// Time after the submission within which a refusal counts as immediate, in milliseconds.
const IMMEDIATE_MS: u64 = 100;

impl World {
    pub(super) fn submit(&mut self, request: usize) {
        let arrival = self.arrivals[request].clone();
        let submissions = self.tally.outcomes[request].submissions;
        let id = job::Id((request as u64) * 16 + u64::from(submissions));
        let entry = (arrival.entry + 3 * submissions as usize) % self.entries.len();
        let entry = self.next_live_entry(entry);
        self.tally.outcomes[request].submissions += 1;
        let profile = &self.pattern.profiles[arrival.account];
        let job = Job {
            id,
            account: account::Key(arrival.account as u32),
            pool: pool::Key(0),
            kind: job::Kind::Model,
            prompt_tokens: arrival.prompt,
            max_new_tokens: arrival.max_new,
            prefix: arrival.prefix,
            fingerprint: arrival.fingerprint,
            idempotent: profile.idempotent,
            first_token: Span::from_millis(profile.first_token_ms),
            token_gap: Span::from_millis(profile.token_gap_ms),
            terms: job::Terms::default(),
        };
        let patience = profile.first_token_ms * PATIENCE_TARGETS;
        let submission = Submission {
            request,
            entry,
            sent_ms: self.now_ms,
            first_token_ms: None,
            last_token_ms: self.now_ms,
            generated: 0,
            handed_over: false,
            computed: 0,
            replica: None,
        };
        self.submissions.insert(id, submission);
        self.open[arrival.account] += 1;
        let max_open = self.tally.max_open.entry(arrival.account).or_default();
        *max_open = (*max_open).max(self.open[arrival.account]);
        self.schedule_after(patience, Event::CheckPatience(id, 0));
        self.call_policy(entry, |policy, now, out| policy.offer(now, job, out));
    }

    pub(super) fn record_answer(&mut self, id: job::Id) {
        let Some(submission) = self.close_submission(id) else {
            return;
        };
        let arrival = &self.arrivals[submission.request];
        let profile = &self.pattern.profiles[arrival.account];
        let first_token = submission.first_token_ms.unwrap_or(self.now_ms);
        let gaps = u64::from(arrival.output.saturating_sub(1)).max(1);
        let gap = (self.now_ms - first_token) as f64 / gaps as f64;
        let outcome = &mut self.tally.outcomes[submission.request];
        outcome.answered = true;
        outcome.in_target = first_token - submission.sent_ms <= profile.first_token_ms
            && gap <= profile.token_gap_ms as f64;
    }

    pub(super) fn close_submission(&mut self, id: job::Id) -> Option<Submission> {
        let submission = self.submissions.remove(&id)?;
        let account = self.arrivals[submission.request].account;
        self.open[account] -= 1;
        Some(submission)
    }

    pub(super) fn record_refusal(&mut self, id: job::Id, refusal: &Refusal) {
        let Some(submission) = self.close_submission(id) else {
            return;
        };
        if refusal.verdict == Verdict::NotRun && submission.handed_over {
            self.tally.false_not_run += 1;
        }
        self.tally.wasted += submission.computed;
        let arrival = &self.arrivals[submission.request];
        let profile = &self.pattern.profiles[arrival.account];
        let shape = &self.pattern.shape;
        // An engine that holds the shared prefix computes only the rest.
        let own = u64::from(arrival.prompt - arrival.shared);
        let ideal = (own * shape.prompt_token_us + shape.step_us) / 1_000;
        let waited = self.now_ms - submission.sent_ms;
        let outcome = &mut self.tally.outcomes[submission.request];
        if waited <= IMMEDIATE_MS {
            outcome.refused_immediately += 1;
        } else {
            outcome.refused_late += 1;
        }
        let infeasible_after = profile.first_token_ms.saturating_sub(ideal);
        if !submission.handed_over
            && ideal < profile.first_token_ms
            && waited > infeasible_after + IMMEDIATE_MS
        {
            outcome.refused_after_infeasible += 1;
        }
        let safe = profile.idempotent || refusal.verdict == Verdict::NotRun;
        match refusal.retry_after {
            Some(span) if safe && profile.persistent && outcome.submissions < MAX_SUBMISSIONS => {
                self.retry_after(span.as_millis().max(1), submission.request);
            }
            Some(_) => {}
            None => outcome.refused_permanently += 1,
        }
    }

    pub(super) fn check_patience(&mut self, id: job::Id, generated: u32) {
        let Some(submission) = self.submissions.get(&id) else {
            return;
        };
        if submission.first_token_ms.is_some() && generated == 0 {
            return;
        }
        if submission.generated > generated {
            let retry = (submission.last_token_ms + STALL_TIMEOUT_MS).max(self.now_ms + 1);
            let generated = submission.generated;
            self.schedule(retry, Event::CheckPatience(id, generated));
            return;
        }
        let Some(submission) = self.close_submission(id) else {
            return;
        };
        self.tally.wasted += submission.computed;
        let outcome = &mut self.tally.outcomes[submission.request];
        outcome.abandoned += 1;
        let profile = &self.pattern.profiles[self.arrivals[submission.request].account];
        let retry =
            profile.idempotent && profile.persistent && outcome.submissions < MAX_SUBMISSIONS;
        self.call_policy(submission.entry, |policy, now, out| {
            policy.cancel(now, id, out)
        });
        if retry {
            self.retry_after(1, submission.request);
        }
    }

    /// Sends the request again after a delay, unless the load is over by then.
    pub(super) fn retry_after(&mut self, after_ms: u64, request: usize) {
        if self.now_ms + after_ms < self.pattern.seconds * 1_000 {
            self.schedule_after(after_ms, Event::Submit(request));
        }
    }
}
