//! Executes decisions on the engines and reports the results to the entries.

use policy::decision::Decision;
use policy::decision::Transfer;
use policy::job;
use policy::replica;

use crate::support::engine::Health;
use crate::support::engine::Output;
use crate::support::engine::Sequence;
use crate::support::load::Arrival;
use crate::support::world::Event;
use crate::support::world::Submission;
use crate::support::world::World;

/// Time without a token after which a caller abandons a stream, in milliseconds.
const STALL_TIMEOUT_MS: u64 = 10_000;
/// Fixed time of a KV transfer, in milliseconds.
const TRANSFER_MS: u64 = 50;
/// Tokens that a KV transfer carries per millisecond.
const TRANSFER_TOKENS_PER_MS: u64 = 23;

impl World {
    pub(super) fn execute(&mut self, entry: usize, decision: Decision) {
        match decision {
            Decision::Start { job, replica } => self.start(entry, job, replica),
            Decision::Refuse { job, refusal } => self.record_refusal(job, &refusal),
            Decision::Move {
                job,
                from,
                to,
                transfer,
            } => self.transfer(entry, job, from, to, transfer),
            Decision::Cancel { job, replica } => {
                let engine = self.engines_by_key[entry][&replica];
                let removed = self.engines[engine].remove(entry, job);
                self.tally.wasted += removed.map_or(0, |sequence| sequence.computed);
            }
        }
    }

    pub(super) fn start(&mut self, entry: usize, id: job::Id, replica: replica::Key) {
        let engine = self.engines_by_key[entry][&replica];
        let prompt =
            |submission: &Submission, arrival: &Arrival| arrival.prompt + submission.generated;
        let Some(submission) = self.submissions.get_mut(&id) else {
            return;
        };
        let arrival = &self.arrivals[submission.request];
        let resubmitted = submission.handed_over;
        let sequence = Sequence {
            entry,
            id,
            prompt_remaining: prompt(submission, arrival),
            prompt: prompt(submission, arrival),
            prefix: arrival.prefix,
            shared: arrival.shared,
            generated: submission.generated,
            output_tokens: arrival.output,
            fingerprint: arrival.fingerprint,
            computed: 0,
        };
        match self.engines[engine].health {
            Health::Dead | Health::Declines => {
                self.schedule_after(1, Event::Ended(entry, id, job::End::NotStarted, 0));
                return;
            }
            Health::FailsFast => {
                submission.handed_over = true;
                self.schedule_after(2, Event::Ended(entry, id, job::End::Failed, 0));
                return;
            }
            _ => {}
        }
        let idempotent = self.pattern.profiles[arrival.account].idempotent;
        if !idempotent && !self.non_idempotent_started.insert(submission.request) {
            self.tally.duplicated += 1;
        }
        if resubmitted {
            self.tally.recomputed += u64::from(sequence.prompt);
        }
        submission.handed_over = true;
        submission.replica = Some(engine);
        self.engines[engine].submit(sequence);
        self.begin_step(engine);
    }

    pub(super) fn begin_step(&mut self, engine: usize) {
        if self.engines[engine].stepping {
            return;
        }
        if let Some(us) = self.engines[engine].begin_step() {
            self.schedule_after(us.div_ceil(1_000), Event::Step(engine));
        }
    }

    pub(super) fn finish_step(&mut self, engine: usize) {
        if self.engines[engine].health == Health::Dead {
            return;
        }
        let outputs = self.engines[engine].finish_step();
        for Output::Token(entry, id, last) in outputs {
            self.deliver_token(entry, id, last);
        }
        if self.engines[engine].runs_killer() {
            self.tally.killed += 1;
            self.kill(engine);
            return;
        }
        self.begin_step(engine);
    }

    pub(super) fn deliver_token(&mut self, entry: usize, id: job::Id, last: bool) {
        let now = self.now_ms;
        let Some(submission) = self.submissions.get_mut(&id) else {
            return;
        };
        submission.generated += 1;
        submission.last_token_ms = now;
        let (generated, request, sent_ms) =
            (submission.generated, submission.request, submission.sent_ms);
        let is_first = submission.first_token_ms.is_none();
        if is_first {
            submission.first_token_ms = Some(now);
            self.tally.outcomes[request].first_token_ms = Some(now - sent_ms);
            self.schedule_after(STALL_TIMEOUT_MS, Event::CheckPatience(id, generated));
            self.call_policy(entry, |policy, now, _| policy.first_token(now, id));
        }
        self.call_policy(entry, |policy, now, _| policy.record_tokens(now, id, 1));
        if last {
            self.record_answer(id);
            self.call_policy(entry, |policy, now, out| {
                policy.handle_end(now, id, job::End::Finished, generated, out)
            });
        }
    }

    pub(super) fn deliver_end(&mut self, entry: usize, id: job::Id, end: job::End, generated: u32) {
        if let Some(submission) = self.submissions.get_mut(&id) {
            submission.replica = None;
        }
        self.call_policy(entry, |policy, now, out| {
            policy.handle_end(now, id, end, generated, out)
        });
    }

    /// Records the tokens computed for an attempt that was lost.
    pub(super) fn record_lost(&mut self, sequence: &Sequence) {
        if let Some(submission) = self.submissions.get_mut(&sequence.id) {
            submission.computed += sequence.computed;
        }
    }

    pub(super) fn transfer(
        &mut self,
        entry: usize,
        id: job::Id,
        from: replica::Key,
        to: replica::Key,
        transfer: Transfer,
    ) {
        let source = self.engines_by_key[entry][&from];
        let target = self.engines_by_key[entry][&to];
        let Some(mut sequence) = self.engines[source].remove(entry, id) else {
            return;
        };
        let computed = sequence.prompt - sequence.prompt_remaining;
        if transfer == Transfer::Rerun {
            sequence.prompt += sequence.generated;
            sequence.prompt_remaining = sequence.prompt;
            self.tally.recomputed += u64::from(computed);
            self.engines[target].submit(sequence);
            self.begin_step(target);
            return;
        }
        // A replica has one link: transfers go one after the other.
        let duration = TRANSFER_MS + u64::from(computed) / TRANSFER_TOKENS_PER_MS;
        let start = self
            .links
            .get(&source)
            .copied()
            .unwrap_or(0)
            .max(self.now_ms);
        self.links.insert(source, start + duration);
        self.schedule(
            start + duration,
            Event::Transferred(entry, source, target, Box::new(sequence)),
        );
    }

    pub(super) fn finish_transfer(
        &mut self,
        entry: usize,
        from: usize,
        to: usize,
        sequence: Sequence,
    ) {
        if !self.submissions.contains_key(&sequence.id) {
            return;
        }
        let source_dead = self.engines[from].health == Health::Dead;
        if source_dead || self.engines[to].health == Health::Dead {
            self.record_lost(&sequence);
            self.deliver_end(entry, sequence.id, job::End::Crashed, sequence.generated);
            return;
        }
        if let Some(submission) = self.submissions.get_mut(&sequence.id) {
            submission.replica = Some(to);
        }
        self.engines[to].submit(sequence);
        self.begin_step(to);
    }
}
