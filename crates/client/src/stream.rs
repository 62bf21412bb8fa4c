//! Streamed answers of models.
//!
//! A stream that is cut, or that an entry passes on, is taken up again with its token and the offset
//! of the next chunk. Offsets below that are dropped and a gap counts as a cut, so that each chunk is
//! delivered exactly once and in order.

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use verdict::Verdict;

use crate::Client;
use crate::client::Attempts;
use crate::error::Error;
use crate::error::Kind;
use crate::event::Event;
use crate::event::Parser;
use crate::message;
use crate::message::protocol;
use crate::retry::Policy;
use crate::transport;

const PATH: &str = "/v1/chat/completions";
const DONE: &str = "[DONE]";

/// One chunk of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Rises by one from 0.
    pub offset: u64,
    /// Its text.
    pub text: String,
}

/// An answer as it arrives.
pub struct Stream {
    client: Client,
    body: Value,
    key: SmolStr,
    attempts: Attempts,
    /// The answer so far, for a continuation where nothing of the stream is left.
    text: String,
    /// Offset of the next chunk to deliver; all below were delivered once.
    offset: u64,
    token: SmolStr,
    request: SmolStr,
    /// The entry that an earlier one named for going on.
    next_entry: Option<SmolStr>,
    source: Option<Source>,
    entry: SmolStr,
    reconnects: u32,
    redirects: u32,
    done: bool,
}

/// A connection that carries the stream now.
struct Source {
    body: Incoming,
    parser: Parser,
}

enum Step {
    Chunk(Chunk),
    Nothing,
    Done,
}

impl Client {
    /// Sends a model call, in the customary shape, and returns once it is accepted.
    ///
    /// `key` is the hash of the prompt's prefix by which an entry is chosen; empty for none.
    pub async fn stream(&self, body: Value, key: &str) -> Result<Stream, Error> {
        let Value::Object(mut fields) = body else {
            return Err(not_an_object());
        };
        fields.insert("stream".to_owned(), Value::Bool(true));
        let mut stream = Stream {
            client: self.clone(),
            body: Value::Object(fields),
            key: SmolStr::from(key),
            attempts: self.shared.attempts(Policy::Idempotent),
            text: String::new(),
            offset: 0,
            token: SmolStr::default(),
            request: SmolStr::default(),
            next_entry: None,
            source: None,
            entry: SmolStr::default(),
            reconnects: 0,
            redirects: 0,
            done: false,
        };
        stream.connect().await?;
        Ok(stream)
    }
}

impl Stream {
    /// The next chunk; none after the last.
    pub async fn next(&mut self) -> Option<Result<Chunk, Error>> {
        while !self.done {
            match self.step().await {
                Ok(Step::Chunk(chunk)) => return Some(Ok(chunk)),
                Ok(Step::Nothing) => {}
                Ok(Step::Done) => self.done = true,
                Err(error) => {
                    if let Err(error) = self.recover(error).await {
                        self.done = true;
                        return Some(Err(error));
                    }
                }
            }
        }
        None
    }

    /// The rest of the answer in one piece.
    pub async fn collect_text(&mut self) -> Result<String, Error> {
        let mut text = String::new();
        while let Some(chunk) = self.next().await {
            text.push_str(&chunk?.text);
        }
        Ok(text)
    }

    /// The request's id at the entry.
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Address of the entry that serves it now.
    pub fn entry(&self) -> &str {
        &self.entry
    }

    /// How often it was taken up again after a cut.
    pub fn reconnects(&self) -> u32 {
        self.reconnects
    }

    /// How often an entry passed it on to another one.
    pub fn redirects(&self) -> u32 {
        self.redirects
    }

    /// Tells the system that the rest is not wanted.
    pub async fn cancel(mut self) -> Result<(), Error> {
        self.source = None;
        self.client.cancel(&self.request).await
    }

    async fn step(&mut self) -> Result<Step, Error> {
        let Some(source) = &mut self.source else {
            return Err(connection_lost("the stream was cut"));
        };
        if let Some(event) = source.parser.take() {
            return self.take(event);
        }
        let bytes = self.client.shared.transport.next(&mut source.body).await?;
        let Some(bytes) = bytes else {
            return Err(connection_lost("the stream ended before its end"));
        };
        let pushed = source.parser.push(&bytes);
        pushed.map_err(|_| protocol("an event is too large"))?;
        Ok(Step::Nothing)
    }

    fn take(&mut self, event: Event) -> Result<Step, Error> {
        match event.name.as_str() {
            "error" => Err(transport::refusal(event.data.as_bytes())),
            "continue" => self.pass_on(&event),
            "resume" => self.moved(&event),
            "" if event.data == DONE => Ok(Step::Done),
            "" => self.chunk(&event),
            _ => Ok(Step::Nothing),
        }
    }

    fn pass_on(&mut self, event: &Event) -> Result<Step, Error> {
        let passed: message::Continue = message::read(event)?;
        self.token = passed.token;
        self.next_entry = Some(passed.address);
        self.source = None;
        Ok(Step::Nothing)
    }

    /// The stream has moved behind the entry: another token finds it from now on.
    fn moved(&mut self, event: &Event) -> Result<Step, Error> {
        let moved: message::Resume = message::read(event)?;
        self.token = moved.token;
        Ok(Step::Nothing)
    }

    fn chunk(&mut self, event: &Event) -> Result<Step, Error> {
        let offset = event.id.ok_or_else(|| protocol("a chunk without offset"))?;
        if offset < self.offset {
            return Ok(Step::Nothing);
        }
        if offset > self.offset {
            self.source = None;
            return Err(connection_lost("a chunk is missing"));
        }
        let text = message::read::<message::Chunk>(event)?.text();
        self.offset += 1;
        self.text.push_str(&text);
        self.attempts.reset(self.client.shared.now());
        Ok(Step::Chunk(Chunk { offset, text }))
    }

    /// Takes the stream up again, or gives the error back when that should not be.
    async fn recover(&mut self, error: Error) -> Result<(), Error> {
        self.source = None;
        let shared = &self.client.shared;
        match self.next_entry {
            Some(_) => {
                shared.count_redirect(&mut self.attempts, error)?;
                self.redirects += 1;
            }
            None => {
                shared.wait_to_retry(&mut self.attempts, error).await?;
                self.reconnects += 1;
            }
        }
        self.connect().await
    }

    async fn connect(&mut self) -> Result<(), Error> {
        loop {
            match self.attempt().await {
                Ok(()) => return Ok(()),
                Err(error) => {
                    self.client
                        .shared
                        .wait_to_retry(&mut self.attempts, error)
                        .await?
                }
            }
        }
    }

    async fn attempt(&mut self) -> Result<(), Error> {
        let client = self.client.clone();
        let shared = &client.shared;
        let address = match self.next_entry.take() {
            Some(address) => address,
            None => shared.entry(&self.key).await?,
        };
        let mut builder = Request::builder()
            .method(Method::POST)
            .header(http::header::CONTENT_TYPE, "application/json");
        if !self.token.is_empty() {
            builder = builder
                .header(transport::RESUME, self.token.as_str())
                .header(transport::OFFSET, self.offset);
        }
        let sent = shared
            .transport
            .send(&address, builder, PATH, self.bytes())
            .await;
        let response = sent.inspect_err(|_| shared.mark_failed(&address))?;
        shared.mark_reachable(&address);
        self.entry = address;
        self.accept(response).await
    }

    async fn accept(&mut self, response: Response<Incoming>) -> Result<(), Error> {
        if !response.status().is_success() {
            let bytes = self.client.shared.transport.read(response).await?;
            return Err(transport::refusal(&bytes));
        }
        let token = transport::text(response.headers(), transport::RESUME);
        if !token.is_empty() {
            self.token = token;
        }
        self.request = transport::text(response.headers(), transport::REQUEST);
        self.source = Some(Source {
            body: response.into_body(),
            parser: Parser::default(),
        });
        Ok(())
    }

    /// The original body, with the answer so far as a message to be continued.
    fn bytes(&self) -> Bytes {
        if self.text.is_empty() {
            return Bytes::from(self.body.to_string());
        }
        let mut body = self.body.clone();
        if let Some(Value::Array(messages)) = body.get_mut("messages") {
            messages.push(json!({ "role": "assistant", "content": self.text }));
        }
        body["continue_final_message"] = Value::Bool(true);
        Bytes::from(body.to_string())
    }
}

fn connection_lost(message: &str) -> Error {
    Error::new(Verdict::MayHaveRun, Kind::ConnectionLost, message)
}

fn not_an_object() -> Error {
    Error::new(
        Verdict::NotRun,
        Kind::Request,
        "the body of a model call is a JSON object",
    )
}
