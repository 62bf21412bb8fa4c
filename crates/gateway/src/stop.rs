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
const HELD_ANSWERS: u64 = 3;
/// Before the end of the grace: nothing new is begun.
const LAST_CALL: Span = Span::from_millis(1_500);
/// Before the end of the grace: no new stream is begun. Most last 2 to 3 s, the longest hundredth 4 s; one that the
/// end overtakes is cut in the middle of its answer, while a refusal lets its caller go elsewhere at once.
const LAST_STREAM: Span = Span::from_millis(5_000);
/// Before the end of the grace: answers under way are broken off and the process ends by itself.
const LAST_WORD: Span = Span::from_millis(400);

impl Gateway {
    /// Begins the stop.
    pub(crate) fn stop_asked(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(now);
        let line = Line::info("stop_asked").with("open", self.requests.len());
        effects.push(Effect::Log(line));
        self.step_membership(now, member::event::Event::Drain, effects);
    }

    /// Whether requests that come now can't be finished any more.
    pub(crate) fn is_ending(&self, now: Time, stream: bool) -> bool {
        let needed = match stream {
            true => LAST_STREAM,
            false => LAST_CALL,
        };
        self.stopping
            .is_some_and(|asked| now.since(asked) + needed >= self.settings.grace)
    }

    /// When the stop goes on.
    pub(crate) fn next_stop_wake(&self) -> Option<Time> {
        let asked = self.stopping?;
        let linger = self.linger();
        let end = asked + (self.settings.grace - LAST_WORD);
        Some(match self.requests.is_empty() {
            true => end.min(asked + linger),
            false => end,
        })
    }

    /// Ends the process once nothing is open, or its time is up.
    pub(crate) fn stop_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(asked) = self.stopping else {
            return;
        };
        let waited = now.since(asked);
        if waited >= self.settings.grace - LAST_WORD {
            self.break_off(now, effects);
        } else if waited < self.linger() || !self.requests.is_empty() {
            return;
        }
        effects.push(Effect::Log(Line::info("stopped").with("waited", waited)));
        effects.push(Effect::Exit);
    }

    /// How long callers may still come with an address that they were told before the stop.
    fn linger(&self) -> Span {
        let held = self.settings.address_keep.times(HELD_ANSWERS);
        held.min(self.settings.grace - LAST_WORD)
    }

    /// Gives every open request its last word.
    fn break_off(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let serials: Vec<u64> = self.requests.keys().copied().collect();
        for serial in serials {
            let refusal = Refusal::not_run(Reason::Leaving, "this entry ends");
            self.refuse(now, serial, refusal, effects);
        }
    }
}
