//! Payloads of stream events.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use verdict::Verdict;

use crate::error::Error;
use crate::error::Kind;
use crate::event::Event;

/// Chunk of an answer in chat-completions format.
#[derive(Deserialize)]
pub struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

/// Redirect of a stream to another entry.
#[derive(Deserialize)]
pub struct Continue {
    /// Address of that entry.
    pub address: SmolStr,
    /// Resume token to present there.
    pub token: SmolStr,
}

/// New resume token, because the stream has moved to another engine.
#[derive(Deserialize)]
pub struct Resume {
    /// The new resume token.
    pub token: SmolStr,
}

impl Chunk {
    /// Returns the text of the chunk.
    pub fn text(self) -> String {
        self.choices
            .into_iter()
            .map(|choice| choice.delta.content)
            .collect()
    }
}

/// Deserializes the data of an event.
pub fn parse<T: DeserializeOwned>(event: &Event) -> Result<T, Error> {
    serde_json::from_str(&event.data).map_err(|_| protocol_error("an event is malformed"))
}

/// Returns an error for a response that violates the protocol.
pub fn protocol_error(message: &str) -> Error {
    Error::new(Verdict::MayHaveRun, Kind::Protocol, message)
}
