//! The border to an adapter, which knows the names on the wires.

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
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use http::response;
use policy::pace::Rate;
use rollout::order::Order;
use smol_str::SmolStr;
use store::call::Call;
use store::call::Outcome;
use verdict::Refusal;
use watch::server::Server;

/// An answer to come.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Translates callers' and backend servers' messages.
pub trait Codec {
    /// What a caller sent. `body` is whole; `reading` is how long it took to come.
    fn decode_request(
        &self,
        head: &request::Parts,
        body: &Bytes,
        reading: Span,
    ) -> Result<Arrival, Refusal>;

    /// The headers with which a request goes to a backend server.
    fn request_headers(
        &self,
        head: &request::Parts,
        start: &Start,
        resume: Option<&Resume>,
    ) -> HeaderMap;

    /// The request that stops the run of `id` and moves its memory to another server, from its own server.
    fn move_request(&self, id: &str, to: &Endpoint) -> Request<Bytes>;

    /// The memory that the other server has now, by the answer to [`Codec::move_request`]; none if it was not moved.
    fn decode_moved(&self, source: &Endpoint, status: StatusCode, body: &[u8]) -> Option<Transfer>;

    /// What the head of a backend server's answer means to the request `id`.
    fn classify(&self, head: &response::Parts, id: &str) -> Classification;

    /// The headers with which a backend server's answer goes to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// The final answer to a request that no backend server answered.
    fn encode_refusal(&self, refusal: &Refusal) -> Response<Bytes>;

    /// Reads a question for addresses: the caller's availability zone, if it names one.
    fn address_query(&self, head: &request::Parts) -> Option<Option<SmolStr>>;

    /// How many requests the server takes from all entries together, if its answer says so.
    fn rate_limit(&self, headers: &HeaderMap) -> Option<Rate>;

    /// The answer to a question for addresses.
    fn encode_addresses(&self, addresses: Option<&Addresses>) -> Response<Bytes>;

    /// Whether this asks if the entry is ready.
    fn is_readiness_probe(&self, head: &request::Parts) -> bool;

    /// Whether this asks for metrics.
    fn is_metrics_request(&self, head: &request::Parts) -> bool;

    /// Whether a row of the configuration's table holds the configuration.
    fn is_configuration_row(&self, row: &Row) -> bool;

    /// The order for a roll-out that a row of the configuration's table holds; none if it holds something else.
    fn decode_rollout(&self, row: &Row) -> Option<anyhow::Result<Order>>;

    /// The service whose roll-out a row's key orders, if it does.
    fn rollout_service(&self, key: &str) -> Option<SmolStr>;

    /// The backend server that a row names. Rows may be foreign, partial or broken.
    fn decode_server(&self, row: &Row) -> anyhow::Result<Server>;

    /// A version of the configuration, from the document that an operator wrote.
    fn decode_catalog(&self, document: &[u8]) -> anyhow::Result<Catalog>;
}

/// Where a stream goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resume {
    /// Name of the last event that the caller got.
    pub last_event: SmolStr,
    /// The memory that it goes on from; none to read the prompt again.
    pub transfer: Option<Transfer>,
}

/// The memory of a run that was stopped to be moved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// `host:port` of the server that ran it.
    pub source: SmolStr,
    /// Names it there.
    pub handle: SmolStr,
}

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Classification {
    /// The server's answer to this request.
    Answer,
    /// The server says that it did not run the request.
    NotStarted,
    /// An answer to another request, or to none.
    Mismatched,
}

/// The platform's table service.
pub trait Tables {
    /// Makes a call. Its own time limit counts as an unknown outcome.
    fn call(&self, call: Call) -> Pending<'_, Outcome>;
}

/// The platform's calls for holders of duties.
pub trait Cloud {
    /// Makes a call in the name of the entry.
    fn call(&self, call: duty::Call, fence: u64) -> Pending<'_, duty::Outcome>;
}

/// A table that is followed.
pub trait Feed {
    /// All its rows.
    fn read(&self) -> Pending<'_, Result<Rows, Fault>>;

    /// What has changed since a revision; waits for so long if nothing has.
    fn changes(&self, since: u64, wait: Span) -> Pending<'_, Result<Changes, Fault>>;
}

/// All rows of a table as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// In key order.
    pub rows: Vec<Row>,
    /// The newest revision then.
    pub revision: u64,
}

/// Changes of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Rows that were written.
    pub written: Vec<Row>,
    /// Rows that were deleted, without data.
    pub deleted: Vec<Row>,
    /// Where to go on.
    pub revision: u64,
}

/// One row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: SmolStr,
    /// Its bytes, as their writer left them.
    pub data: Bytes,
    /// The table's revision that changed it last.
    pub revision: u64,
}

/// Why a table could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The changes asked for are no longer kept.
    HistoryLost,
    /// The service said that it can't answer now.
    Refused,
    /// No answer came, or none that can be read.
    Lost,
}

impl Fault {
    /// The form used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Fault::HistoryLost => "history_lost",
            Fault::Refused => "refused",
            Fault::Lost => "lost",
        }
    }
}
