//! Fake model engines: streams of known tokens, a resume window and movable KV cache.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use policy::decision::Transfer;
use request::id::Stream;
use smol_str::SmolStr;

use entry::attempt::Endpoint;

use crate::history::Ask;
use crate::history::Try;
use crate::world::HOP;
use crate::world::Happening;
use crate::world::World;
use crate::world::input::Input;

/// Time to generate one token.
const TOKEN_TIME: Span = Span::from_millis(40);

/// Time for which a stream without a reader is kept.
const RESUME_WINDOW: Span = Span::from_seconds(30);

/// Time to the first token of a prompt.
const PREFILL: Span = Span::from_millis(60);

/// Connection of an entry's task that reads a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reader {
    pub node: usize,
    pub serial: u64,
    pub link: u64,
}

/// One order in flight.
pub(crate) struct EngineCall {
    pub reader: Reader,
    pub address: SmolStr,
    pub order: Order,
}

/// Order to an engine.
pub(crate) enum Order {
    Start {
        stream: Stream,
        ask: Ask,
        number: Try,
        killer: bool,
        base: u64,
        end: u64,
    },
    Resume {
        stream: Stream,
        offset: u64,
    },
    Cancel {
        stream: Stream,
    },
    Export(Moving),
    Import(Moving, EngineStream),
}

/// Transfer of a stream between two engines.
#[derive(Clone)]
pub(crate) struct Moving {
    pub from: Endpoint,
    pub old: Stream,
    pub to: Endpoint,
    pub new: Stream,
    pub offset: u64,
    pub number: Try,
    pub how: Transfer,
}

/// Reply to the task of a request.
pub(crate) enum Word {
    Opened(Option<Transfer>),
    NotOpened { failure: Failure, moved: bool },
    Token { offset: u64, ask: Ask, index: u64 },
    Done { ask: Ask },
    Broken,
    PlainDone { ask: Ask },
}

/// Why an attempt could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    NotSent,
    NotStarted,
    Broken,
    Answered,
}

/// One stream of an engine.
#[derive(Clone)]
pub(crate) struct EngineStream {
    ask: Ask,
    base: u64,
    end: u64,
    made: u64,
    reader: Option<Reader>,
    /// Number of tokens sent to the reader.
    given: u64,
    unread_since: Time,
    parked: bool,
}

/// All streams of one engine.
pub(crate) type Streams = BTreeMap<Stream, EngineStream>;

impl World {
    /// Executes an order that has reached an engine's address.
    pub(crate) fn engine_lands(&mut self, call: EngineCall) {
        let EngineCall {
            reader,
            address,
            order,
        } = call;
        let slot = self.backend_at(&address);
        match order {
            Order::Start {
                stream,
                ask,
                number,
                killer,
                base,
                end,
            } => {
                let failure = match slot {
                    None => Some(Failure::NotSent),
                    Some(_) if self.refuses_start() => Some(Failure::NotStarted),
                    Some(slot) if self.backends[slot].streams.contains_key(&stream) => {
                        Some(Failure::Answered)
                    }
                    Some(_) => None,
                };
                if let Some(failure) = failure {
                    return self.not_opened_word(reader, failure, false);
                }
                let Some(slot) = slot else {
                    return;
                };
                let server = self.backends[slot].incarnation.clone();
                self.note_ran(number, server.clone());
                if killer {
                    let dies = Happening::BackendDies(slot, server);
                    self.after(Span::from_millis(5), dies);
                }
                let made = EngineStream {
                    ask,
                    base,
                    end,
                    made: 0,
                    reader: Some(reader),
                    given: 0,
                    unread_since: self.now,
                    parked: false,
                };
                self.backends[slot].streams.insert(stream, made);
                self.word(reader, Word::Opened(None));
                self.after(PREFILL, Happening::EngineStep(slot, stream));
            }
            Order::Resume { stream, offset } => self.resume(slot, reader, stream, offset, None),
            Order::Cancel { stream } => {
                if let Some(slot) = slot {
                    self.backends[slot].streams.remove(&stream);
                }
            }
            Order::Export(moving) => self.export(slot, reader, moving),
            Order::Import(moving, stream) => self.import(slot, reader, moving, stream),
        }
    }

    fn resume(
        &mut self,
        slot: Option<usize>,
        reader: Reader,
        stream: Stream,
        offset: u64,
        moved: Option<Transfer>,
    ) {
        let failure = match slot {
            None => Failure::NotSent,
            Some(_) => Failure::Answered,
        };
        let held = slot.and_then(|slot| self.backends[slot].streams.get_mut(&stream));
        let Some(held) = held else {
            return self.not_opened_word(reader, failure, moved.is_some());
        };
        held.reader = Some(reader);
        held.given = offset;
        held.parked = false;
        self.word(reader, Word::Opened(moved));
        if let Some(slot) = slot {
            self.give(slot, stream);
            self.after(TOKEN_TIME, Happening::EngineStep(slot, stream));
        }
    }

    fn export(&mut self, slot: Option<usize>, reader: Reader, moving: Moving) {
        let held = slot.and_then(|slot| self.backends[slot].streams.get_mut(&moving.old));
        let Some(held) = held.filter(|_| moving.how == Transfer::Kv) else {
            return self.move_failed(reader, moving);
        };
        held.parked = true;
        held.reader = None;
        let stream = held.clone();
        let address = moving.to.address.clone();
        let order = Order::Import(moving, stream);
        let call = EngineCall {
            reader,
            address,
            order,
        };
        self.after(Span::from_millis(20), Happening::Engine(call));
    }

    fn import(
        &mut self,
        slot: Option<usize>,
        reader: Reader,
        moving: Moving,
        stream: EngineStream,
    ) {
        let Some(slot) = slot else {
            return self.move_failed(reader, moving);
        };
        let server = self.backends[slot].incarnation.clone();
        self.note_ran(moving.number, server);
        self.backends[slot].streams.insert(moving.new, stream);
        let (new, offset, how) = (moving.new, moving.offset, moving.how);
        self.resume(Some(slot), reader, new, offset, Some(how));
    }

    /// Removes the stream from both engines and reports that the move failed.
    fn move_failed(&mut self, reader: Reader, moving: Moving) {
        for (endpoint, stream) in [(moving.from, moving.old), (moving.to, moving.new)] {
            if let Some(slot) = self.backend_at(&endpoint.address) {
                self.backends[slot].streams.remove(&stream);
            }
        }
        self.not_opened_word(reader, Failure::Broken, true);
    }

    /// Generates the next token of a stream.
    pub(crate) fn engine_steps(&mut self, slot: usize, name: Stream) {
        let now = self.now;
        let Some(stream) = self.backends[slot].streams.get_mut(&name) else {
            return;
        };
        let unread = stream.reader.is_none() && now.since(stream.unread_since) > RESUME_WINDOW;
        if unread {
            self.backends[slot].streams.remove(&name);
            return;
        }
        let whole = stream.base + stream.made >= stream.end;
        if stream.parked || (whole && stream.reader.is_some()) {
            return;
        }
        if !whole {
            stream.made += 1;
        }
        self.give(slot, name);
        self.after(TOKEN_TIME, Happening::EngineStep(slot, name));
    }

    /// Sends a stream's reader the tokens that it lacks.
    fn give(&mut self, slot: usize, name: Stream) {
        let Some(stream) = self.backends[slot].streams.get_mut(&name) else {
            return;
        };
        let Some(reader) = stream.reader else {
            return;
        };
        let (ask, base, given, made) = (stream.ask, stream.base, stream.given, stream.made);
        let whole = base + made >= stream.end;
        stream.given = given.max(made);
        for offset in given..made {
            let index = base + offset;
            self.word(reader, Word::Token { offset, ask, index });
        }
        if whole {
            self.word(reader, Word::Done { ask });
            if let Some(stream) = self.backends[slot].streams.get_mut(&name) {
                stream.reader = None;
                stream.unread_since = self.now;
            }
            // Kept for the resume window, for a caller that lost the end.
            self.after(
                RESUME_WINDOW + TOKEN_TIME,
                Happening::EngineStep(slot, name),
            );
        }
    }

    /// Sends a reply to an entry's task; the connection may be broken by the time it arrives.
    pub(crate) fn word(&mut self, reader: Reader, word: Word) {
        let Reader { node, serial, link } = reader;
        let input = Input::Word { serial, link, word };
        self.after(HOP, Happening::Input(node, input));
    }

    pub(crate) fn not_opened_word(&mut self, reader: Reader, failure: Failure, moved: bool) {
        self.word(reader, Word::NotOpened { failure, moved });
    }

    /// Closes all connections of an entry to engines; their streams are kept for the resume window.
    pub(crate) fn drop_readers_of(&mut self, node: usize) {
        self.drop_readers(|reader| reader.node == node);
    }

    /// Closes the connection of one request to its engine.
    pub(crate) fn drop_reader(&mut self, node: usize, serial: u64) {
        self.drop_readers(|reader| reader.node == node && reader.serial == serial);
    }

    /// Breaks all connections of an entry to engines and reports that to its tasks.
    pub(crate) fn break_readers_of(&mut self, node: usize) {
        let readers: Vec<Reader> = self
            .backends
            .iter()
            .flat_map(|backend| backend.streams.values())
            .filter_map(|stream| stream.reader)
            .filter(|reader| reader.node == node)
            .collect();
        self.drop_readers_of(node);
        for reader in readers {
            self.word(reader, Word::Broken);
        }
    }

    fn drop_readers(&mut self, gone: impl Fn(&Reader) -> bool) {
        let now = self.now;
        let streams = self
            .backends
            .iter_mut()
            .flat_map(|backend| backend.streams.values_mut());
        for stream in streams {
            if stream.reader.as_ref().is_some_and(&gone) {
                stream.reader = None;
                stream.unread_since = now;
            }
        }
    }

    /// Ends all streams of an engine that died and reports that to their readers.
    pub(crate) fn end_streams(&mut self, slot: usize) {
        let streams = std::mem::take(&mut self.backends[slot].streams);
        for reader in streams.into_values().filter_map(|stream| stream.reader) {
            self.word(reader, Word::Broken);
        }
    }
}
