//! Fake model engines: streams of known tokens, a resume window and movable KV cache.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use policy::decision::Transfer;
use request::id::Stream;
use smol_str::SmolStr;

use entry::attempt::Endpoint;

use crate::history::RequestId;
use crate::history::TryId;
use crate::world::NETWORK_DELAY;
use crate::world::Occurrence;
use crate::world::World;
use crate::world::input::Input;

/// Time to generate one token.
const TOKEN_TIME: Span = Span::from_millis(40);

/// Time for which a stream without a reader is kept.
const RESUME_WINDOW: Span = Span::from_seconds(30);

/// Time to the first token of a prompt.
const PREFILL_TIME: Span = Span::from_millis(60);

/// Connection of an entry's task that reads a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reader {
    pub node: usize,
    pub serial: u64,
    pub connection: u64,
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
        request: RequestId,
        try_id: TryId,
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
    Export(Migration),
    Import(Migration, EngineStream),
}

/// Transfer of a stream between two engines.
#[derive(Clone)]
pub(crate) struct Migration {
    pub from: Endpoint,
    pub old: Stream,
    pub to: Endpoint,
    pub new: Stream,
    pub offset: u64,
    pub try_id: TryId,
    pub transfer: Transfer,
}

/// Reply to the task of a request.
pub(crate) enum Reply {
    Opened(Option<Transfer>),
    NotOpened {
        failure: Failure,
        moved: bool,
    },
    Token {
        offset: u64,
        request: RequestId,
        index: u64,
    },
    Done {
        request: RequestId,
    },
    Broken,
    PlainDone {
        request: RequestId,
    },
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
    request: RequestId,
    base: u64,
    end: u64,
    generated: u64,
    reader: Option<Reader>,
    /// Number of tokens sent to the reader.
    sent_tokens: u64,
    unread_since: Time,
    parked: bool,
}

/// All streams of one engine.
pub(crate) type Streams = BTreeMap<Stream, EngineStream>;

impl World {
    /// Executes an order that has reached an engine's address.
    pub(crate) fn engine_receives(&mut self, call: EngineCall) {
        let EngineCall {
            reader,
            address,
            order,
        } = call;
        let slot = self.backend_at(&address);
        match order {
            Order::Start {
                stream,
                request,
                try_id,
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
                    return self.reply_not_opened(reader, failure, false);
                }
                let Some(slot) = slot else {
                    return;
                };
                let server = self.backends[slot].incarnation.clone();
                self.record_run(try_id, server.clone());
                if killer {
                    let dies = Occurrence::BackendEnds(slot, server);
                    self.after(Span::from_millis(5), dies);
                }
                let generated = EngineStream {
                    request,
                    base,
                    end,
                    generated: 0,
                    reader: Some(reader),
                    sent_tokens: 0,
                    unread_since: self.now,
                    parked: false,
                };
                self.backends[slot].streams.insert(stream, generated);
                self.reply(reader, Reply::Opened(None));
                self.after(PREFILL_TIME, Occurrence::EngineStep(slot, stream));
            }
            Order::Resume { stream, offset } => self.resume(slot, reader, stream, offset, None),
            Order::Cancel { stream } => {
                if let Some(slot) = slot {
                    self.backends[slot].streams.remove(&stream);
                }
            }
            Order::Export(migration) => self.export(slot, reader, migration),
            Order::Import(migration, stream) => self.import(slot, reader, migration, stream),
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
        let found = slot.and_then(|slot| self.backends[slot].streams.get_mut(&stream));
        let Some(found) = found else {
            return self.reply_not_opened(reader, failure, moved.is_some());
        };
        found.reader = Some(reader);
        found.sent_tokens = offset;
        found.parked = false;
        self.reply(reader, Reply::Opened(moved));
        if let Some(slot) = slot {
            self.send_tokens(slot, stream);
            self.after(TOKEN_TIME, Occurrence::EngineStep(slot, stream));
        }
    }

    fn export(&mut self, slot: Option<usize>, reader: Reader, migration: Migration) {
        let found = slot.and_then(|slot| self.backends[slot].streams.get_mut(&migration.old));
        let Some(found) = found.filter(|_| migration.transfer == Transfer::Kv) else {
            return self.move_failed(reader, migration);
        };
        found.parked = true;
        found.reader = None;
        let stream = found.clone();
        let address = migration.to.address.clone();
        let order = Order::Import(migration, stream);
        let call = EngineCall {
            reader,
            address,
            order,
        };
        self.after(Span::from_millis(20), Occurrence::Engine(call));
    }

    fn import(
        &mut self,
        slot: Option<usize>,
        reader: Reader,
        migration: Migration,
        stream: EngineStream,
    ) {
        let Some(slot) = slot else {
            return self.move_failed(reader, migration);
        };
        let server = self.backends[slot].incarnation.clone();
        self.record_run(migration.try_id, server);
        self.backends[slot].streams.insert(migration.new, stream);
        let (new, offset, transfer) = (migration.new, migration.offset, migration.transfer);
        self.resume(Some(slot), reader, new, offset, Some(transfer));
    }

    /// Removes the stream from both engines and reports that the move failed.
    fn move_failed(&mut self, reader: Reader, migration: Migration) {
        for (endpoint, stream) in [
            (migration.from, migration.old),
            (migration.to, migration.new),
        ] {
            if let Some(slot) = self.backend_at(&endpoint.address) {
                self.backends[slot].streams.remove(&stream);
            }
        }
        self.reply_not_opened(reader, Failure::Broken, true);
    }

    /// Generates the next token of a stream.
    pub(crate) fn step_engine(&mut self, slot: usize, name: Stream) {
        let now = self.now;
        let Some(stream) = self.backends[slot].streams.get_mut(&name) else {
            return;
        };
        let unread = stream.reader.is_none() && now.since(stream.unread_since) > RESUME_WINDOW;
        if unread {
            self.backends[slot].streams.remove(&name);
            return;
        }
        let complete = stream.base + stream.generated >= stream.end;
        if stream.parked || (complete && stream.reader.is_some()) {
            return;
        }
        if !complete {
            stream.generated += 1;
        }
        self.send_tokens(slot, name);
        self.after(TOKEN_TIME, Occurrence::EngineStep(slot, name));
    }

    /// Sends a stream's reader the tokens that it lacks.
    fn send_tokens(&mut self, slot: usize, name: Stream) {
        let Some(stream) = self.backends[slot].streams.get_mut(&name) else {
            return;
        };
        let Some(reader) = stream.reader else {
            return;
        };
        let (request, base, sent_tokens, generated) = (
            stream.request,
            stream.base,
            stream.sent_tokens,
            stream.generated,
        );
        let complete = base + generated >= stream.end;
        stream.sent_tokens = sent_tokens.max(generated);
        for offset in sent_tokens..generated {
            let index = base + offset;
            self.reply(
                reader,
                Reply::Token {
                    offset,
                    request,
                    index,
                },
            );
        }
        if complete {
            self.reply(reader, Reply::Done { request });
            if let Some(stream) = self.backends[slot].streams.get_mut(&name) {
                stream.reader = None;
                stream.unread_since = self.now;
            }
            // Kept for the resume window, for a caller that lost the end.
            self.after(
                RESUME_WINDOW + TOKEN_TIME,
                Occurrence::EngineStep(slot, name),
            );
        }
    }

    /// Sends a reply to an entry's task; the connection may be broken by the time it arrives.
    pub(crate) fn reply(&mut self, reader: Reader, reply: Reply) {
        let Reader {
            node,
            serial,
            connection,
        } = reader;
        let input = Input::Reply {
            serial,
            connection,
            reply,
        };
        self.after(NETWORK_DELAY, Occurrence::Input(node, input));
    }

    pub(crate) fn reply_not_opened(&mut self, reader: Reader, failure: Failure, moved: bool) {
        self.reply(reader, Reply::NotOpened { failure, moved });
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
            self.reply(reader, Reply::Broken);
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
            self.reply(reader, Reply::Broken);
        }
    }
}
