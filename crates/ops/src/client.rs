//! gRPC client: sends a [`Request`] and returns the [`Reply`].

use std::error::Error;
use std::fmt;
use std::time::Duration;

use tonic::Code;
use tonic::Response;
use tonic::Status;
use tonic::metadata::Ascii;
use tonic::metadata::MetadataValue;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::convert::decode_reply::DecodeError;
use crate::convert::encode_request;
use crate::reply::Reply;
use crate::request::Change;
use crate::request::Edit;
use crate::request::Request;
use crate::wire;
use crate::wire::operators_client::OperatorsClient;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of one call; longer than the server's own, so that the server's error arrives first.
const CALL_TIMEOUT: Duration = Duration::from_secs(130);
/// Largest reply; a configuration with thousands of accounts exceeds tonic's default of 4 MiB.
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// A connection to the operators' port of one entry.
#[derive(Clone, Debug)]
pub struct Client {
    stub: OperatorsClient<Channel>,
    key: MetadataValue<Ascii>,
}

/// Error of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Category of the failure.
    pub kind: Kind,
    /// Human-readable description.
    pub message: String,
}

/// Categories of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The call is malformed.
    Invalid,
    /// The operators' key is missing or wrong.
    Unauthenticated,
    /// The subject of the call doesn't exist.
    NotFound,
    /// The object to create already exists.
    AlreadyExists,
    /// The change contradicts the configuration.
    Precondition,
    /// Nothing was changed; a retry may succeed.
    Unavailable,
    /// A change may or may not have taken effect.
    OutcomeUnknown,
    /// Any other failure.
    Internal,
}

impl Failure {
    /// Creates a failure of category `kind`.
    pub fn new(kind: Kind, message: impl Into<String>) -> Failure {
        Failure {
            kind,
            message: message.into(),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl Error for Failure {}

impl Client {
    /// Connects to `http://HOST:PORT`.
    pub async fn connect(address: &str, key: &str) -> Result<Client, Failure> {
        let key = format!("Bearer {key}").parse().map_err(|_| {
            let message = "the operators' key contains invalid characters";
            Failure::new(Kind::Unauthenticated, message)
        })?;
        let endpoint = Endpoint::from_shared(address.to_owned())
            .map_err(|error| Failure::new(Kind::Invalid, format!("{address}: {error}")))?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .connect()
            .await
            .map_err(|error| Failure::new(Kind::Unavailable, with_causes(address, &error)))?;
        let stub = OperatorsClient::new(channel).max_decoding_message_size(MAX_REPLY_BYTES);
        Ok(Client { stub, key })
    }

    /// Sends a request and waits for the reply.
    pub async fn call(&mut self, request: Request) -> Result<Reply, Failure> {
        let may_change = request.may_change();
        let result = match request {
            Request::Change(change) => self.change(change).await,
            Request::GetDeployment { name } => {
                let message = self.with_key(wire::GetDeploymentRequest { name: name.into() });
                decode(self.stub.get_deployment(message).await)
            }
            Request::ListDeployments => {
                let message = self.with_key(wire::ListDeploymentsRequest {});
                decode(self.stub.list_deployments(message).await)
            }
            Request::GetHistory { before, limit } => {
                let message = self.with_key(wire::GetHistoryRequest {
                    before_version: before.unwrap_or_default(),
                    limit: u32::try_from(limit).unwrap_or(u32::MAX),
                });
                decode(self.stub.get_history(message).await)
            }
            Request::GetStatus => {
                let message = self.with_key(wire::GetStatusRequest {});
                decode(self.stub.get_status(message).await)
            }
            Request::Drain(target) => {
                let message = self.with_key(encode_request::drain(target));
                decode(self.stub.drain(message).await)
            }
            Request::Report { deployment } => {
                let message = self.with_key(wire::ReportRequest {
                    deployment: deployment.unwrap_or_default().into(),
                });
                decode(self.stub.report(message).await)
            }
            Request::Explain { request } => {
                let message = self.with_key(wire::ExplainRequest {
                    request: request.into(),
                });
                decode(self.stub.explain(message).await)
            }
        };
        result.map_err(|status| failure(&status, may_change))
    }

    /// Sends a change of the configuration.
    async fn change(&mut self, change: Change) -> Result<Reply, Status> {
        let change_header = encode_request::change(&change);
        match change.edit {
            Edit::CreateDeployment(deployment) => {
                let message = self.with_key(encode_request::create(change_header, deployment));
                decode(self.stub.create_deployment(message).await)
            }
            Edit::ChangeDeployment(deployment) => {
                let message = self.with_key(encode_request::replace(change_header, deployment));
                decode(self.stub.change_deployment(message).await)
            }
            Edit::RemoveDeployment(name) => {
                let message = self.with_key(wire::RemoveDeploymentRequest {
                    change: change_header,
                    name: name.into(),
                });
                decode(self.stub.remove_deployment(message).await)
            }
            Edit::PutAccount(account) => {
                let message = self.with_key(encode_request::put(change_header, account));
                decode(self.stub.put_account(message).await)
            }
            Edit::RemoveAccount(name) => {
                let message = self.with_key(wire::RemoveAccountRequest {
                    change: change_header,
                    name: name.into(),
                });
                decode(self.stub.remove_account(message).await)
            }
        }
    }

    /// Wraps a message in a request that carries the operators' key.
    fn with_key<M>(&self, message: M) -> tonic::Request<M> {
        let mut request = tonic::Request::new(message);
        request
            .metadata_mut()
            .insert("authorization", self.key.clone());
        request
    }
}

/// Decodes a response.
fn decode<M>(result: Result<Response<M>, Status>) -> Result<Reply, Status>
where
    Reply: TryFrom<M, Error = DecodeError>,
{
    let message = result?.into_inner();
    Reply::try_from(message).map_err(|DecodeError(reason)| Status::internal(reason))
}

/// Converts a status into a failure.
///
/// If the connection breaks during a change, tonic creates the status locally and gives it a source. The
/// entry may have applied the change all the same, so the outcome is unknown whatever the code.
fn failure(status: &Status, may_change: bool) -> Failure {
    let connection_lost = status.source().is_some();
    let kind = match status.code() {
        _ if connection_lost && may_change => Kind::OutcomeUnknown,
        _ if connection_lost => Kind::Unavailable,
        Code::InvalidArgument => Kind::Invalid,
        Code::Unauthenticated => Kind::Unauthenticated,
        Code::NotFound => Kind::NotFound,
        Code::AlreadyExists => Kind::AlreadyExists,
        Code::FailedPrecondition => Kind::Precondition,
        Code::Unavailable => Kind::Unavailable,
        Code::Unknown | Code::Cancelled | Code::DeadlineExceeded if may_change => {
            Kind::OutcomeUnknown
        }
        _ => Kind::Internal,
    };
    Failure::new(kind, status.message())
}

/// Formats an error with its chain of causes.
fn with_causes(address: &str, error: &dyn Error) -> String {
    let mut text = format!("{address}: {error}");
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(&format!(": {error}"));
        cause = error.source();
    }
    text
}
