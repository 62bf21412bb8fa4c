//! An operator, connected over gRPC.

use ops::client::Client;
use ops::client::Failure;
use ops::reply::Changed;
use ops::reply::Reply;
use ops::reply::Status;
use ops::request::Change;
use ops::request::Edit;
use ops::request::Request;
use smol_str::SmolStr;
use standin::sample;

/// A connection to the operators' port of one entry.
pub struct Operator {
    client: Client,
}

impl Operator {
    /// Connects to the operators' port at `address`.
    pub async fn connect(address: &str) -> Operator {
        let address = format!("http://{address}");
        let client = Client::connect(&address, sample::OPERATORS_KEY).await;
        Operator {
            client: client.unwrap(),
        }
    }

    /// Requests a change of the version `expected`.
    pub async fn change(
        &mut self,
        id: &str,
        expected: u64,
        edit: Edit,
    ) -> Result<Changed, Failure> {
        let change = Change {
            id: SmolStr::from(id),
            expected_version: expected,
            wait: sample::CHANGE_WAIT,
            edit,
        };
        match self.client.call(Request::Change(change)).await? {
            Reply::Changed(changed) => Ok(changed),
            other => panic!("a change was answered with {other:?}"),
        }
    }

    /// Requests a change that must be accepted, and returns the new version.
    pub async fn expect_accepted(&mut self, id: &str, expected: u64, edit: Edit) -> u64 {
        match self.change(id, expected, edit).await {
            Ok(Changed::Accepted { version }) => version,
            other => panic!("{id}: {other:?}"),
        }
    }

    /// Returns the version in force at this entry.
    pub async fn version(&mut self) -> u64 {
        match self.client.call(Request::ListDeployments).await.unwrap() {
            Reply::Configuration { version, .. } => version,
            other => panic!("a list was answered with {other:?}"),
        }
    }

    /// Returns the entry's status.
    pub async fn status(&mut self) -> Status {
        match self.client.call(Request::GetStatus).await.unwrap() {
            Reply::Status(status) => status,
            other => panic!("a status was answered with {other:?}"),
        }
    }

    /// Sends any request.
    pub async fn call(&mut self, request: Request) -> Result<Reply, Failure> {
        self.client.call(request).await
    }
}
