//! A planned stop: callers are led away, what is open is finished, then the process ends.

use clock::Span;
use clock::Time;
use line::Line;
use verdict::Reason;
use verdict::Refusal;

use crate::effect::Effect;
use crate::gateway::Gateway;

/// Callers hold on to an address for up to three times what it may be kept; until then requests still
/// come here and are served.
const ADDRESS_HOLD_FACTOR: u64 = 3;
/// Baseline the end of the grace: nothing new is begun.
const REQUEST_CUTOFF: Span = Span::from_millis(1_500);
/// Baseline the end of the grace: no new stream is begun. Most last 2 to 3 s, the longest hundredth 4 s; one that the
/// end overtakes is cut in the middle of its answer, while a refusal lets its caller go elsewhere at once.
const STREAM_CUTOFF: Span = Span::from_millis(5_000);
/// Baseline the end of the grace: answers under way are broken off and the process ends by itself.
const EXIT_MARGIN: Span = Span::from_millis(400);

impl Gateway {
    /// Begins the stop.
    pub(crate) fn stop_asked(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.stop_requested_at.is_some() {
            return;
        }
        self.stop_requested_at = Some(now);
        let line = Line::info("stop_asked").with("open", self.requests.len());
        effects.push(Effect::Log(line));
        self.step_membership(now, member::event::Event::Drain, effects);
    }

    /// Whether requests that come now can't be finished any more.
    pub(crate) fn is_ending(&self, now: Time, stream: bool) -> bool {
        let needed = match stream {
            true => STREAM_CUTOFF,
            false => REQUEST_CUTOFF,
        };
        self.stop_requested_at
            .is_some_and(|asked| now.since(asked) + needed >= self.settings.grace)
    }

    /// When the stop goes on.
    pub(crate) fn next_stop_wake(&self) -> Option<Time> {
        let asked = self.stop_requested_at?;
        let drain_time = self.drain_time();
        let end = asked + (self.settings.grace - EXIT_MARGIN);
        Some(match self.requests.is_empty() {
            true => end.min(asked + drain_time),
            false => end,
        })
    }

    /// Ends the process once nothing is open, or its time is up.
    pub(crate) fn stop_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(asked) = self.stop_requested_at else {
            return;
        };
        let waited = now.since(asked);
        if waited >= self.settings.grace - EXIT_MARGIN {
            self.refuse_open_requests(now, effects);
        } else if waited < self.drain_time() || !self.requests.is_empty() {
            return;
        }
        effects.push(Effect::Log(Line::info("stopped").with("waited", waited)));
        effects.push(Effect::Exit);
    }

    /// How long callers may still come with an address that they were told before the stop.
    fn drain_time(&self) -> Span {
        let held = self.settings.address_ttl.times(ADDRESS_HOLD_FACTOR);
        held.min(self.settings.grace - EXIT_MARGIN)
    }

    /// Gives every open request its last word.
    fn refuse_open_requests(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let serials: Vec<u64> = self.requests.keys().copied().collect();
        for serial in serials {
            let refusal = Refusal::not_run(Reason::Leaving, "this entry ends");
            self.refuse(now, serial, refusal, effects);
        }
    }
}
