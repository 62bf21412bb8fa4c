//! How callers handle responses and decide on retries.

use clock::Span;
use verdict::Reason;
use verdict::Refusal;
use verdict::Verdict;

use crate::history::Fact;
use crate::history::Kind;
use crate::history::TryId;
use crate::world::Bug;
use crate::world::NETWORK_DELAY;
use crate::world::Occurrence;
use crate::world::World;
use crate::world::callers::Dedup;
use crate::world::callers::RETRY_DELAY;
use crate::world::callers::Response;

/// Longest delay before a retry after repeated refusals.
const MAX_RETRY_DELAY: Span = Span::from_seconds(2);

/// Uncertain outcomes of a non-idempotent call after which its caller stops retrying.
const MAX_UNCERTAIN_TRIES: u32 = 4;

impl World {
    /// Handles a response to a caller; responses on connections that it has closed are dropped.
    pub(crate) fn caller_receives(&mut self, try_id: TryId, response: Response) {
        let caller_index = self.tries[try_id.0 as usize];
        let now = self.now;
        let caller = &mut self.callers[caller_index];
        let Some((open, node)) = caller.open else {
            return;
        };
        if open != try_id || caller.done {
            return;
        }
        caller.last_received = now;
        let request = caller.request;
        match response {
            Response::Head { token } => {
                caller.token = token;
                caller.has_head = true;
                self.record(Fact::Head { request });
            }
            Response::Chunk {
                offset,
                owner,
                index,
            } => {
                caller.next_offset = caller.next_offset.max(offset + 1);
                self.record(Fact::Chunk {
                    request,
                    try_id,
                    offset,
                    owner,
                    index,
                });
            }
            Response::Done { owner } => {
                caller.done = true;
                caller.open = None;
                self.record(Fact::Completed {
                    request,
                    try_id,
                    owner,
                });
                self.finish_probe(caller_index, None);
            }
            Response::Refused(refusal) => self.receive_refusal(caller_index, try_id, &refusal),
            Response::Redirect { address, token } => {
                caller.open = None;
                if token.is_some() {
                    caller.token = token;
                }
                let nodes = &self.nodes;
                caller.target = nodes
                    .iter()
                    .position(|node| node.identity.caller_address == address);
                self.record(Fact::Redirected { request });
                self.after(NETWORK_DELAY, Occurrence::CallerSends(caller_index));
            }
            Response::Disconnected(cause) => {
                caller.open = None;
                caller.uncertain += 1;
                let process = World::process(node);
                self.record(Fact::Disconnected {
                    request,
                    process,
                    cause,
                });
                self.retry(caller_index, RETRY_DELAY);
            }
        }
    }

    fn receive_refusal(&mut self, caller_index: usize, try_id: TryId, refusal: &Refusal) {
        let (mut verdict, reason) = (refusal.verdict, refusal.reason);
        if self.bug == Bug::ClaimNotRun {
            verdict = Verdict::NotRun;
        }
        let caller = &mut self.callers[caller_index];
        caller.open = None;
        let request = caller.request;
        let certain = verdict == Verdict::NotRun;
        if !certain {
            caller.uncertain += 1;
        }
        // A new ticket is safe only if nothing can have run under the old one.
        if certain && caller.uncertain == 0 {
            caller.ticket = None;
        }
        self.record(Fact::Refused {
            request,
            try_id,
            verdict,
            reason,
        });
        if self.finish_probe(caller_index, Some(reason)) {
            return;
        }
        let try_elsewhere = matches!(reason, Reason::Leaving | Reason::NotReady);
        match refusal.retry_after {
            Some(after) if !try_elsewhere => self.retry(caller_index, after),
            _ if try_elsewhere => {
                let sent = u64::from(self.callers[caller_index].sent);
                self.retry(caller_index, RETRY_DELAY.times(sent).min(MAX_RETRY_DELAY));
            }
            _ => match self.callers[caller_index].kind {
                Kind::Plain {
                    non_idempotent: true,
                } => self.retry(caller_index, RETRY_DELAY),
                _ => self.callers[caller_index].done = true,
            },
        }
    }

    /// Schedules a retry, unless it could run a non-idempotent call twice for lack of a key or ticket.
    fn retry(&mut self, caller_index: usize, after: Span) {
        let caller = &mut self.callers[caller_index];
        let non_idempotent = matches!(
            caller.kind,
            Kind::Plain {
                non_idempotent: true
            }
        );
        let unprotected = caller.dedup == Dedup::None;
        if caller.probe.is_some()
            || (non_idempotent && caller.uncertain > 0 && unprotected)
            || (non_idempotent && caller.uncertain >= MAX_UNCERTAIN_TRIES)
        {
            caller.done = true;
            return;
        }
        self.after(after + NETWORK_DELAY, Occurrence::CallerSends(caller_index));
    }

    /// Finishes the probe of a watched key; returns whether the request was one.
    fn finish_probe(&mut self, caller_index: usize, reason: Option<Reason>) -> bool {
        let Some((account, key, sent)) = self.callers[caller_index].probe.clone() else {
            return false;
        };
        self.callers[caller_index].done = true;
        let unadmitted = [Reason::Unauthorized, Reason::NotReady, Reason::Leaving];
        if reason.is_none_or(|reason| !unadmitted.contains(&reason)) {
            self.record(Fact::Admitted { account, key, sent });
        }
        true
    }
}
