//! What the events of a stream carry.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use verdict::Verdict;

use crate::error::Error;
use crate::error::Kind;
use crate::event::Event;

/// One chunk of an answer, in the customary shape.
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

/// The stream goes on at another entry.
#[derive(Deserialize)]
pub struct Continue {
    /// That entry.
    pub address: SmolStr,
    /// The token to bring along.
    pub token: SmolStr,
}

/// The stream has moved behind its entry.
#[derive(Deserialize)]
pub struct Resume {
    /// The token that finds it now.
    pub token: SmolStr,
}

impl Chunk {
    /// Its text.
    pub fn text(self) -> String {
        self.choices
            .into_iter()
            .map(|choice| choice.delta.content)
            .collect()
    }
}

/// The data of an event.
pub fn read<T: DeserializeOwned>(event: &Event) -> Result<T, Error> {
    serde_json::from_str(&event.data).map_err(|_| protocol("an event that can't be read"))
}

/// An answer that does not follow the protocol.
pub fn protocol(message: &str) -> Error {
    Error::new(Verdict::MayHaveRun, Kind::Protocol, message)
}
