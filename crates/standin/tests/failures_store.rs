//! A store that is down or loses responses.

mod harness;

use client::call::Delivery;
use client::error::Kind;
use config::deployment::Account;
use harness::caller::Reader;
use harness::caller::receipt;
use harness::caller::receipt_at;
use harness::caller::receipt_key;
use harness::caller::send_receipt;
use harness::cluster::Cluster;
use harness::cluster::Size;
use harness::wait_for;
use ops::reply::Changed;
use ops::request::Edit;
use serde_json::json;
use standin::sample;
use verdict::Reason;
use verdict::Verdict;

const SIZE: Size = Size {
    entries: 3,
    engines: 2,
    services: 1,
    token_ms: 5,
};

/// The intent row of a non-idempotent call is written, but the store's response is lost. The entry must find
/// its own row and execute the call once; a retry under the same key must not execute it again at any entry.
#[test]
fn lost_answer_of_the_store_on_a_non_idempotent_call() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        let lost_answer = json!({ "part": "tables", "lose_answers": 1, "lose_table": "intents" });
        cluster.platform_fault(lost_answer).await;
        send_receipt(&cluster.caller(), "lost row", "filing-7")
            .await
            .unwrap();
        for entry in &cluster.entries {
            let id_header = ("idempotency-key", "filing-7");
            let retry = receipt_at(entry, "lost row", id_header).await;
            assert_eq!(retry.reason(), "repeated");
            assert_eq!(retry.verdict(), "may-have-run");
        }
        assert_eq!(cluster.executions(&receipt_key("lost row")).await, 1);
    });
}

/// A receipt is sent to all entries concurrently under one key, and must be executed once.
#[test]
fn same_key_at_all_entries_at_once() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        let id_header = ("idempotency-key", "filing-8");
        let requests = cluster
            .entries
            .iter()
            .map(|entry| receipt_at(entry, "race", id_header));
        let answers = futures::future::join_all(requests).await;
        assert_eq!(
            answers.iter().filter(|answer| answer.status == 200).count(),
            1
        );
        assert_eq!(cluster.executions(&receipt_key("race")).await, 1);
    });
}

/// The store is down. Model calls and calls by ticket must succeed, a call that needs a row must get
/// "not run" with a time to retry after, and a change must not be accepted.
#[test]
fn store_outage() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        let caller = cluster.caller_with_two_tries();
        caller.refresh("").await.unwrap();
        cluster
            .platform_fault(json!({ "part": "tables", "down": true }))
            .await;
        Reader::new(&caller, "outage", 20).await.finish().await;
        caller
            .call(&receipt("by ticket", Delivery::Ticket))
            .await
            .unwrap();
        assert_eq!(cluster.executions(&receipt_key("by ticket")).await, 1);
        let error = send_receipt(&caller, "by row", "filing-9")
            .await
            .unwrap_err();
        assert_eq!(error.kind, Kind::Refused(Reason::StoreUnavailable));
        assert_eq!(error.verdict, Verdict::NotRun);
        assert!(error.retry_after.is_some());
        assert_eq!(cluster.executions(&receipt_key("by row")).await, 0);
        let mut operator = cluster.operator(0).await;
        let version = operator.version().await;
        let changed = operator
            .change("outage", version, put_account("second"))
            .await;
        assert!(
            !matches!(changed, Ok(Changed::Accepted { .. })),
            "{changed:?}"
        );
    });
}

/// Requests must also be served when a store outage outlasts every lease.
#[test]
fn store_outage_past_the_leases() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        let caller = cluster.caller();
        cluster
            .platform_fault(json!({ "part": "tables", "down": true }))
            .await;
        tokio::time::sleep(std::time::Duration::from_secs(6)).await;
        Reader::new(&caller, "long outage", 20).await.finish().await;
        cluster.platform_fault(json!({ "part": "tables" })).await;
        wait_for("the store again", async || {
            send_receipt(&caller, "afterwards", "filing-10").await.ok()
        })
        .await;
    });
}

fn put_account(name: &str) -> Edit {
    Edit::PutAccount(Account {
        name: name.into(),
        key_hashes: vec![config::snapshot::hash_key(name)],
        ..sample::account()
    })
}
