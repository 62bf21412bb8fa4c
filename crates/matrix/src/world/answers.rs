//! How callers handle responses and decide on retries.

use clock::Span;
use verdict::Reason;
use verdict::Refusal;
use verdict::Verdict;

use crate::history::Fact;
use crate::history::Kind;
use crate::history::Try;
use crate::world::Bug;
use crate::world::HOP;
use crate::world::Happening;
use crate::world::World;
use crate::world::callers::CallerWord;
use crate::world::callers::Once;
use crate::world::callers::PAUSE;

/// Longest delay before a retry after repeated refusals.
const LONGEST_PAUSE: Span = Span::from_seconds(2);

/// Uncertain outcomes of a non-idempotent call after which its caller stops retrying.
const STUBBORN: u32 = 4;

impl World {
    /// Handles a response to a caller; responses on connections that it has closed are dropped.
    pub(crate) fn caller_hears(&mut self, name: Try, word: CallerWord) {
        let number = self.tries[name.0 as usize];
        let now = self.now;
        let caller = &mut self.callers[number];
        let Some((open, node)) = caller.open else {
            return;
        };
        if open != name || caller.done {
            return;
        }
        caller.heard = now;
        let ask = caller.ask;
        match word {
            CallerWord::Head { token } => {
                caller.token = token;
                caller.headed = true;
                self.note(Fact::Head { ask });
            }
            CallerWord::Chunk {
                offset,
                owner,
                index,
            } => {
                caller.next = caller.next.max(offset + 1);
                self.note(Fact::Chunk {
                    ask,
                    number: name,
                    offset,
                    owner,
                    index,
                });
            }
            CallerWord::Done { owner } => {
                caller.done = true;
                caller.open = None;
                self.note(Fact::Whole {
                    ask,
                    number: name,
                    owner,
                });
                self.probe_ended(number, None);
            }
            CallerWord::Refused(refusal) => self.refused(number, name, &refusal),
            CallerWord::Continue { address, token } => {
                caller.open = None;
                if token.is_some() {
                    caller.token = token;
                }
                let nodes = &self.nodes;
                caller.told = nodes
                    .iter()
                    .position(|node| node.identity.caller_address == address);
                self.note(Fact::Continued { ask });
                self.after(HOP, Happening::CallerActs(number));
            }
            CallerWord::Cut(cause) => {
                caller.open = None;
                caller.uncertain += 1;
                let life = World::life(node);
                self.note(Fact::Cut { ask, life, cause });
                self.come_back(number, PAUSE);
            }
        }
    }

    fn refused(&mut self, number: usize, name: Try, refusal: &Refusal) {
        let (mut verdict, reason) = (refusal.verdict, refusal.reason);
        if self.bug == Bug::SayNotRun {
            verdict = Verdict::NotRun;
        }
        let caller = &mut self.callers[number];
        caller.open = None;
        let ask = caller.ask;
        let certain = verdict == Verdict::NotRun;
        if !certain {
            caller.uncertain += 1;
        }
        // A new ticket is safe only if nothing can have run under the old one.
        if certain && caller.uncertain == 0 {
            caller.ticket = None;
        }
        self.note(Fact::Refused {
            ask,
            number: name,
            verdict,
            reason,
        });
        if self.probe_ended(number, Some(reason)) {
            return;
        }
        let elsewhere = matches!(reason, Reason::Leaving | Reason::NotReady);
        match refusal.retry_after {
            Some(after) if !elsewhere => self.come_back(number, after),
            _ if elsewhere => {
                let sent = u64::from(self.callers[number].sent);
                self.come_back(number, PAUSE.times(sent).min(LONGEST_PAUSE));
            }
            _ => match self.callers[number].kind {
                Kind::Plain {
                    non_idempotent: true,
                } => self.come_back(number, PAUSE),
                _ => self.callers[number].done = true,
            },
        }
    }

    /// Schedules a retry, unless a non-idempotent call could run twice because no key or ticket identifies it.
    fn come_back(&mut self, number: usize, after: Span) {
        let caller = &mut self.callers[number];
        let non_idempotent = matches!(
            caller.kind,
            Kind::Plain {
                non_idempotent: true
            }
        );
        let unnamed = caller.once == Once::No;
        if caller.watched.is_some()
            || (non_idempotent && caller.uncertain > 0 && unnamed)
            || (non_idempotent && caller.uncertain >= STUBBORN)
        {
            caller.done = true;
            return;
        }
        self.after(after + HOP, Happening::CallerActs(number));
    }

    /// Finishes the probe of a watched key; returns whether the request was one.
    fn probe_ended(&mut self, number: usize, reason: Option<Reason>) -> bool {
        let Some((account, key, sent)) = self.callers[number].watched.clone() else {
            return false;
        };
        self.callers[number].done = true;
        let unused = [Reason::Unauthorized, Reason::NotReady, Reason::Leaving];
        if reason.is_none_or(|reason| !unused.contains(&reason)) {
            self.note(Fact::Admitted { account, key, sent });
        }
        true
    }
}
