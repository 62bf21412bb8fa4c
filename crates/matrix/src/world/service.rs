//! Fake plain services that record each execution.

use clock::Span;
use smol_str::SmolStr;

use crate::history::Ask;
use crate::history::Try;
use crate::world::Happening;
use crate::world::World;
use crate::world::engine::Failure;
use crate::world::engine::Reader;
use crate::world::engine::Word;

/// One call in flight.
pub(crate) struct ServiceCall {
    pub reader: Reader,
    pub address: SmolStr,
    pub ask: Ask,
    pub number: Try,
}

/// One call that a service executes.
pub(crate) struct Running {
    reader: Reader,
    ask: Ask,
    slot: usize,
    incarnation: SmolStr,
}

impl World {
    /// Executes a call that has reached a service's address.
    pub(crate) fn service_lands(&mut self, call: ServiceCall) {
        let Some(slot) = self.backend_at(&call.address) else {
            return self.not_opened_word(call.reader, Failure::NotSent, false);
        };
        if self.refuses_start() {
            return self.not_opened_word(call.reader, Failure::NotStarted, false);
        }
        let incarnation = self.backends[slot].incarnation.clone();
        self.note_ran(call.number, incarnation.clone());
        let running = Running {
            reader: call.reader,
            ask: call.ask,
            slot,
            incarnation,
        };
        let time = Span::from_millis(20 + self.draw(600));
        self.after(time, Happening::ServiceEnds(running));
    }

    /// Answers an executed call, if its service is still alive.
    pub(crate) fn service_ends(&mut self, running: Running) {
        let backend = &self.backends[running.slot];
        let lives = backend.alive && backend.incarnation == running.incarnation;
        let lost = self.lose_service_answers > 0;
        if !lives || lost {
            self.lose_service_answers = self.lose_service_answers.saturating_sub(1);
            return self.word(running.reader, Word::Broken);
        }
        self.word(running.reader, Word::PlainDone { ask: running.ask });
    }

    /// Returns whether a backend server refuses this call as not started.
    pub(crate) fn refuses_start(&mut self) -> bool {
        let refuses = self.refuse_starts > 0;
        self.refuse_starts = self.refuse_starts.saturating_sub(1);
        refuses
    }
}
