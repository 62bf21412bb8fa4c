//! The operators' port over a real socket, with a fake handler.

use config::deployment::Deployment;
use config::deployment::Kind;
use ops::Call;
use ops::Fault;
use ops::Reply;
use ops::Request;
use ops::reply::Changed;
use ops::reply::Difference;
use ops::request::Edit;
use ops::wire;
use ops::wire::change_result::Outcome;
use ops::wire::operators_client::OperatorsClient;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tonic::Code;
use tonic::transport::Channel;

const KEY: &str = "0123456789abcdef";

/// Starts a server whose calls are answered by `answer`.
async fn start(
    answer: impl Fn(Request) -> Result<Reply, Fault> + Send + 'static,
) -> OperatorsClient<Channel> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let (calls, mut received) = mpsc::channel::<Call>(16);
    tokio::spawn(async move { ops::serve(listener, KEY, calls).await });
    tokio::spawn(async move {
        while let Some(call) = received.recv().await {
            let _ = call.reply.send(answer(call.request));
        }
    });
    OperatorsClient::connect(format!("http://{address}"))
        .await
        .expect("a port that answers")
}

/// Wraps a message in a request that carries a key.
fn with_key<M>(message: M, key: &str) -> tonic::Request<M> {
    let mut request = tonic::Request::new(message);
    let value = format!("Bearer {key}")
        .parse()
        .expect("a key of visible characters");
    request.metadata_mut().insert("authorization", value);
    request
}

/// Returns a valid change.
fn change() -> Option<wire::Change> {
    Some(wire::Change {
        expected_version: 4,
        change_id: "c-1".to_owned(),
        wait_ms: 0,
    })
}

/// Returns a valid deployment.
fn deployment() -> wire::Deployment {
    wire::Deployment {
        name: "thesis".to_owned(),
        kind: Some(wire::deployment::Kind::Service(wire::PlainService {})),
        pool: "thesis".to_owned(),
        ..Default::default()
    }
}

#[tokio::test]
async fn a_change_reaches_the_handler_decoded_and_its_result_is_returned() {
    let mut client = start(|request| {
        let Request::Change(change) = request else {
            panic!("not a change");
        };
        assert_eq!((change.id.as_str(), change.expected_version), ("c-1", 4));
        assert_eq!(change.wait.as_millis(), 10_000);
        let Edit::CreateDeployment(Deployment { kind, .. }) = change.edit else {
            panic!("not a creation");
        };
        assert_eq!(kind, Kind::Service);
        Ok(Reply::Changed(Changed::Committed {
            version: 5,
            waiting_for: vec!["entry-2".into()],
        }))
    })
    .await;
    let message = wire::CreateDeploymentRequest {
        change: change(),
        deployment: Some(deployment()),
    };
    let result = client
        .create_deployment(with_key(message, KEY))
        .await
        .unwrap();
    let expected = Outcome::Committed(wire::Committed {
        version: 5,
        waiting_for: vec!["entry-2".to_owned()],
    });
    assert_eq!(result.into_inner().outcome, Some(expected));
}

/// Two operators change the same deployment concurrently. The second change must not overwrite the
/// first: it is rejected with the newest version and the differences.
#[tokio::test]
async fn the_losing_change_gets_the_newest_version_and_the_differences() {
    let mut client = start(|_| {
        Ok(Reply::Changed(Changed::Conflict {
            version: 5,
            differences: vec![Difference {
                subject: "deployment thesis".to_owned(),
                field: "pool".to_owned(),
                before: "\"thesis\"".to_owned(),
                after: "\"theses\"".to_owned(),
            }],
        }))
    })
    .await;
    let message = wire::RemoveDeploymentRequest {
        change: change(),
        name: "thesis".to_owned(),
    };
    let result = client
        .remove_deployment(with_key(message, KEY))
        .await
        .unwrap();
    let Some(Outcome::Conflict(conflict)) = result.into_inner().outcome else {
        panic!("not a conflict");
    };
    assert_eq!(conflict.version, 5);
    assert_eq!(conflict.differences[0].after, "\"theses\"");
}

/// A change with several invalid fields is rejected with all violations and never reaches the handler.
#[tokio::test]
async fn all_violations_of_a_change_are_reported_together() {
    let mut client = start(|_| panic!("a malformed change reached the handler")).await;
    let grant = wire::Grant {
        account: "branches".to_owned(),
        first_token_ms: 480,
        token_gap_ms: 0,
        share_per_mille: 1_000,
    };
    let message = wire::ChangeDeploymentRequest {
        change: Some(wire::Change {
            change_id: "no spaces".to_owned(),
            wait_ms: 60_001,
            ..Default::default()
        }),
        deployment: Some(wire::Deployment {
            name: "Thesis".to_owned(),
            kind: None,
            grants: vec![grant.clone(), grant],
            ..deployment()
        }),
    };
    let status = client
        .change_deployment(with_key(message, KEY))
        .await
        .unwrap_err();
    assert_eq!(status.code(), Code::InvalidArgument);
    let lines: Vec<&str> = status.message().lines().collect();
    assert_eq!(
        lines,
        [
            "change.change_id: expected 1 to 64 of A-Z, a-z, 0-9, - and _",
            "change.wait_ms: expected at most 60000, found 60001",
            "deployment.name: expected 1 to 63 of a-z, 0-9 and -",
            "deployment.grants[0].token_gap_ms: expected 1 to 3600000, found 0",
            "deployment.grants[0].share_per_mille: expected 1 to 999, found 1000",
            "deployment.grants[1].account: 'branches' has a grant already",
            "deployment.grants[1].token_gap_ms: expected 1 to 3600000, found 0",
            "deployment.grants[1].share_per_mille: expected 1 to 999, found 1000",
            "deployment.kind: expected model or service, found none",
        ]
    );
}

#[tokio::test]
async fn an_invalid_account_is_rejected() {
    let mut client = start(|_| panic!("a malformed account reached the handler")).await;
    let message = wire::PutAccountRequest {
        change: None,
        account: Some(wire::Account {
            name: "branches".to_owned(),
            key_hashes: vec!["the key itself".to_owned()],
            weight: 0,
            priority: 300,
            ..Default::default()
        }),
    };
    let status = client
        .put_account(with_key(message, KEY))
        .await
        .unwrap_err();
    assert_eq!(status.code(), Code::InvalidArgument);
    let lines: Vec<&str> = status.message().lines().collect();
    assert_eq!(
        lines,
        [
            "change: it must be set",
            "account.key_hashes[0]: expected 64 lower-case hexadecimal digits (SHA-256 of the key)",
            "account.weight: expected 1 to 1000000, found 0",
            "account.priority: expected 0 to 9, found 300",
        ]
    );
}

#[tokio::test]
async fn a_call_with_a_wrong_or_missing_key_is_rejected() {
    let mut client = start(|_| panic!("a call without the key reached the handler")).await;
    let wrong = with_key(wire::GetStatusRequest {}, "0123456789abcdeg");
    let status = client.get_status(wrong).await.unwrap_err();
    assert_eq!(status.code(), Code::Unauthenticated);
    let missing = tonic::Request::new(wire::GetStatusRequest {});
    let status = client.get_status(missing).await.unwrap_err();
    assert_eq!(status.code(), Code::Unauthenticated);
}

/// The entry is killed between receiving a change and answering it. The operator must not be told that
/// nothing happened, because the change may be in force.
#[tokio::test]
async fn a_dropped_call_has_an_unknown_outcome() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (calls, mut received) = mpsc::channel::<Call>(16);
    tokio::spawn(async move { ops::serve(listener, KEY, calls).await });
    tokio::spawn(async move { while received.recv().await.is_some() {} });
    let mut client = OperatorsClient::connect(format!("http://{address}"))
        .await
        .unwrap();
    let message = wire::RemoveDeploymentRequest {
        change: change(),
        name: "thesis".to_owned(),
    };
    let status = client
        .remove_deployment(with_key(message, KEY))
        .await
        .unwrap_err();
    assert_eq!(status.code(), Code::Unknown);
    let query = with_key(wire::ListDeploymentsRequest {}, KEY);
    let status = client.list_deployments(query).await.unwrap_err();
    assert_eq!(status.code(), Code::Unavailable);
}

#[tokio::test]
async fn faults_map_to_status_codes() {
    let mut client = start(|_| Err(Fault::NotFound("deployment thesis".to_owned()))).await;
    let message = wire::GetDeploymentRequest {
        name: "thesis".to_owned(),
    };
    let status = client
        .get_deployment(with_key(message, KEY))
        .await
        .unwrap_err();
    assert_eq!(status.code(), Code::NotFound);
    assert_eq!(status.message(), "no deployment thesis");
}

/// A message whose fields have other types than in the schema.
#[derive(Clone, PartialEq, prost::Message)]
struct WrongType {
    /// A string in place of a message.
    #[prost(string, tag = "1")]
    change: String,
    /// A number in place of a message.
    #[prost(uint64, tag = "2")]
    deployment: u64,
}

/// A program built against another schema sends a number in place of a deployment. It must get an error
/// that names the field, and the next call on the same connection must be served.
#[tokio::test]
async fn a_change_with_a_field_of_the_wrong_type_is_rejected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (calls, mut received) = mpsc::channel::<Call>(16);
    tokio::spawn(async move { ops::serve(listener, KEY, calls).await });
    tokio::spawn(async move {
        while let Some(call) = received.recv().await {
            assert_eq!(call.request, Request::GetStatus);
            let _ = call.reply.send(Ok(Reply::Status(Default::default())));
        }
    });
    let address = format!("http://{address}");
    let channel = Channel::from_shared(address)
        .unwrap()
        .connect()
        .await
        .unwrap();
    let mut raw_client = tonic::client::Grpc::new(channel.clone());
    raw_client.ready().await.unwrap();
    let message = WrongType {
        change: "c-1".to_owned(),
        deployment: 7,
    };
    let codec = tonic_prost::ProstCodec::<WrongType, wire::ChangeResult>::default();
    let path = "/dogwoodspur.v1.Operators/CreateDeployment"
        .parse()
        .unwrap();
    let status = raw_client
        .unary(with_key(message, KEY), path, codec)
        .await
        .unwrap_err();
    assert_eq!(status.code(), Code::Internal);
    assert!(
        status.message().contains("CreateDeploymentRequest.change"),
        "{status}"
    );
    let mut client = OperatorsClient::new(channel);
    let query = with_key(wire::GetStatusRequest {}, KEY);
    assert!(client.get_status(query).await.is_ok());
}
