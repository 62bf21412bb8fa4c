//! gRPC server of the operators' port.

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
const MAX_CALLS_PER_CONNECTION: usize = 16;
/// Timeout of one call: the longest wait of a change, and as much again for the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval of HTTP/2 pings, which detect connections of operators that have vanished.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(30);

/// Serves operators forever.
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
    let key_hash = hash_key(key);
    let port = OperatorsServer::new(Port { calls })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(usize::MAX);
    let authorized_service = tonic::service::interceptor::InterceptedService::new(
        port,
        move |request: tonic::Request<()>| authorize(&key_hash, request),
    );
    Server::builder()
        .timeout(CALL_TIMEOUT)
        .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .add_service(authorized_service)
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), stop)
        .await?;
    Ok(())
}

/// Accepts calls that carry the operators' key.
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
