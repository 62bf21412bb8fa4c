//! Inputs of an entry's process.

use entry::arrival::Arrival;
use entry::event::Event;

use crate::history::Ask;
use crate::history::Try;
use crate::world::World;
use crate::world::engine::Word;
use crate::world::flight::Flight;
use crate::world::node::Asker;

/// One input of an entry's process.
pub(crate) enum Input {
    /// Event for the reducer.
    Event(Event),
    /// Event that expects an answer; the closure gets the call's number.
    Asked(Asker, Box<dyn FnOnce(u64) -> Event>),
    /// Request of a caller.
    Open {
        number: Try,
        ask: Ask,
        arrival: Arrival,
        killer: bool,
        tokens: u64,
    },
    /// Reply of a backend server to the task of a request.
    Word { serial: u64, link: u64, word: Word },
    /// The caller of a request has disconnected.
    Gone { number: Try },
}

impl World {
    /// Delivers an input to an entry's process; a frozen one queues it until it thaws.
    pub(crate) fn feed(&mut self, node: usize, input: Input) {
        if !self.nodes[node].alive {
            return;
        }
        if self.nodes[node].frozen {
            self.nodes[node].inbox.push(input);
            return;
        }
        match input {
            Input::Event(event) => self.step(node, event),
            Input::Asked(asker, event) => {
                let number = self.nodes[node].next_asker;
                self.nodes[node].next_asker += 1;
                self.nodes[node].askers.insert(number, asker);
                self.step(node, event(number));
            }
            Input::Open {
                number,
                ask,
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
                let flight = Flight::new(number, ask, origin, &arrival, killer, tokens);
                self.nodes[node].flights.insert(serial, flight);
                self.step(node, Event::Arrived { serial, arrival });
            }
            Input::Word { serial, link, word } => self.flight_hears(node, serial, link, word),
            Input::Gone { number } => self.caller_left(node, number),
        }
    }

    /// Reports to the reducer that the caller of a request has disconnected.
    ///
    /// A plain call that runs goes on, as its outcome is still recorded. One that doesn't run stays until
    /// the reducer drops it, because the reducer may just have dispatched it.
    fn caller_left(&mut self, node: usize, number: Try) {
        let flights = &mut self.nodes[node].flights;
        let found = flights.iter().find(|(_, flight)| flight.number() == number);
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
            flight.left = true;
        } else {
            flights.remove(&serial);
            self.drop_reader(node, serial);
        }
        self.tell(node, Event::CallerDisconnected { serial });
    }
}
