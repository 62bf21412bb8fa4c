//! Graceful shutdown: redirects callers, finishes open requests, then ends the process.

use clock::Span;
use clock::Time;
use line::Line;
use verdict::Reason;
use verdict::Refusal;

use crate::catalog::Repeat;
use crate::configs::gateway::Settings;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::request::Request;

/// Factor on the time that an address may be kept. Callers use an address for up to that long, and the
/// requests that still arrive are served.
const ADDRESS_HOLD_FACTOR: u64 = 3;
/// Time before the end of the grace period from which no new request is accepted, however short its answers are.
const REQUEST_CUTOFF: Span = Span::from_millis(1_500);
/// Time before the end of the grace period from which no new stream is accepted. Most last 2 to 3 s, the
/// longest hundredth 4 s. A stream still running at the end is cut, while a refusal lets its caller go
/// elsewhere at once.
const STREAM_CUTOFF: Span = Span::from_millis(5_000);
/// Factor on the longest of a route's latest answers: others take longer now and then, and a refusal costs a caller less
/// than an answer that it doesn't get.
const DURATION_MARGIN: f64 = 1.25;
/// Message to callers of an entry that doesn't accept their requests any more.
pub const ABOUT_TO_END: &str = "this entry is about to end";
/// Retry delay for callers of an entry that stops; they ask for other addresses first.
const LEAVING_RETRY: Span = Span::from_millis(50);
/// Time before the end of the grace period from which requests that no replica has are refused.
const REFUSAL_MARGIN: Span = Span::from_millis(400);
/// Time before the end of the grace period at which the process exits, whatever still runs: long enough for the last
/// answers to be sent.
const EXIT_MARGIN: Span = Span::from_millis(150);

/// A shutdown that was requested. Its end is fixed then: whoever requested it ends the process by the grace period that
/// was in force, and a reload of the settings doesn't change that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Stop {
    /// When the request was handled.
    begun_at: Time,
    /// Earliest time at which it may have been made.
    requested_at: Time,
    grace: Span,
    /// Time for which callers may still use an address that they got before `begun_at`.
    drain_time: Span,
}

impl Stop {
    fn new(now: Time, since: Time, settings: &Settings) -> Stop {
        let hold_time = settings.address_ttl.times(ADDRESS_HOLD_FACTOR);
        Stop {
            begun_at: now,
            requested_at: since.min(now),
            grace: settings.grace,
            drain_time: hold_time,
        }
    }

    /// Returns the rest of the grace period.
    fn time_left(&self, now: Time) -> Span {
        self.grace - now.since(self.requested_at)
    }

    /// Returns the time that lies `margin` before the end of the grace period.
    fn before_end(&self, margin: Span) -> Time {
        self.requested_at + (self.grace - margin)
    }

    /// Returns the time until which callers may come with an address that they got before the shutdown.
    fn drain_end(&self) -> Time {
        let drain_end = self.begun_at + self.drain_time;
        drain_end.min(self.before_end(REFUSAL_MARGIN))
    }
}

impl Gateway {
    /// Starts the shutdown.
    pub(crate) fn begin_stop(&mut self, now: Time, since: Time, effects: &mut Vec<Effect>) {
        if self.stop.is_some() {
            return;
        }
        self.stop = Some(Stop::new(now, since, &self.settings));
        let line = Line::info("stop_asked")
            .with("open", self.requests.len())
            .with("pending_ms", now.since(since).as_millis())
            .with("left_ms", self.grace_left(now).as_millis());
        effects.push(Effect::Log(line));
        self.step_membership(now, member::event::Event::Drain, effects);
    }

    /// Returns whether a request of this route, with `time_left` of its own, may not get its answer before the entry ends.
    pub(crate) fn is_ending(
        &self,
        now: Time,
        route: &str,
        repeat: Repeat,
        time_left: Span,
    ) -> bool {
        self.stop.is_some_and(|stop| {
            let needed = self.time_needed(route, repeat, time_left);
            now >= stop.before_end(needed)
        })
    }

    /// Returns whether it is too late to send a request to its first replica.
    pub(crate) fn is_too_late(&self, now: Time, request: &Request) -> bool {
        let time_left = request.deadline.since(now);
        !request.may_have_run() && self.is_ending(now, &request.route, request.repeat, time_left)
    }

    /// Returns how long before the end of the grace period a request has to begin: what the answers of its route take or,
    /// as long as none was measured, its time limit. An idempotent call may be repeated elsewhere, so it is tried.
    fn time_needed(&self, route: &str, repeat: Repeat, time_left: Span) -> Span {
        let least = match repeat.is_stream() {
            true => STREAM_CUTOFF,
            false => REQUEST_CUTOFF,
        };
        let expected = match self.durations.longest(route) {
            Some(longest) => longest.scaled(DURATION_MARGIN).min(time_left),
            None if repeat == Repeat::Idempotent => Span::ZERO,
            None => time_left,
        };
        least.max(expected + EXIT_MARGIN)
    }

    /// Returns for how much longer the process may run, once it was asked to stop.
    pub fn grace_left(&self, now: Time) -> Span {
        self.stop
            .map_or(self.settings.grace, |stop| stop.time_left(now))
    }

    /// Returns when the shutdown next needs a tick.
    pub(crate) fn next_stop_wake(&self, now: Time) -> Option<Time> {
        let stop = self.stop?;
        let waiting = self.waiting_requests().map(|(_, request)| {
            let time_left = request.deadline.since(now);
            let needed = match request.may_have_run() {
                true => REFUSAL_MARGIN,
                false => self.time_needed(&request.route, request.repeat, time_left),
            };
            stop.before_end(needed).max(now)
        });
        Some(match self.is_idle() {
            true => stop.drain_end(),
            false => waiting.min().unwrap_or(stop.before_end(EXIT_MARGIN)),
        })
    }

    /// Exits once no request is open, or the grace period is over. Requests that no replica has are refused once their
    /// answers wouldn't come in time, and a little before the others at the latest.
    pub(crate) fn stop_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(stop) = self.stop else {
            return;
        };
        let is_over = now >= stop.before_end(EXIT_MARGIN);
        if is_over {
            let open = self.requests.keys().copied().collect();
            self.refuse_all(now, open, effects);
        } else {
            let is_last_call = now >= stop.before_end(REFUSAL_MARGIN);
            let late = self.waiting_requests();
            let late = late.filter(|(_, request)| is_last_call || self.is_too_late(now, request));
            let late = late.map(|(serial, _)| serial).collect();
            self.refuse_all(now, late, effects);
        }
        if !is_over && (now < stop.drain_end() || !self.is_idle()) {
            return;
        }
        let waited = now.since(stop.begun_at);
        effects.push(Effect::Log(Line::info("stopped").with("waited", waited)));
        effects.push(Effect::Exit);
    }

    /// Returns whether nothing runs through this entry: no request of its callers or of its peers' callers.
    fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.tunnels == 0
    }

    /// Returns the open requests that no replica has.
    fn waiting_requests(&self) -> impl Iterator<Item = (u64, &Request)> {
        let waiting = self.requests.iter();
        waiting
            .filter(|(_, request)| request.replica.is_none())
            .map(|(serial, request)| (*serial, request))
    }

    fn refuse_all(&mut self, now: Time, serials: Vec<u64>, effects: &mut Vec<Effect>) {
        for serial in serials {
            let refusal = Refusal::not_run(Reason::Leaving, "this entry ends");
            self.cancel_and_refuse(now, serial, refusal, effects);
        }
    }
}

/// Returns the refusal of a request whose answer wouldn't come before the entry ends, or that came after its end.
pub fn leaving_refusal(message: &'static str) -> Refusal {
    let refusal = Refusal::not_run(Reason::Leaving, message);
    refusal.with_retry_after(LEAVING_RETRY)
}
