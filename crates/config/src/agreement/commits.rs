//! How operators' changes are attempted, settled and answered.

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
use crate::submission::Known;

impl Agreement {
    pub(super) fn submit(
        &mut self,
        now: Time,
        operation: Operation,
        change: Change,
        deadline: Time,
        effects: &mut Vec<Effect>,
    ) {
        if self.submissions.len() >= self.settings.queue {
            let answer = Answer::Busy;
            effects.push(Effect::Answer { operation, answer });
            return;
        }
        self.submissions.insert(operation, change, now, deadline);
    }

    /// Attempts one waiting change; returns whether another may be attempted at once.
    pub(super) fn attempt(&mut self, now: Time, effects: &mut Vec<Effect>) -> bool {
        let Some(known) = self.known else {
            return false;
        };
        if known.head.version != self.history.version() {
            return false;
        }
        let Some(operation) = self.submissions.ready(now) else {
            return false;
        };
        let attempt = self.submissions.attempt(
            operation,
            known,
            &self.history,
            &self.settings,
            self.validate,
        );
        match attempt {
            Some(Attempt::Send(transaction, commit)) => {
                let call = Call::Transact(transaction);
                self.call(Purpose::Commit(commit), call, effects);
                false
            }
            Some(Attempt::Done(version)) => {
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

    /// Answers operators whose change is accepted or whose time is up.
    pub(super) fn answer(&mut self, now: Time, effects: &mut Vec<Effect>) {
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
            let answer = self.submissions.give_up(operation);
            effects.push(Effect::Answer { operation, answer });
        }
    }

    pub(super) fn commit_ended(&mut self, now: Time, commit: Commit, outcome: Outcome) {
        let version = commit.version;
        match outcome {
            Outcome::Committed(revision) => {
                self.backoff.reset();
                self.submissions.sent_committed(version.version);
                self.acceptance.track(now, version.version);
                let known = Known {
                    head: commit.head,
                    revision: Some(revision),
                };
                if self.known.is_none_or(|old| old.revision < known.revision) {
                    self.known = Some(known);
                }
                self.follower.expect(version.version, None);
                self.history.push(version);
            }
            Outcome::Conflict(_) => {
                self.submissions.sent_failed(now, None);
                self.reread(now);
            }
            Outcome::Unavailable => {
                let wait = self.backoff.fail();
                self.submissions.sent_failed(now + wait, None);
            }
            _ => {
                let wait = self.backoff.fail();
                self.submissions
                    .sent_failed(now + wait, Some(commit.checked));
                self.reread(now);
            }
        }
    }
}
