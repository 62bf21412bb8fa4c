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
use standin::platform::fault::Fault;
use standin::platform::fault::Part;
use standin::sample;

use harness::operator::Operator;
use harness::wait_for;

/// What an operator is told whose change may have taken effect.
const OUTCOME_UNKNOWN: &str = "the change may have taken effect: repeat it with the same change id";
/// Time for a call to reach its entry.
const DELIVERY: Duration = Duration::from_millis(100);

/// Starts one entry.
async fn start() -> Cluster {
    let mut cluster = Cluster::start().await.unwrap();
    cluster.add_services(1).await.unwrap();
    cluster.add_entries(1).await.unwrap();
    cluster.deploy().await.unwrap();
    cluster
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
