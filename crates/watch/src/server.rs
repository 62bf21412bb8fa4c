//! Rows of backend servers in the table service, and answers about them.

use clock::Span;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// A replica's description of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Identifies one life of the replica: one that restarts under its old id is another incarnation.
    pub incarnation: SmolStr,
    /// The id that it expects in requests.
    pub id: SmolStr,
    /// The service that it runs.
    pub service: SmolStr,
    /// Its address, `host:port`.
    pub address: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its software version; empty if unknown.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub version: SmolStr,
    /// When its process started, in Unix milliseconds, if it states that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_unix_ms: Option<u64>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts no new requests because it will leave.
    pub leaving: bool,
    /// Time until it is gone, if known, as of the answer or report.
    #[serde(rename = "leaves_in_ms", with = "span")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaves_in: Option<Span>,
    /// Whether its instance can be reclaimed at short notice.
    pub reclaimable: bool,
    /// The list's revision that wrote this row. Reports carry it in [`crate::report::Change::at`].
    #[serde(skip)]
    pub revision: u64,
}

/// One answer of the table service about the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    /// The list's revision as of the answer.
    pub revision: u64,
    /// Its contents.
    pub update: Update,
}

/// The contents of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// All servers at one revision.
    All(Vec<Server>),
    /// Changes since the previous reading; often empty.
    Changes {
        /// Rows that were created or changed.
        written: Vec<Server>,
        /// Servers that have no usable row any more.
        removed: Vec<Removal>,
    },
}

/// The end of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Removal {
    /// The server's id.
    pub id: SmolStr,
    /// The list's revision that ended the row.
    pub revision: u64,
}

/// Serializes optional spans as milliseconds.
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
