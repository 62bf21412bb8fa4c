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
use crate::support::world::Send;
use crate::support::world::World;

/// Time without a token after which a caller abandons a stream, in milliseconds.
const STALL_MS: u64 = 10_000;
/// Fixed time of a KV transfer, in milliseconds.
const TRANSFER_MS: u64 = 50;
/// Tokens that a KV transfer carries per millisecond.
const TRANSFER_TOKENS_PER_MS: u64 = 23;

impl World {
    pub(super) fn carry_out(&mut self, entry: usize, decision: Decision) {
        match decision {
            Decision::Start { job, replica } => self.start(entry, job, replica),
            Decision::Refuse { job, refusal } => self.refused(job, &refusal),
            Decision::Move { job, from, to, how } => self.transfer(entry, job, from, to, how),
            Decision::Cancel { job, replica } => {
                let engine = self.found[entry][&replica];
                let held = self.engines[engine].remove(entry, job);
                self.tally.useless += held.map_or(0, |sequence| sequence.computed);
            }
        }
    }

    pub(super) fn start(&mut self, entry: usize, id: job::Id, replica: replica::Key) {
        let engine = self.found[entry][&replica];
        let prompt = |send: &Send, arrival: &Arrival| arrival.prompt + send.made;
        let Some(send) = self.sends.get_mut(&id) else {
            return;
        };
        let arrival = &self.arrivals[send.request];
        let again = send.handed;
        let sequence = Sequence {
            entry,
            id,
            prompt_left: prompt(send, arrival),
            prompt: prompt(send, arrival),
            prefix: arrival.prefix,
            shared: arrival.shared,
            made: send.made,
            wanted: arrival.output,
            fingerprint: arrival.fingerprint,
            computed: 0,
        };
        match self.engines[engine].health {
            Health::Dead | Health::Declines => {
                self.after(1, Event::Ended(entry, id, job::End::NotStarted, 0));
                return;
            }
            Health::FailsFast => {
                send.handed = true;
                self.after(2, Event::Ended(entry, id, job::End::Failed, 0));
                return;
            }
            _ => {}
        }
        let idempotent = self.pattern.profiles[arrival.account].idempotent;
        if !idempotent && !self.ran.insert(send.request) {
            self.tally.doubled += 1;
        }
        if again {
            self.tally.recomputed += u64::from(sequence.prompt);
        }
        send.handed = true;
        send.replica = Some(engine);
        self.engines[engine].submit(sequence);
        self.kick(engine);
    }

    pub(super) fn kick(&mut self, engine: usize) {
        if self.engines[engine].stepping {
            return;
        }
        if let Some(us) = self.engines[engine].begin() {
            self.after(us.div_ceil(1_000), Event::Step(engine));
        }
    }

    pub(super) fn step(&mut self, engine: usize) {
        if self.engines[engine].health == Health::Dead {
            return;
        }
        let outputs = self.engines[engine].finish();
        for Output::Token(entry, id, last) in outputs {
            self.token(entry, id, last);
        }
        if self.engines[engine].holds_killer() {
            self.tally.killed += 1;
            self.kill(engine);
            return;
        }
        self.kick(engine);
    }

    pub(super) fn token(&mut self, entry: usize, id: job::Id, last: bool) {
        let now = self.now_ms;
        let Some(send) = self.sends.get_mut(&id) else {
            return;
        };
        send.made += 1;
        send.last = now;
        let (made, request, sent) = (send.made, send.request, send.sent);
        let first = send.first.is_none();
        if first {
            send.first = Some(now);
            self.tally.outcomes[request].first_token_ms = Some(now - sent);
            self.after(STALL_MS, Event::Patience(id, made));
            self.with(entry, |policy, now, _| policy.first_token(now, id));
        }
        self.with(entry, |policy, now, _| policy.progressed(now, id, 1));
        if last {
            self.answered(id);
            self.with(entry, |policy, now, out| {
                policy.ended(now, id, job::End::Finished, made, out)
            });
        }
    }

    pub(super) fn ended(&mut self, entry: usize, id: job::Id, end: job::End, made: u32) {
        if let Some(send) = self.sends.get_mut(&id) {
            send.replica = None;
        }
        self.with(entry, |policy, now, out| {
            policy.ended(now, id, end, made, out)
        });
    }

    /// Records the tokens computed for an attempt that was lost.
    pub(super) fn note_lost(&mut self, sequence: &Sequence) {
        if let Some(send) = self.sends.get_mut(&sequence.id) {
            send.spent += sequence.computed;
        }
    }

    pub(super) fn transfer(
        &mut self,
        entry: usize,
        id: job::Id,
        from: replica::Key,
        to: replica::Key,
        how: Transfer,
    ) {
        let source = self.found[entry][&from];
        let target = self.found[entry][&to];
        let Some(mut sequence) = self.engines[source].remove(entry, id) else {
            return;
        };
        let computed = sequence.prompt - sequence.prompt_left;
        if how == Transfer::Rerun {
            sequence.prompt += sequence.made;
            sequence.prompt_left = sequence.prompt;
            self.tally.recomputed += u64::from(computed);
            self.engines[target].submit(sequence);
            self.kick(target);
            return;
        }
        // A replica has one link: transfers go one after the other.
        let takes = TRANSFER_MS + u64::from(computed) / TRANSFER_TOKENS_PER_MS;
        let begin = self
            .links
            .get(&source)
            .copied()
            .unwrap_or(0)
            .max(self.now_ms);
        self.links.insert(source, begin + takes);
        self.at(
            begin + takes,
            Event::Arrive(entry, source, target, Box::new(sequence)),
        );
    }

    pub(super) fn arrive(&mut self, entry: usize, from: usize, to: usize, sequence: Sequence) {
        if !self.sends.contains_key(&sequence.id) {
            return;
        }
        let cut = self.engines[from].health == Health::Dead;
        if cut || self.engines[to].health == Health::Dead {
            self.note_lost(&sequence);
            self.ended(entry, sequence.id, job::End::Crashed, sequence.made);
            return;
        }
        if let Some(send) = self.sends.get_mut(&sequence.id) {
            send.replica = Some(to);
        }
        self.engines[to].submit(sequence);
        self.kick(to);
    }
}
