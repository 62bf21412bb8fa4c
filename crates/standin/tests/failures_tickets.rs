//! Tickets issued by entries that have ended.

#![allow(clippy::unwrap_used)]

mod harness;

use harness::caller::receipt_at;
use harness::caller::receipt_key;
use harness::cluster::Cluster;
use harness::cluster::Size;
use harness::raw::Response;
use harness::wait_for;

const SIZE: Size = Size {
    entries: 3,
    engines: 1,
    services: 1,
    token_ms: 10,
};

/// An entry that issued a used and an unused ticket is stopped. It must hand its ledger over, so that another
/// entry executes the unused ticket and refuses the used one.
#[test]
fn stopped_entry_hands_its_tickets_on() {
    harness::run(async {
        let mut cluster = Cluster::deployed(&SIZE).await;
        let (used, unused) = two_tickets(&cluster).await;
        let first = use_ticket(&cluster, 0, &used).await;
        assert_eq!(first.status, 200, "{first:?}");
        cluster.entries[0].signal("TERM").await;
        let entry = &mut cluster.entries[0];
        let code = wait_for("the end of the entry", async || entry.exit_code()).await;
        assert_eq!(code, 0);
        for index in 1..3 {
            let retry = use_ticket(&cluster, index, &used).await;
            assert_eq!(
                (retry.status, retry.verdict().as_str()),
                (409, "may-have-run")
            );
        }
        let other = use_ticket(&cluster, 1, &unused).await;
        assert_eq!(other.status, 200, "{other:?}");
        assert_eq!(cluster.executions(&receipt_key(&used)).await, 1);
        assert_eq!(cluster.executions(&receipt_key(&unused)).await, 1);
    });
}

/// An entry that issued tickets is killed and its ledger is lost, so a used ticket can't be told from an
/// unused one. Both must get "may have run" at once, without an execution.
#[test]
fn killed_entry_takes_its_tickets_along() {
    harness::run(async {
        let mut cluster = Cluster::deployed(&SIZE).await;
        let (used, unused) = two_tickets(&cluster).await;
        assert_eq!(use_ticket(&cluster, 0, &used).await.status, 200);
        cluster.entries[0].kill().await;
        for index in 1..3 {
            for ticket in [&used, &unused] {
                let answer = use_ticket(&cluster, index, ticket).await;
                assert_eq!(
                    (answer.status, answer.verdict().as_str()),
                    (409, "may-have-run")
                );
            }
        }
        assert_eq!(cluster.executions(&receipt_key(&used)).await, 1);
        assert_eq!(cluster.executions(&receipt_key(&unused)).await, 0);
    });
}

/// Returns two tickets of the first entry.
async fn two_tickets(cluster: &Cluster) -> (String, String) {
    let answer = cluster
        .caller_at(cluster.entries[..1].iter())
        .refresh("")
        .await
        .unwrap();
    (answer.tickets[0].to_string(), answer.tickets[1].to_string())
}

/// Sends a receipt with a ticket, which is also its body.
async fn use_ticket(cluster: &Cluster, entry: usize, ticket: &str) -> Response {
    let id_header = ("x-dogwoodspur-ticket", ticket);
    receipt_at(&cluster.entries[entry], ticket, id_header).await
}
