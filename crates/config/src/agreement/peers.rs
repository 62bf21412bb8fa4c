//! What is said between entries, and what follows from it.

use clock::Time;
use lease::holder;

use crate::agreement::Agreement;
use crate::event::Effect;
use crate::message::Message;
use crate::snapshot::Snapshot;

/// Versions sent in one message.
const LOG_LIMIT: usize = 64;
/// Members that are handed a version that can't be announced yet.
const PUSHES: usize = 3;
/// Rounds of questions to the members while a word counts.
const ASKS_PER_WORD: f64 = 4.0;

impl Agreement {
    /// A peer holds a version: newer than ours, it is fetched from there.
    pub(super) fn heard(
        &mut self,
        now: Time,
        member: holder::Id,
        version: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.acceptance.set_applied(member, version);
        self.expect(now, member, version, effects);
    }

    /// Fetches a newer version from the peer that holds it.
    fn expect(&mut self, now: Time, member: holder::Id, version: u64, effects: &mut Vec<Effect>) {
        let after = self.history.version();
        if version <= after || !self.follower.expect(version, Some(now)) {
            return;
        }
        let message = Message::Fetch { after };
        effects.push(Effect::Send {
            to: member,
            message,
        });
    }

    pub(super) fn told(
        &mut self,
        now: Time,
        from: holder::Id,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Fetch { after } => {
                if let Some(message) = self.answer_fetch(after) {
                    effects.push(Effect::Send { to: from, message });
                }
            }
            Message::Log { versions } => {
                for version in versions {
                    self.history.push(version);
                }
            }
            Message::Whole { snapshot, before } => {
                self.history.replace(snapshot, before);
            }
            Message::Ask { asker, asked } => {
                let members = self.admission.voters().len();
                let counts = self.settings.promise_among(members);
                self.promise.give(now, counts);
                let message = Message::Word {
                    asker,
                    asked,
                    version: self.history.version(),
                    voters: self.admission.voters().to_vec(),
                };
                effects.push(Effect::Send { to: from, message });
            }
            Message::Word { asker, .. } if asker != self.me => {}
            Message::Word {
                asked,
                version,
                voters,
                ..
            } => {
                if self.admission.voters().is_empty() {
                    self.admission.set_voters(voters);
                }
                let asked = Time::from_millis(asked);
                self.admission.hear(from, asked, version);
                self.expect(now, from, version, effects);
            }
        }
    }

    /// Says that a version has been applied, or, while that must wait, hands it to a few members, so
    /// that it spreads meanwhile all the same.
    pub(super) fn announce(&mut self, now: Time, rose: bool, effects: &mut Vec<Effect>) {
        if let Some(version) = self.promise.due(now) {
            self.acceptance.set_applied(self.me, version);
            effects.push(Effect::Announce(version));
        }
        let voters = self.admission.voters().len();
        if !rose || self.promise.next_wake().is_none() || voters == 0 {
            return;
        }
        let newest = self.history.version();
        for _ in 0..PUSHES {
            let to = self.admission.voters()[self.backoff.pick(voters)];
            let versions = self.history.after(newest - 1, 1).unwrap_or_default();
            if to != self.me {
                let message = Message::Log { versions };
                effects.push(Effect::Send { to, message });
            }
        }
    }

    fn answer_fetch(&self, after: u64) -> Option<Message> {
        if after >= self.history.version() {
            return None;
        }
        match self.history.after(after, LOG_LIMIT) {
            Some(versions) => Some(Message::Log { versions }),
            None => Some(Message::Whole {
                snapshot: Snapshot::clone(self.history.snapshot()),
                before: self.history.after(self.history.floor(), usize::MAX)?,
            }),
        }
    }

    /// Asks the members which version they hold while the lease is not to be relied on.
    pub(super) fn ask(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now < self.next_ask || !self.admission.wants_word(now) {
            return;
        }
        self.next_ask = now + self.admission.word_counts().scaled(1.0 / ASKS_PER_WORD);
        let asked = now.as_millis();
        let members = match self.admission.voters() {
            [] => &self.peers,
            voters => voters,
        };
        for member in members.iter().filter(|member| **member != self.me) {
            effects.push(Effect::Send {
                to: *member,
                message: Message::Ask {
                    asker: self.me,
                    asked,
                },
            });
        }
    }
}
