//! Streamed answers of models.
//!
//! After a lost connection or a redirect, a stream is resumed with its token and the offset of the next
//! chunk. Chunks below that offset are dropped and a gap counts as a lost connection, so that each chunk
//! is delivered exactly once and in order.

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
use crate::message::protocol_error;
use crate::retry::Policy;
use crate::transport;

const CHAT_PATH: &str = "/v1/chat/completions";
/// Data of the final event of a complete stream.
const DONE_DATA: &str = "[DONE]";

/// One chunk of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Position in the answer, starting at 0.
    pub offset: u64,
    /// Text of the chunk.
    pub text: String,
}

/// An answer being streamed.
pub struct Stream {
    client: Client,
    body: Value,
    key: SmolStr,
    attempts: Attempts,
    /// Text received so far, from which an engine can continue if the stream itself is lost.
    text: String,
    /// Offset of the next chunk to deliver.
    offset: u64,
    /// Resume token; empty until the first response.
    token: SmolStr,
    request: SmolStr,
    /// Entry named by a redirect.
    next_entry: Option<SmolStr>,
    source: Option<Source>,
    entry: SmolStr,
    reconnects: u32,
    redirects: u32,
    done: bool,
}

/// Connection that currently carries the stream.
struct Source {
    body: Incoming,
    parser: Parser,
}

/// Result of reading one event or more bytes.
enum Step {
    Chunk(Chunk),
    Skipped,
    Done,
}

impl Client {
    /// Sends a model call in chat-completions format and returns once it is accepted.
    ///
    /// `key` is the hash of the prompt's prefix, by which the entry is chosen; empty for none.
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
    /// Returns the next chunk, or none after the last one.
    pub async fn next(&mut self) -> Option<Result<Chunk, Error>> {
        while !self.done {
            match self.step().await {
                Ok(Step::Chunk(chunk)) => return Some(Ok(chunk)),
                Ok(Step::Skipped) => {}
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

    /// Collects the rest of the answer.
    pub async fn collect_text(&mut self) -> Result<String, Error> {
        let mut text = String::new();
        while let Some(chunk) = self.next().await {
            text.push_str(&chunk?.text);
        }
        Ok(text)
    }

    /// Returns the id of the request at the entry.
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Returns the address of the entry that serves the stream.
    pub fn entry(&self) -> &str {
        &self.entry
    }

    /// Returns how often the stream was resumed after a lost connection.
    pub fn reconnects(&self) -> u32 {
        self.reconnects
    }

    /// Returns how often an entry redirected the stream to another one.
    pub fn redirects(&self) -> u32 {
        self.redirects
    }

    /// Cancels the rest of the answer.
    pub async fn cancel(mut self) -> Result<(), Error> {
        self.source = None;
        self.client.cancel(&self.request).await
    }

    async fn step(&mut self) -> Result<Step, Error> {
        let Some(source) = &mut self.source else {
            return Err(connection_lost("the stream was interrupted"));
        };
        if let Some(event) = source.parser.take() {
            return self.handle_event(event);
        }
        let bytes = self.client.shared.transport.next(&mut source.body).await?;
        let Some(bytes) = bytes else {
            return Err(connection_lost("the stream ended without its final event"));
        };
        let pushed = source.parser.push(&bytes);
        pushed.map_err(|_| protocol_error("an event is too large"))?;
        Ok(Step::Skipped)
    }

    fn handle_event(&mut self, event: Event) -> Result<Step, Error> {
        match event.name.as_str() {
            "error" => Err(transport::parse_refusal(event.data.as_bytes())),
            "continue" => self.handle_redirect(&event),
            "resume" => self.handle_move(&event),
            "" if event.data == DONE_DATA => Ok(Step::Done),
            "" => self.handle_chunk(&event),
            _ => Ok(Step::Skipped),
        }
    }

    /// Stores the entry and the token with which the stream continues.
    fn handle_redirect(&mut self, event: &Event) -> Result<Step, Error> {
        let redirect: message::Continue = message::parse(event)?;
        self.token = redirect.token;
        self.next_entry = Some(redirect.address);
        self.source = None;
        Ok(Step::Skipped)
    }

    /// Stores the new resume token of a stream that moved to another engine.
    fn handle_move(&mut self, event: &Event) -> Result<Step, Error> {
        let moved: message::Resume = message::parse(event)?;
        self.token = moved.token;
        Ok(Step::Skipped)
    }

    /// Delivers the next chunk; drops a duplicate and reports a gap as a lost connection.
    fn handle_chunk(&mut self, event: &Event) -> Result<Step, Error> {
        let offset = event
            .id
            .ok_or_else(|| protocol_error("a chunk without offset"))?;
        if offset < self.offset {
            return Ok(Step::Skipped);
        }
        if offset > self.offset {
            self.source = None;
            return Err(connection_lost("a chunk is missing"));
        }
        let text = message::parse::<message::Chunk>(event)?.text();
        self.offset += 1;
        self.text.push_str(&text);
        self.attempts.reset(self.client.shared.now());
        Ok(Step::Chunk(Chunk { offset, text }))
    }

    /// Resumes the stream, or returns the error if it is final.
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

    /// Sends the call once, with the resume token if there is one.
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
            .send(&address, builder, CHAT_PATH, self.request_body())
            .await;
        let response = sent.inspect_err(|_| shared.mark_failed(&address))?;
        shared.mark_reachable(&address);
        self.entry = address;
        self.accept(response).await
    }

    async fn accept(&mut self, response: Response<Incoming>) -> Result<(), Error> {
        if !response.status().is_success() {
            let bytes = self.client.shared.transport.read(response).await?;
            return Err(transport::parse_refusal(&bytes));
        }
        let token = transport::header_text(response.headers(), transport::RESUME);
        if !token.is_empty() {
            self.token = token;
        }
        self.request = transport::header_text(response.headers(), transport::REQUEST);
        self.source = Some(Source {
            body: response.into_body(),
            parser: Parser::default(),
        });
        Ok(())
    }

    /// Returns the original body, with the text so far as an assistant message to be continued.
    fn request_body(&self) -> Bytes {
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
