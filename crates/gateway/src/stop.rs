//! Graceful shutdown: redirects callers, finishes open requests, then ends the process.

use clock::Span;
use clock::Time;
use line::Line;
use verdict::Reason;
use verdict::Refusal;

use crate::effect::Effect;
use crate::gateway::Gateway;

/// Factor on the time that an address may be kept. Callers use an address for up to that long, and the
/// requests that still arrive are served.
const ADDRESS_HOLD_FACTOR: u64 = 3;
/// Time before the end of the grace period from which no new request is accepted.
const REQUEST_CUTOFF: Span = Span::from_millis(1_500);
/// Time before the end of the grace period from which no new stream is accepted. Most last 2 to 3 s, the
/// longest hundredth 4 s. A stream still running at the end is cut, while a refusal lets its caller go
/// elsewhere at once.
const STREAM_CUTOFF: Span = Span::from_millis(5_000);
/// Time before the end of the grace period from which requests that no replica has are refused.
const REFUSAL_MARGIN: Span = Span::from_millis(400);
/// Time before the end of the grace period at which the process exits, whatever still runs: long enough for the last
/// answers to be sent.
const EXIT_MARGIN: Span = Span::from_millis(150);

impl Gateway {
    /// Starts the shutdown.
    pub(crate) fn begin_stop(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.stop_requested_at.is_some() {
            return;
        }
        self.stop_requested_at = Some(now);
        let line = Line::info("stop_asked").with("open", self.requests.len());
        effects.push(Effect::Log(line));
        self.step_membership(now, member::event::Event::Drain, effects);
    }

    /// Returns whether it is too late to accept a new request, or a stream.
    pub(crate) fn is_ending(&self, now: Time, stream: bool) -> bool {
        let needed = match stream {
            true => STREAM_CUTOFF,
            false => REQUEST_CUTOFF,
        };
        self.stop_requested_at
            .is_some_and(|requested_at| now.since(requested_at) + needed >= self.settings.grace)
    }

    /// Returns when the shutdown next needs a tick.
    pub(crate) fn next_stop_wake(&self) -> Option<Time> {
        let requested_at = self.stop_requested_at?;
        let drain_time = self.drain_time();
        let end_of = |margin: Span| requested_at + (self.settings.grace - margin);
        let has_waiting = self.waiting_requests().next().is_some();
        Some(match (self.is_idle(), has_waiting) {
            (true, _) => requested_at + drain_time,
            (false, true) => end_of(REFUSAL_MARGIN),
            (false, false) => end_of(EXIT_MARGIN),
        })
    }

    /// Exits once no request is open, or the grace period is over. Requests that no replica has are refused a little
    /// earlier than those that may still be answered.
    pub(crate) fn stop_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(requested_at) = self.stop_requested_at else {
            return;
        };
        let waited = now.since(requested_at);
        let is_over = waited >= self.settings.grace - EXIT_MARGIN;
        if is_over {
            let open = self.requests.keys().copied().collect();
            self.refuse_all(now, open, effects);
        } else if waited >= self.settings.grace - REFUSAL_MARGIN {
            let waiting = self.waiting_requests().collect();
            self.refuse_all(now, waiting, effects);
        }
        if !is_over && (waited < self.drain_time() || !self.is_idle()) {
            return;
        }
        effects.push(Effect::Log(Line::info("stopped").with("waited", waited)));
        effects.push(Effect::Exit);
    }

    /// Returns whether nothing runs through this entry: no request of its callers or of its peers' callers.
    fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.tunnels == 0
    }

    /// Returns for how long callers may still use an address that they got before the shutdown.
    fn drain_time(&self) -> Span {
        let hold_time = self.settings.address_ttl.times(ADDRESS_HOLD_FACTOR);
        hold_time.min(self.settings.grace - REFUSAL_MARGIN)
    }

    /// Returns the open requests that no replica has.
    fn waiting_requests(&self) -> impl Iterator<Item = u64> {
        let waiting = self.requests.iter();
        waiting
            .filter(|(_, request)| request.replica.is_none())
            .map(|(serial, _)| *serial)
    }

    fn refuse_all(&mut self, now: Time, serials: Vec<u64>, effects: &mut Vec<Effect>) {
        for serial in serials {
            let refusal = Refusal::not_run(Reason::Leaving, "this entry ends");
            self.cancel_and_refuse(now, serial, refusal, effects);
        }
    }
}
