//! Callers: they send requests, read answers, retry and give up.

use clock::Span;
use policy::account;
use policy::job;
use policy::job::Job;
use policy::pool;
use verdict::Refusal;
use verdict::Verdict;

use crate::support::world::Event;
use crate::support::world::Send;
use crate::support::world::World;

/// Maximum number of times that a caller sends one request.
const SENDS: u32 = 4;
/// Time that a caller waits for the first token, in multiples of its target.
const PATIENCE_TARGETS: u64 = 4;
/// Time without a token after which a caller abandons a stream, in milliseconds.
const STALL_MS: u64 = 10_000;
/// Time after the submission within which a refusal counts as immediate, in milliseconds.
const AT_ONCE_MS: u64 = 100;

impl World {
    pub(super) fn send(&mut self, request: usize) {
        let arrival = self.arrivals[request].clone();
        let outcome = &mut self.tally.outcomes[request];
        let id = job::Id((request as u64) * 16 + u64::from(outcome.sends));
        let entry = (arrival.entry + 3 * outcome.sends as usize) % self.entries.len();
        outcome.sends += 1;
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
        let send = Send {
            request,
            entry,
            sent: self.now_ms,
            first: None,
            last: self.now_ms,
            made: 0,
            handed: false,
            spent: 0,
            replica: None,
        };
        self.sends.insert(id, send);
        self.open[arrival.account] += 1;
        let most = self.tally.most_open.entry(arrival.account).or_default();
        *most = (*most).max(self.open[arrival.account]);
        self.after(patience, Event::Patience(id, 0));
        self.with(entry, |policy, now, out| policy.offer(now, job, out));
    }

    pub(super) fn answered(&mut self, id: job::Id) {
        let Some(send) = self.close_send(id) else {
            return;
        };
        let arrival = &self.arrivals[send.request];
        let profile = &self.pattern.profiles[arrival.account];
        let first = send.first.unwrap_or(self.now_ms);
        let gaps = u64::from(arrival.output.saturating_sub(1)).max(1);
        let gap = (self.now_ms - first) as f64 / gaps as f64;
        let outcome = &mut self.tally.outcomes[send.request];
        outcome.answered = true;
        outcome.in_target =
            first - send.sent <= profile.first_token_ms && gap <= profile.token_gap_ms as f64;
    }

    pub(super) fn close_send(&mut self, id: job::Id) -> Option<Send> {
        let send = self.sends.remove(&id)?;
        let account = self.arrivals[send.request].account;
        self.open[account] -= 1;
        Some(send)
    }

    pub(super) fn refused(&mut self, id: job::Id, refusal: &Refusal) {
        let Some(send) = self.close_send(id) else {
            return;
        };
        if refusal.verdict == Verdict::NotRun && send.handed {
            self.tally.false_not_run += 1;
        }
        self.tally.useless += send.spent;
        let arrival = &self.arrivals[send.request];
        let profile = &self.pattern.profiles[arrival.account];
        let shape = &self.pattern.shape;
        // An engine that holds the shared prefix computes only the rest.
        let own = u64::from(arrival.prompt - arrival.shared);
        let ideal = (own * shape.prompt_token_us + shape.step_us) / 1_000;
        let waited = self.now_ms - send.sent;
        let outcome = &mut self.tally.outcomes[send.request];
        if waited <= AT_ONCE_MS {
            outcome.refused_at_once += 1;
        } else {
            outcome.refused_late += 1;
        }
        let certain = profile.first_token_ms.saturating_sub(ideal);
        if !send.handed && ideal < profile.first_token_ms && waited > certain + AT_ONCE_MS {
            outcome.refused_after_certain += 1;
        }
        let safe = profile.idempotent || refusal.verdict == Verdict::NotRun;
        match refusal.retry_after {
            Some(span) if safe && profile.persistent && outcome.sends < SENDS => {
                self.come_back(span.as_millis().max(1), send.request);
            }
            Some(_) => {}
            None => outcome.refused_for_good += 1,
        }
    }

    pub(super) fn patience(&mut self, id: job::Id, made: u32) {
        let Some(send) = self.sends.get(&id) else {
            return;
        };
        if send.first.is_some() && made == 0 {
            return;
        }
        if send.made > made {
            let again = (send.last + STALL_MS).max(self.now_ms + 1);
            let made = send.made;
            self.at(again, Event::Patience(id, made));
            return;
        }
        let Some(send) = self.close_send(id) else {
            return;
        };
        self.tally.useless += send.spent;
        let outcome = &mut self.tally.outcomes[send.request];
        outcome.given_up += 1;
        let profile = &self.pattern.profiles[self.arrivals[send.request].account];
        let again = profile.idempotent && profile.persistent && outcome.sends < SENDS;
        self.with(send.entry, |policy, now, out| policy.cancel(now, id, out));
        if again {
            self.come_back(1, send.request);
        }
    }

    /// Sends the request again after a delay, unless the load is over by then.
    pub(super) fn come_back(&mut self, after_ms: u64, request: usize) {
        if self.now_ms + after_ms < self.pattern.seconds * 1_000 {
            self.after(after_ms, Event::Send(request));
        }
    }
}
