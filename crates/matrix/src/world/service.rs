//! Fake plain services that record each execution.

use clock::Span;
use smol_str::SmolStr;

use crate::history::RequestId;
use crate::history::TryId;
use crate::world::Occurrence;
use crate::world::World;
use crate::world::engine::Failure;
use crate::world::engine::Reader;
use crate::world::engine::Reply;

/// One call in flight.
pub(crate) struct ServiceCall {
    pub reader: Reader,
    pub address: SmolStr,
    pub request: RequestId,
    pub try_id: TryId,
}

/// One call that a service executes.
pub(crate) struct Running {
    reader: Reader,
    request: RequestId,
    slot: usize,
    incarnation: SmolStr,
}

impl World {
    /// Executes a call that has reached a service's address.
    pub(crate) fn service_receives(&mut self, call: ServiceCall) {
        let Some(slot) = self.backend_at(&call.address) else {
            return self.reply_not_opened(call.reader, Failure::NotSent, false);
        };
        if self.refuses_start() {
            return self.reply_not_opened(call.reader, Failure::NotStarted, false);
        }
        let incarnation = self.backends[slot].incarnation.clone();
        self.record_run(call.try_id, incarnation.clone());
        let running = Running {
            reader: call.reader,
            request: call.request,
            slot,
            incarnation,
        };
        let time = Span::from_millis(20 + self.random_below(600));
        self.after(time, Occurrence::ServiceEnds(running));
    }

    /// Answers an executed call, if its service is still alive.
    pub(crate) fn finish_service_call(&mut self, running: Running) {
        let backend = &self.backends[running.slot];
        let is_alive = backend.alive && backend.incarnation == running.incarnation;
        let lost = self.lose_service_answers > 0;
        if !is_alive || lost {
            self.lose_service_answers = self.lose_service_answers.saturating_sub(1);
            return self.reply(running.reader, Reply::Broken);
        }
        self.reply(
            running.reader,
            Reply::PlainDone {
                request: running.request,
            },
        );
    }

    /// Returns whether a backend server refuses this call as not started.
    pub(crate) fn refuses_start(&mut self) -> bool {
        let refuses = self.refuse_starts > 0;
        self.refuse_starts = self.refuse_starts.saturating_sub(1);
        refuses
    }
}
