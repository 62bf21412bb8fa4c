//! Traits that a platform adapter implements; only the adapter knows the names on the wire.

use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;
use clock::Span;
use gateway::arrival::Arrival;
use gateway::attempt::Endpoint;
use gateway::catalog::Catalog;
use gateway::duty;
use gateway::effect::Addresses;
use gateway::effect::Start;
use gateway::limits::Stated;
use gateway::notice::Notice;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use http::response;
use rollout::order::Order;
use smol_str::SmolStr;
use store::call::Call;
use store::call::Outcome;
use verdict::Refusal;
use watch::server::Server;

/// A boxed future that need not be `Send`.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Encodes and decodes messages of callers and backend servers.
pub trait Codec {
    /// Decodes a caller's request; `body` is complete and took `reading` to arrive.
    fn decode_request(
        &self,
        head: &request::Parts,
        body: &Bytes,
        reading: Span,
    ) -> Result<Arrival, Refusal>;

    /// Returns the headers of a request as it is forwarded to a backend server.
    fn request_headers(&self, head: &request::Parts, start: &Start, resume: &Resume) -> HeaderMap;

    /// Builds the request that tells a run's server to stop it and move its KV cache to the server `to`.
    fn move_request(&self, id: &str, to: &Endpoint) -> Request<Bytes>;

    /// Decodes the answer to [`Codec::move_request`]; `None` if the KV cache was not moved.
    fn decode_moved(&self, source: &Endpoint, status: StatusCode, body: &[u8]) -> Option<Transfer>;

    /// Returns whether a server's row states which process it is.
    fn states_process(&self, endpoint: &Endpoint) -> bool;

    /// Builds the request that asks an engine for a report on itself, which states its process.
    fn report_request(&self) -> Request<Bytes>;

    /// Decodes the answer to [`Codec::report_request`]: whether it is the listed process; `None` if it doesn't
    /// state that.
    fn is_listed_process(
        &self,
        endpoint: &Endpoint,
        status: StatusCode,
        body: &[u8],
    ) -> Option<bool>;

    /// Classifies a backend server's answer to the request `id` by its head.
    fn classify(&self, head: &response::Parts, id: &str) -> Classification;

    /// Returns the headers of a backend server's answer as it is passed on to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Encodes the final answer to a request that no backend server answered.
    fn encode_refusal(&self, refusal: &Refusal) -> Response<Bytes>;

    /// Decodes a query for addresses: the caller's availability zone, if it names one.
    fn address_query(&self, head: &request::Parts) -> Option<Option<SmolStr>>;

    /// Returns the limits that an answer states on the requests of all entries together.
    fn limit(&self, headers: &HeaderMap) -> Stated;

    /// Returns what an answer states about the server that gave it.
    fn notice(&self, head: &response::Parts) -> Notice;

    /// Encodes the answer to a query for addresses.
    fn encode_addresses(&self, addresses: Option<&Addresses>) -> Response<Bytes>;

    /// Returns whether the request is a readiness probe.
    fn is_readiness_probe(&self, head: &request::Parts) -> bool;

    /// Returns whether the request asks for metrics.
    fn is_metrics_request(&self, head: &request::Parts) -> bool;

    /// Returns whether a row of the configuration's table holds the configuration.
    fn is_configuration_row(&self, row: &Row) -> bool;

    /// Decodes a roll-out order from a row of the configuration's table; `None` if the row holds something
    /// else.
    fn decode_rollout(&self, row: &Row) -> Option<anyhow::Result<Order>>;

    /// Returns the service whose roll-out a row with this key orders, if it orders one.
    fn rollout_service(&self, key: &str) -> Option<SmolStr>;

    /// Decodes the backend server that a row announces; rows may be foreign, partial or malformed.
    fn decode_server(&self, row: &Row) -> anyhow::Result<Server>;

    /// Decodes a version of the configuration from the operator's document.
    fn decode_catalog(&self, document: &[u8]) -> anyhow::Result<Catalog>;
}

/// The point from which a request is resumed; empty for one that starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resume {
    /// Id of the last event that the caller received.
    pub last_event: Option<SmolStr>,
    /// The KV cache to resume from; `None` to prefill the prompt again. A run may be moved before its first event.
    pub transfer: Option<Transfer>,
}

/// The KV cache of a run that was stopped to be moved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// `host:port` of the server that ran it.
    pub source: SmolStr,
    /// Identifies the KV cache on that server.
    pub handle: SmolStr,
}

/// How the head of an answer relates to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Classification {
    /// The server's answer to this request.
    Answer,
    /// The server states that it did not run the request.
    NotStarted,
    /// An answer to another request, or to none.
    Mismatched,
}

/// The platform's table service.
pub trait Tables {
    /// Makes a call; a call that exceeds its own time limit has an unknown outcome.
    fn call(&self, call: Call) -> Pending<'_, Outcome>;
}

/// The platform's calls that are reserved for holders of duties.
pub trait Cloud {
    /// Makes a call on behalf of the entry, with its fencing token.
    fn call(&self, call: duty::Call, fence: u64) -> Pending<'_, duty::Outcome>;
}

/// A table whose rows and changes can be read.
pub trait Feed {
    /// Reads all rows.
    fn read(&self) -> Pending<'_, Result<Rows, Fault>>;

    /// Reads the changes since a revision; waits up to `wait` for the first one.
    fn changes(&self, since: u64, wait: Span) -> Pending<'_, Result<Changes, Fault>>;
}

/// A snapshot of all rows of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// In key order.
    pub rows: Vec<Row>,
    /// The newest revision of the snapshot.
    pub revision: u64,
}

/// Changes of a table since a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Rows that were written.
    pub written: Vec<Row>,
    /// Rows that were deleted, without data.
    pub deleted: Vec<Row>,
    /// The revision from which to read on.
    pub revision: u64,
}

/// One row of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Row {
    /// The row's key.
    pub key: SmolStr,
    /// The row's bytes as written.
    pub data: Bytes,
    /// The revision of the table that last changed the row.
    pub revision: u64,
}

/// The reason why a table could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The requested changes are no longer retained.
    HistoryLost,
    /// The service refused the call for now.
    Refused,
    /// No answer arrived, or an unreadable one.
    Lost,
}

impl Fault {
    /// Returns the form used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Fault::HistoryLost => "history_lost",
            Fault::Refused => "refused",
            Fault::Lost => "lost",
        }
    }
}
