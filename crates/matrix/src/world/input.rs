//! Inputs of an entry's process.

use entry::arrival::Arrival;
use entry::event::Event;

use crate::history::RequestId;
use crate::history::TryId;
use crate::world::World;
use crate::world::engine::Reply;
use crate::world::flight::Flight;
use crate::world::node::Requester;

/// One input of an entry's process.
pub(crate) enum Input {
    /// Event for the reducer.
    Event(Event),
    /// Event that expects an answer; the closure gets the call's number.
    Call(Requester, Box<dyn FnOnce(u64) -> Event>),
    /// Request of a caller.
    Open {
        try_id: TryId,
        request: RequestId,
        arrival: Arrival,
        killer: bool,
        tokens: u64,
    },
    /// Reply of a backend server to the task of a request.
    Reply {
        serial: u64,
        connection: u64,
        reply: Reply,
    },
    /// The caller of a request has disconnected.
    Disconnected { try_id: TryId },
}

impl World {
    /// Delivers an input to an entry's process; a frozen one queues it until it thaws.
    pub(crate) fn deliver(&mut self, node: usize, input: Input) {
        if !self.nodes[node].alive {
            return;
        }
        if self.nodes[node].frozen {
            self.nodes[node].inbox.push(input);
            return;
        }
        match input {
            Input::Event(event) => self.step(node, event),
            Input::Call(requester, event) => {
                let call = self.nodes[node].next_requester;
                self.nodes[node].next_requester += 1;
                self.nodes[node].requesters.insert(call, requester);
                self.step(node, event(call));
            }
            Input::Open {
                try_id,
                request,
                arrival,
                killer,
                tokens,
            } => {
                let serial = self.nodes[node].next_serial;
                self.nodes[node].next_serial += 1;
                let origin = request::id::Id {
                    incarnation: self.nodes[node].identity.incarnation,
                    serial,
                };
                let flight = Flight::new(try_id, request, origin, &arrival, killer, tokens);
                self.nodes[node].flights.insert(serial, flight);
                self.step(node, Event::Arrived { serial, arrival });
            }
            Input::Reply {
                serial,
                connection,
                reply,
            } => self.flight_receives(node, serial, connection, reply),
            Input::Disconnected { try_id } => self.report_disconnect(node, try_id),
        }
    }

    /// Reports to the reducer that the caller of a request has disconnected.
    ///
    /// A plain call that runs goes on, as its outcome is still recorded. One that doesn't run stays until
    /// the reducer drops it, because the reducer may just have dispatched it.
    fn report_disconnect(&mut self, node: usize, try_id: TryId) {
        let flights = &mut self.nodes[node].flights;
        let found = flights.iter().find(|(_, flight)| flight.try_id() == try_id);
        let Some(serial) = found.map(|(serial, _)| *serial) else {
            return;
        };
        let Some(flight) = flights.get_mut(&serial) else {
            return;
        };
        if flight.outlives_caller() {
            return;
        }
        if flight.plain {
            flight.caller_gone = true;
        } else {
            flights.remove(&serial);
            self.drop_reader(node, serial);
        }
        self.send_event(node, Event::CallerDisconnected { serial });
    }
}
