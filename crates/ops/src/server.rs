//! gRPC server of the operators' port.

use std::convert::Infallible;
use std::future::Future;
use std::future::pending;
use std::time::Duration;

use config::snapshot::hash_key;
use smol_str::SmolStr;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Response;
use tonic::Status;
use tonic::body::Body;
use tonic::codegen::Service;
use tonic::codegen::StdError;
use tonic::codegen::http;
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Server;

use crate::call::Call;
use crate::call::CallSender;
use crate::fault::Fault;
use crate::reply::Reply;
use crate::request::Request;
use crate::wire;
use crate::wire::operators_server::Operators;
use crate::wire::operators_server::OperatorsServer;

/// Largest request; the largest deployment, with 5,000 grants, takes a tenth of it.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Most concurrent calls on one connection.
pub const MAX_CALLS_PER_CONNECTION: u32 = 16;
/// Timeout of one call: the longest wait of a change, and as much again for the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval of HTTP/2 pings, which detect connections of operators that have vanished.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(30);

/// Body of an answer.
pub type Payload = Body;

/// The API, for a server that accepts and bounds its connections itself.
#[derive(Clone)]
pub struct Api {
    service: InterceptedService<OperatorsServer<Port>, Authorization>,
}

impl Api {
    /// Creates the API, which passes calls with the operators' key on to `calls`.
    pub fn new(key: &str, calls: CallSender) -> Api {
        let port = OperatorsServer::new(Port { calls })
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(usize::MAX);
        let authorization = Authorization {
            key_hash: hash_key(key),
        };
        Api {
            service: InterceptedService::new(port, authorization),
        }
    }

    /// Answers one request. The message of one without the key isn't read.
    pub async fn answer<B>(&self, request: http::Request<B>) -> http::Response<Payload>
    where
        B: tonic::codegen::Body + Send + 'static,
        B::Error: Into<StdError> + Send + 'static,
    {
        let mut service = self.service.clone();
        let answering = tokio::time::timeout(CALL_TIMEOUT, service.call(request));
        match answering.await {
            Ok(Ok::<_, Infallible>(response)) => response.map(Payload::new),
            Err(_) => Status::cancelled("the call took too long").into_http(),
        }
    }
}

/// Serves operators forever, without a limit on connections.
pub async fn serve(listener: TcpListener, key: &str, calls: CallSender) -> anyhow::Result<()> {
    serve_until(listener, key, calls, pending()).await
}

/// Serves operators until `stop` completes, then finishes the calls in progress.
pub async fn serve_until(
    listener: TcpListener,
    key: &str,
    calls: CallSender,
    stop: impl Future<Output = ()>,
) -> anyhow::Result<()> {
    Server::builder()
        .timeout(CALL_TIMEOUT)
        .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION as usize)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .add_service(Api::new(key, calls).service)
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), stop)
        .await?;
    Ok(())
}

/// Accepts calls that carry the operators' key.
#[derive(Clone)]
struct Authorization {
    key_hash: SmolStr,
}

impl Interceptor for Authorization {
    fn call(&mut self, request: tonic::Request<()>) -> Result<tonic::Request<()>, Status> {
        authorize(&self.key_hash, request)
    }
}

/// Checks that a call carries the operators' key.
///
/// Compares hashes in constant time, so that neither the length nor a prefix of the key leaks through
/// timing.
fn authorize(
    key_hash: &SmolStr,
    request: tonic::Request<()>,
) -> Result<tonic::Request<()>, Status> {
    let header = request.metadata().get("authorization");
    let presented = header.and_then(|value| value.to_str().ok());
    let presented = presented.and_then(|value| value.strip_prefix("Bearer "));
    let presented_hash = hash_key(presented.unwrap_or_default());
    let equal = bool::from(presented_hash.as_bytes().ct_eq(key_hash.as_bytes()));
    if equal && presented.is_some() {
        Ok(request)
    } else {
        Err(Status::unauthenticated(
            "the operators' key is missing or wrong",
        ))
    }
}

/// gRPC service that forwards each call to the handler.
struct Port {
    calls: CallSender,
}

impl Port {
    /// Decodes a message, forwards the call and encodes its reply.
    async fn call<M, R>(&self, message: tonic::Request<M>) -> Result<Response<R>, Status>
    where
        Request: TryFrom<M, Error = Fault>,
        R: TryFrom<Reply, Error = Status>,
    {
        let request = Request::try_from(message.into_inner())?;
        let fault_if_dropped = if request.may_change() {
            Fault::OutcomeUnknown
        } else {
            Fault::Unavailable("the entry is stopping".into())
        };
        let (reply, answer) = oneshot::channel();
        let call = Call { request, reply };
        if self.calls.send(call).await.is_err() {
            return Err(Status::unavailable("the entry is stopping"));
        }
        match answer.await {
            Ok(result) => Ok(Response::new(R::try_from(result?)?)),
            Err(_) => Err(fault_if_dropped.into()),
        }
    }
}

#[tonic::async_trait]
impl Operators for Port {
    async fn create_deployment(
        &self,
        request: tonic::Request<wire::CreateDeploymentRequest>,
    ) -> Result<Response<wire::ChangeResult>, Status> {
        self.call(request).await
    }

    async fn change_deployment(
        &self,
        request: tonic::Request<wire::ChangeDeploymentRequest>,
    ) -> Result<Response<wire::ChangeResult>, Status> {
        self.call(request).await
    }

    async fn remove_deployment(
        &self,
        request: tonic::Request<wire::RemoveDeploymentRequest>,
    ) -> Result<Response<wire::ChangeResult>, Status> {
        self.call(request).await
    }

    async fn get_deployment(
        &self,
        request: tonic::Request<wire::GetDeploymentRequest>,
    ) -> Result<Response<wire::GetDeploymentResult>, Status> {
        self.call(request).await
    }

    async fn list_deployments(
        &self,
        request: tonic::Request<wire::ListDeploymentsRequest>,
    ) -> Result<Response<wire::ListDeploymentsResult>, Status> {
        self.call(request).await
    }

    async fn put_account(
        &self,
        request: tonic::Request<wire::PutAccountRequest>,
    ) -> Result<Response<wire::ChangeResult>, Status> {
        self.call(request).await
    }

    async fn remove_account(
        &self,
        request: tonic::Request<wire::RemoveAccountRequest>,
    ) -> Result<Response<wire::ChangeResult>, Status> {
        self.call(request).await
    }

    async fn get_history(
        &self,
        request: tonic::Request<wire::GetHistoryRequest>,
    ) -> Result<Response<wire::GetHistoryResult>, Status> {
        self.call(request).await
    }

    async fn get_status(
        &self,
        request: tonic::Request<wire::GetStatusRequest>,
    ) -> Result<Response<wire::GetStatusResult>, Status> {
        self.call(request).await
    }

    async fn drain(
        &self,
        request: tonic::Request<wire::DrainRequest>,
    ) -> Result<Response<wire::DrainResult>, Status> {
        self.call(request).await
    }

    async fn report(
        &self,
        request: tonic::Request<wire::ReportRequest>,
    ) -> Result<Response<wire::ReportResult>, Status> {
        self.call(request).await
    }

    async fn explain(
        &self,
        request: tonic::Request<wire::ExplainRequest>,
    ) -> Result<Response<wire::ExplainResult>, Status> {
        self.call(request).await
    }
}
