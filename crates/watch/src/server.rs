//! A backend server as its own row in the table service tells.

use clock::Span;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// What one replica says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Names one life of it: a replica that starts again under its old name is another incarnation.
    pub incarnation: SmolStr,
    /// The name that it expects in requests.
    pub id: SmolStr,
    /// Which service it runs.
    pub service: SmolStr,
    /// `host:port`.
    pub address: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// The version of its software; empty where that isn't said.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub version: SmolStr,
    /// Requests at once.
    pub slots: u32,
    /// Whether it takes no new work and will leave.
    pub leaving: bool,
    /// When it is gone, where that is known, counted from the answer or report on.
    #[serde(rename = "leaves_in_ms", with = "span")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaves_in: Option<Span>,
    /// Whether it can be reclaimed on short notice.
    pub reclaimable: bool,
    /// The list's revision that wrote this row; between entries it goes with the change.
    #[serde(skip)]
    pub revision: u64,
}

/// One answer about the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    /// The list's revision that it tells.
    pub revision: u64,
    /// What it says.
    pub update: Update,
}

/// What an answer says.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// All servers as of one moment.
    All(Vec<Server>),
    /// What changed since the reading before; often nothing.
    Changes {
        /// Rows that changed or are new.
        written: Vec<Server>,
        /// Names that have no usable row any more.
        removed: Vec<Removal>,
    },
}

/// The end of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Removal {
    /// The server's name.
    pub id: SmolStr,
    /// The list's revision at which its row ended.
    pub revision: u64,
}

/// Spans as milliseconds.
mod span {
    use clock::Span;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;

    pub fn serialize<S: Serializer>(span: &Option<Span>, to: S) -> Result<S::Ok, S::Error> {
        span.map(Span::as_millis).serialize(to)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Span>, D::Error> {
        let millis = Option::<u64>::deserialize(from)?;
        Ok(millis.map(Span::from_millis))
    }
}
