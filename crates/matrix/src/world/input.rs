//! What reaches an entry's process.

use entry::arrival::Arrival;
use entry::event::Event;

use crate::history::Ask;
use crate::history::Try;
use crate::world::World;
use crate::world::engine::Word;
use crate::world::flight::Flight;
use crate::world::node::Asker;

/// One thing that reaches an entry's process.
pub(crate) enum Input {
    /// An event for the reducer.
    Event(Event),
    /// An event whose answer somebody waits for; the number is put in here.
    Asked(Asker, Box<dyn FnOnce(u64) -> Event>),
    /// A caller's request.
    Open {
        number: Try,
        ask: Ask,
        arrival: Arrival,
        killer: bool,
        tokens: u64,
    },
    /// A backend server's word for the task of a request.
    Word { serial: u64, link: u64, word: Word },
    /// The caller of a request is gone.
    Gone { number: Try },
}

impl World {
    /// Lets an entry's process take something in; a frozen one does so when it thaws.
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

    /// The task of a request whose caller is gone tells the reducer.
    ///
    /// A plain call that runs is waited for: its outcome is still wanted. One that doesn't run stays
    /// until the reducer, which may just have handed it on, drops it.
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
