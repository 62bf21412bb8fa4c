//! The operators' port.

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

/// Most bytes of one call: the largest deployment, with 5,000 grants, takes a tenth of it.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Calls in progress on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 16;
/// Longest time for one call: the longest wait for a change and as much again for the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);
/// How often a silent connection is tried, so that a vanished operator's one is given up.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(30);

/// Serves operators for ever.
pub async fn serve(listener: TcpListener, key: &str, calls: CallSender) -> anyhow::Result<()> {
    serve_until(listener, key, calls, pending()).await
}

/// Serves operators until `stop` is ready; calls in progress are finished then.
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
    let guarded = tonic::service::interceptor::InterceptedService::new(
        port,
        move |request: tonic::Request<()>| authorize(&key_hash, request),
    );
    Server::builder()
        .timeout(CALL_TIMEOUT)
        .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .add_service(guarded)
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), stop)
        .await?;
    Ok(())
}

/// Lets a call pass that carries the operators' key.
///
/// Hashes are compared, in constant time, so that neither the key's length nor its beginning shows in
/// the time taken.
fn authorize(
    key_hash: &SmolStr,
    request: tonic::Request<()>,
) -> Result<tonic::Request<()>, Status> {
    let header = request.metadata().get("authorization");
    let given = header.and_then(|value| value.to_str().ok());
    let given = given.and_then(|value| value.strip_prefix("Bearer "));
    let given_hash = hash_key(given.unwrap_or_default());
    let equal = bool::from(given_hash.as_bytes().ct_eq(key_hash.as_bytes()));
    if equal && given.is_some() {
        Ok(request)
    } else {
        Err(Status::unauthenticated(
            "the operators' key is missing or wrong",
        ))
    }
}

/// Turns messages into calls and answers into messages.
struct Port {
    calls: CallSender,
}

impl Port {
    /// One call, from message to message.
    async fn call<M, R>(&self, message: tonic::Request<M>) -> Result<Response<R>, Status>
    where
        Request: TryFrom<M, Error = Fault>,
        R: TryFrom<Reply, Error = Status>,
    {
        let request = Request::try_from(message.into_inner())?;
        let dropped = if request.may_change() {
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
            Err(_) => Err(dropped.into()),
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
