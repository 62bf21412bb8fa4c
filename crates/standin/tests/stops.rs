//! Calls that are under way on the ports of an entry as it ends, over sockets.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use config::snapshot::hash_key;
use ops::client::Failure;
use ops::client::Kind;
use ops::request::Edit;
use smol_str::SmolStr;
use standin::local::Cluster;
use standin::local::Entry;
use standin::platform::fault::Fault;
use standin::platform::fault::Part;
use standin::sample;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use harness::operator::Operator;
use harness::raw;
use harness::wait_for;

/// The fault of a change that may have taken effect.
const OUTCOME_UNKNOWN: &str = "the change may have taken effect: repeat it with the same change id";
/// Time for a call to reach its entry.
const DELIVERY: Duration = Duration::from_millis(100);

/// Starts one entry whose callers may take a minute for a body.
async fn start() -> Cluster {
    let mut cluster = Cluster::start().await.unwrap();
    let spec = sample::Entry {
        name: "entry-0",
        zone: "a",
        platform: &cluster.platform.server.address().to_string(),
        callers: sample::ANY_PORT,
        seeds: &[],
    };
    let text = sample::settings(&spec);
    let text = text.replace("\"body_timeout_ms\": 2000", "\"body_timeout_ms\": 60000");
    let entry = Entry::start_with(spec.name, &text).await.unwrap();
    cluster.entries.push(entry);
    cluster.add_services(1).await.unwrap();
    cluster.deploy().await.unwrap();
    cluster
}

/// Guards against ending a connection without an answer where a request's body isn't complete before the entry ends.
#[test]
fn a_request_that_is_not_whole_before_an_entry_ends_is_refused_as_not_run() {
    harness::run(async {
        let cluster = start().await;
        let entry = &cluster.entries[0];
        let mut socket = TcpStream::connect(entry.bound.callers).await.unwrap();
        let part = format!(
            "POST /services/{}/files/1 HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {}\r\ncontent-length: 9\r\n\r\nhalf",
            sample::SERVICE,
            sample::ACCOUNT_KEY
        );
        socket.write_all(part.as_bytes()).await.unwrap();
        tokio::time::sleep(DELIVERY).await;
        entry.request_stop();
        let answer = raw::read(socket).await;
        assert_eq!(answer.status, 503, "{answer:?}");
        assert_eq!(answer.verdict(), "not-run");
        assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
    });
}

/// Guards against a broken connection in place of an answer for an operator whose change is under way as the entry ends.
#[test]
fn an_operator_is_answered_whose_change_is_under_way_as_an_entry_ends() {
    harness::run(async {
        let cluster = start().await;
        let entry = &cluster.entries[0];
        let mut operator = Operator::connect(&entry.bound.operators.to_string()).await;
        let version = operator.version().await;
        cluster.platform.state.borrow_mut().faults.set(Fault {
            part: Part::Tables,
            down: true,
            ..Fault::default()
        });
        let mut account = sample::account();
        account.name = SmolStr::from("others");
        account.key_hashes = vec![hash_key("another key")];
        let changing = operator.change("late", version, Edit::PutAccount(account));
        let ending = async {
            tokio::time::sleep(DELIVERY).await;
            entry.request_stop();
            wait_for("the end", async || entry.has_ended().then_some(())).await;
        };
        let (changed, ()) = tokio::join!(changing, ending);
        let expected = Failure::new(Kind::OutcomeUnknown, OUTCOME_UNKNOWN);
        assert_eq!(changed, Err(expected));
    });
}
