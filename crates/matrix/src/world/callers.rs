//! Callers: they send requests, resume after a disconnect, and retry by ticket or key at other entries.

use clock::Span;
use clock::Time;
use entry::arrival::Arrival;
use entry::arrival::Work;
use entry::effect::Addresses;
use entry::event::Event;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use verdict::Refusal;

use crate::history::Cause;
use crate::history::Fact;
use crate::history::Kind;
use crate::history::RequestId;
use crate::history::TryId;
use crate::world::NETWORK_DELAY;
use crate::world::Occurrence;
use crate::world::World;
use crate::world::backend::MODEL_POOL;
use crate::world::backend::SERVICE_POOL;
use crate::world::input::Input;
use crate::world::node::Requester;
use crate::world::operators::CALLER_KEY;

/// Longest time that a caller waits for the next response.
const RESPONSE_TIMEOUT: Span = Span::from_seconds(9);

/// Delay before a retry if the entry names none.
pub(super) const RETRY_DELAY: Span = Span::from_millis(200);

/// How a caller ensures that its call runs at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dedup {
    /// Without any protection.
    None,
    /// By an idempotency key of its own.
    Key,
    /// By a ticket.
    Ticket,
}

/// Response that a caller receives on the connection of one try.
#[derive(Clone)]
pub(crate) enum Response {
    Head {
        token: Option<SmolStr>,
    },
    Chunk {
        offset: u64,
        owner: RequestId,
        index: u64,
    },
    Done {
        owner: RequestId,
    },
    Refused(Refusal),
    Redirect {
        address: SmolStr,
        token: Option<SmolStr>,
    },
    Disconnected(Cause),
}

/// One caller with one request.
pub(crate) struct Caller {
    pub(super) request: RequestId,
    pub(super) kind: Kind,
    pub(super) dedup: Dedup,
    pub(super) killer: bool,
    /// Account, key and send time of a probe of a key that operators change.
    pub(super) probe: Option<(SmolStr, SmolStr, Time)>,
    pub(super) key: SmolStr,
    pub(super) ticket: Option<SmolStr>,
    pub(super) token: Option<SmolStr>,
    pub(super) next_offset: u64,
    /// The open try, and the node that serves it.
    pub(super) open: Option<(TryId, usize)>,
    /// Node to send to next, if an entry named one.
    pub(super) target: Option<usize>,
    pub(super) last_received: Time,
    pub(super) sent: u32,
    pub(super) uncertain: u32,
    /// Whether the caller has received the head of its answer.
    pub(super) has_head: bool,
    pub(super) done: bool,
}

impl World {
    /// Schedules a request for a streamed answer.
    pub fn schedule_model(&mut self, after: Span, tokens: u64) -> RequestId {
        self.add_caller(after, Kind::Model { tokens }, Dedup::None, false)
    }

    /// Schedules a plain call.
    pub fn schedule_plain(&mut self, after: Span, non_idempotent: bool, dedup: Dedup) -> RequestId {
        self.add_caller(after, Kind::Plain { non_idempotent }, dedup, false)
    }

    /// Sends a request that crashes every engine that runs it.
    pub(crate) fn send_killer_request(&mut self) {
        self.add_caller(NETWORK_DELAY, Kind::Model { tokens: 20 }, Dedup::None, true);
    }

    /// Schedules the final disconnect of a caller.
    pub fn schedule_disconnect(&mut self, after: Span, request: RequestId) {
        let caller = request.0 as usize;
        self.after(after, Occurrence::CallerTimeout(caller, TryId(u32::MAX)));
    }

    /// Cancels a request; its caller expects no answer any more.
    pub fn cancel(&mut self, request: RequestId) {
        let caller_index = request.0 as usize;
        let open = self.callers[caller_index].open;
        self.abandon_request(caller_index);
        let Some((try_id, node)) = open else {
            return;
        };
        let flights = &self.nodes[node].flights;
        let found = flights.iter().find(|(_, flight)| flight.try_id() == try_id);
        let Some(serial) = found.map(|(serial, _)| *serial) else {
            return;
        };
        let incarnation = self.nodes[node].identity.incarnation;
        let request = format_smolstr!(
            "{}",
            request::id::Id {
                incarnation,
                serial
            }
        );
        let key = Some(self.callers[caller_index].key.clone());
        let event = move |call| Event::CancelRequested { call, key, request };
        let input = Input::Call(Requester::Cancel, Box::new(event));
        self.after(NETWORK_DELAY, Occurrence::Input(node, input));
    }

    /// Returns whether every caller has finished.
    pub(crate) fn callers_done(&self) -> bool {
        self.callers
            .iter()
            .all(|caller| caller.done || caller.probe.is_some())
    }

    /// Returns whether a request's caller has received the head of its answer.
    pub fn has_head(&self, request: RequestId) -> bool {
        self.callers[request.0 as usize].has_head
    }

    /// Returns whether a request has finished.
    pub fn is_done(&self, request: RequestId) -> bool {
        self.callers[request.0 as usize].done
    }

    /// Returns the entry slot at which a request is open.
    pub fn entry_slot_of(&self, request: RequestId) -> Option<usize> {
        let (_, node) = self.callers[request.0 as usize].open?;
        Some(self.nodes[node].slot)
    }

    /// Returns the backend slot that last began to run a request.
    pub fn backend_slot_of(&self, request: RequestId) -> Option<usize> {
        let mut facts = self.history.records.iter().rev();
        let server = facts.find_map(|(_, fact)| match fact {
            Fact::Started {
                request: started,
                server,
                ..
            } if *started == request => Some(server.clone()),
            _ => None,
        })?;
        self.backends
            .iter()
            .position(|backend| backend.incarnation == server)
    }

    fn add_caller(&mut self, after: Span, kind: Kind, dedup: Dedup, killer: bool) -> RequestId {
        let caller_index = self.callers.len();
        let request = RequestId(caller_index as u32);
        self.callers.push(Caller {
            request,
            kind,
            dedup,
            killer,
            probe: None,
            key: SmolStr::new_static(CALLER_KEY),
            ticket: None,
            token: None,
            next_offset: 0,
            open: None,
            target: None,
            last_received: self.now,
            sent: 0,
            uncertain: 0,
            has_head: false,
            done: false,
        });
        self.record(Fact::Requested {
            request,
            kind,
            killer,
        });
        self.after(after, Occurrence::CallerSends(caller_index));
        request
    }

    /// Sends one probe of a watched key.
    pub(crate) fn send_probe(&mut self, node: usize, account: SmolStr, key: SmolStr) {
        let non_idempotent = false;
        let caller_index = self.callers.len();
        self.add_caller(
            Span::from_seconds(1_000_000),
            Kind::Plain { non_idempotent },
            Dedup::None,
            false,
        );
        let caller = &mut self.callers[caller_index];
        caller.key = key.clone();
        caller.probe = Some((account, key, self.now));
        caller.target = Some(node);
        self.send_request(caller_index);
    }

    /// Returns the request that a try belongs to.
    pub(crate) fn request_of(&self, try_id: TryId) -> RequestId {
        self.callers[self.tries[try_id.0 as usize]].request
    }

    /// Sends a caller's request, or retries it.
    pub(crate) fn send_request(&mut self, caller_index: usize) {
        let caller = &self.callers[caller_index];
        if caller.done || caller.open.is_some() {
            return;
        }
        let node = match caller.target {
            Some(node) => node,
            None => {
                let slot = self.random_below(self.slots.len() as u64) as usize;
                self.slots[slot]
            }
        };
        let caller = &mut self.callers[caller_index];
        caller.target = None;
        if caller.dedup == Dedup::Ticket && caller.ticket.is_none() {
            return self.request_ticket(caller_index, node);
        }
        if !self.is_up(node) {
            return self.after(RETRY_DELAY, Occurrence::CallerSends(caller_index));
        }
        self.send(caller_index, node);
    }

    fn request_ticket(&mut self, caller_index: usize, node: usize) {
        let key = Some(self.callers[caller_index].key.clone());
        let event = move |call| Event::AddressesRequested {
            call,
            key,
            prefix: None,
        };
        let input = Input::Call(Requester::Addresses(caller_index), Box::new(event));
        self.after(NETWORK_DELAY, Occurrence::Input(node, input));
        // The answer may be lost or contain no ticket.
        self.after(
            Span::from_millis(900),
            Occurrence::CallerSends(caller_index),
        );
    }

    /// Handles an entry's answer with addresses and tickets.
    pub(crate) fn receive_addresses(&mut self, node: usize, call: u64, answer: Addresses) {
        let Some(Requester::Addresses(caller_index)) = self.nodes[node].requesters.remove(&call)
        else {
            return;
        };
        let ticket = answer.tickets.first();
        let signed = ticket.map(|ticket| SmolStr::from(self.signers.ticket.sign(ticket)));
        // Some callers use the ticket at the entry that issued it, others elsewhere.
        let at_issuer = self.random_below(2) == 0;
        let caller = &mut self.callers[caller_index];
        if caller.ticket.is_some() || caller.open.is_some() {
            return;
        }
        caller.ticket = signed;
        caller.target = at_issuer.then_some(node);
        if caller.ticket.is_some() {
            self.after(NETWORK_DELAY, Occurrence::CallerSends(caller_index));
        }
    }

    fn send(&mut self, caller_index: usize, node: usize) {
        let try_id = TryId(self.tries.len() as u32);
        self.tries.push(caller_index);
        let now = self.now;
        let caller = &mut self.callers[caller_index];
        caller.sent += 1;
        caller.open = Some((try_id, node));
        caller.last_received = now;
        let arrival = to_arrival(caller);
        let (request, killer, offset) = (caller.request, caller.killer, caller.next_offset);
        let tokens = match caller.kind {
            Kind::Model { tokens } => tokens,
            Kind::Plain { .. } => 0,
        };
        let process = World::process(node);
        self.record(Fact::Sent {
            request,
            try_id,
            process,
            offset,
        });
        let input = Input::Open {
            try_id,
            request,
            arrival,
            killer,
            tokens,
        };
        self.after(NETWORK_DELAY, Occurrence::Input(node, input));
        self.after(
            RESPONSE_TIMEOUT,
            Occurrence::CallerTimeout(caller_index, try_id),
        );
    }

    /// Checks whether a caller's try has timed out; `TryId(u32::MAX)` disconnects the caller for good.
    pub(crate) fn check_caller_timeout(&mut self, caller_index: usize, try_id: TryId) {
        let for_good = try_id == TryId(u32::MAX);
        let caller = &self.callers[caller_index];
        let Some((open, node)) = caller.open else {
            if for_good && !caller.done {
                self.abandon_request(caller_index);
            }
            return;
        };
        if caller.done || (open != try_id && !for_good) {
            return;
        }
        let waited = self.now.since(caller.last_received);
        if for_good {
            self.abandon_request(caller_index);
        } else if waited < RESPONSE_TIMEOUT {
            let remaining = RESPONSE_TIMEOUT - waited;
            return self.after(remaining, Occurrence::CallerTimeout(caller_index, try_id));
        }
        self.after(
            NETWORK_DELAY,
            Occurrence::Input(node, Input::Disconnected { try_id: open }),
        );
        if !for_good {
            self.caller_receives(open, Response::Disconnected(Cause::Timeout));
        }
    }

    pub(super) fn abandon_request(&mut self, caller_index: usize) {
        let request = self.callers[caller_index].request;
        self.record(Fact::Abandoned { request });
        self.callers[caller_index].done = true;
    }
}

fn to_arrival(caller: &Caller) -> Arrival {
    let plain = |method: &'static str, path: &'static str| Work::Plain {
        method: SmolStr::new_static(method),
        path: SmolStr::new_static(path),
    };
    let (deployment, work) = match caller.kind {
        Kind::Model { tokens } => (
            MODEL_POOL,
            Work::Model {
                prompt_tokens: 100,
                max_new_tokens: (tokens - caller.next_offset.min(tokens)) as u32,
                prefix: u64::from(caller.request.0 % 3),
            },
        ),
        Kind::Plain {
            non_idempotent: true,
        } => (SERVICE_POOL, plain("POST", "/receipts")),
        Kind::Plain { .. } => (SERVICE_POOL, plain("GET", "/catalogue")),
    };
    let idempotency_key =
        (caller.dedup == Dedup::Key).then(|| format_smolstr!("key-{}", caller.request.0));
    Arrival {
        key: Some(caller.key.clone()),
        deployment: SmolStr::new_static(deployment),
        work,
        fingerprint: u64::from(caller.request.0) + 1,
        idempotency_key,
        ticket: caller.ticket.clone(),
        resume: caller.token.clone(),
        offset: caller.next_offset,
    }
}
