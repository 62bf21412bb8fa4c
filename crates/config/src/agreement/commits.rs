//! Commits of operators' changes and the answers to operators.

use clock::Time;
use store::call::Call;
use store::call::Outcome;

use crate::agreement::Agreement;
use crate::agreement::Purpose;
use crate::change::Answer;
use crate::change::Change;
use crate::change::Operation;
use crate::change::Progress;
use crate::event::Effect;
use crate::submission::Attempt;
use crate::submission::Commit;
use crate::submission::KnownHead;

impl Agreement {
    pub(super) fn submit(
        &mut self,
        now: Time,
        operation: Operation,
        change: Change,
        deadline: Time,
        effects: &mut Vec<Effect>,
    ) {
        if self.submissions.len() >= self.settings.max_pending_changes {
            let answer = Answer::Busy;
            effects.push(Effect::Answer { operation, answer });
            return;
        }
        self.submissions.insert(operation, change, now, deadline);
    }

    /// Attempts one pending change; returns whether another may be attempted immediately.
    pub(super) fn attempt_next(&mut self, now: Time, effects: &mut Vec<Effect>) -> bool {
        let Some(known) = self.known_head else {
            return false;
        };
        if known.head.version != self.history.version() {
            return false;
        }
        let Some(operation) = self.submissions.ready(now) else {
            return false;
        };
        let attempt = self.submissions.prepare_attempt(
            operation,
            known,
            &self.history,
            &self.settings,
            self.validate,
        );
        match attempt {
            Some(Attempt::Commit(transaction, commit)) => {
                let call = Call::Transact(transaction);
                self.send_call(Purpose::Commit(commit), call, effects);
                false
            }
            Some(Attempt::AlreadyCommitted(version)) => {
                self.acceptance.track(now, version);
                true
            }
            Some(Attempt::Answer(answer)) => {
                self.submissions.remove(operation);
                effects.push(Effect::Answer { operation, answer });
                true
            }
            None => false,
        }
    }

    /// Answers operators whose change is accepted or whose deadline has passed.
    pub(super) fn answer_operators(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let overdue = self.submissions.overdue(now);
        for (operation, version) in self.submissions.committed() {
            let answer = match self.acceptance.progress(version) {
                Progress::Accepted => Answer::Accepted { version },
                Progress::Waiting(waiting) if overdue.contains(&operation) => {
                    Answer::Committed { version, waiting }
                }
                _ => continue,
            };
            self.submissions.remove(operation);
            effects.push(Effect::Answer { operation, answer });
        }
        for operation in self.submissions.overdue(now) {
            let answer = self.submissions.abandon(operation);
            effects.push(Effect::Answer { operation, answer });
        }
    }

    pub(super) fn handle_commit(&mut self, now: Time, commit: Commit, outcome: Outcome) {
        let version = commit.version;
        match outcome {
            Outcome::Committed(revision) => {
                self.backoff.reset();
                self.submissions.record_commit(version.version);
                self.acceptance.track(now, version.version);
                let known = KnownHead {
                    head: commit.head,
                    revision: Some(revision),
                };
                if self
                    .known_head
                    .is_none_or(|old| old.revision < known.revision)
                {
                    self.known_head = Some(known);
                }
                self.follower.record_version(version.version, None);
                self.history.push(version);
            }
            Outcome::Conflict(_) => {
                self.submissions.record_failure(now, None);
                self.invalidate_head(now);
            }
            Outcome::Unavailable => {
                let wait = self.backoff.next_delay();
                self.submissions.record_failure(now + wait, None);
            }
            _ => {
                let wait = self.backoff.next_delay();
                self.submissions
                    .record_failure(now + wait, Some(commit.expected_revision));
                self.invalidate_head(now);
            }
        }
    }
}
