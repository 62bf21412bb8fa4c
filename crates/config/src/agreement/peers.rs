//! Handling of messages between entries.

use clock::Time;
use lease::holder;

use crate::agreement::Agreement;
use crate::event::Effect;
use crate::message::Message;
use crate::snapshot::Snapshot;

/// Maximum number of versions sent in one message.
const MAX_LOG_VERSIONS: usize = 64;
/// Number of members that receive a version whose announcement is deferred.
const PUSH_FANOUT: usize = 3;
/// Rounds of vote requests in the time that a vote stays valid.
const VOTE_ROUNDS_PER_VALIDITY: f64 = 4.0;

impl Agreement {
    /// Records that a peer has applied a version, and fetches the version if it is newer than the local one.
    pub(super) fn handle_applied(
        &mut self,
        now: Time,
        member: holder::Id,
        version: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.acceptance.set_applied(member, version);
        self.fetch_from_peer(now, member, version, effects);
    }

    /// Requests a newer version from the peer that holds it.
    fn fetch_from_peer(
        &mut self,
        now: Time,
        member: holder::Id,
        version: u64,
        effects: &mut Vec<Effect>,
    ) {
        let after = self.history.version();
        if version <= after || !self.follower.record_version(version, Some(now)) {
            return;
        }
        let message = Message::Fetch { after };
        effects.push(Effect::Send {
            to: member,
            message,
        });
    }

    pub(super) fn handle_message(
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
                let span = self.settings.promise_span_among(members);
                self.promise.extend(now, span);
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
                self.admission.record_vote(from, asked, version);
                self.fetch_from_peer(now, from, version, effects);
            }
        }
    }

    /// Announces the newest version as applied when it is due. While the announcement is deferred, sends a
    /// new version to a few random members, so that it still propagates.
    pub(super) fn announce(&mut self, now: Time, has_new_version: bool, effects: &mut Vec<Effect>) {
        if let Some(version) = self.promise.take_due(now) {
            self.acceptance.set_applied(self.me, version);
            effects.push(Effect::Announce(version));
        }
        let voters = self.admission.voters().len();
        if !has_new_version || self.promise.next_wake().is_none() || voters == 0 {
            return;
        }
        let newest = self.history.version();
        for _ in 0..PUSH_FANOUT {
            let to = self.admission.voters()[self.backoff.pick(voters)];
            let versions = self
                .history
                .versions_after(newest - 1, 1)
                .unwrap_or_default();
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
        match self.history.versions_after(after, MAX_LOG_VERSIONS) {
            Some(versions) => Some(Message::Log { versions }),
            None => Some(Message::Whole {
                snapshot: Snapshot::clone(self.history.snapshot()),
                before: self
                    .history
                    .versions_after(self.history.base_version(), usize::MAX)?,
            }),
        }
    }

    /// Requests votes from the members while the lease is not reliable.
    pub(super) fn request_votes(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now < self.next_vote_round || !self.admission.needs_votes(now) {
            return;
        }
        self.next_vote_round = now
            + self
                .admission
                .vote_validity()
                .scaled(1.0 / VOTE_ROUNDS_PER_VALIDITY);
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
