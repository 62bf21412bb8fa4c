//! A platform that is down, slow or loses answers, and operators that race.

mod harness;

use client::call::Delivery;
use client::error::Kind;
use config::deployment::Account;
use harness::caller::Asked;
use harness::caller::receipt;
use harness::caller::receipt_at;
use harness::caller::receipt_key;
use harness::caller::send_receipt;
use harness::wait_for;
use harness::world::Size;
use harness::world::World;
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

/// A branch is billed twice, or never: the row that gives leave to run a receipt was written, but
/// the store's answer was lost. The entry must find its own row and run the receipt once; a repeat
/// under the same key at any entry must not run it again.
#[test]
fn lost_answer_of_the_store_on_a_non_idempotent_call() {
    harness::run(async {
        let world = World::deployed(&SIZE).await;
        let lossy = json!({ "part": "tables", "lose_answers": 1, "lose_table": "intents" });
        world.platform_fault(lossy).await;
        send_receipt(&world.caller(), "lost row", "filing-7")
            .await
            .unwrap();
        for entry in &world.entries {
            let name = ("idempotency-key", "filing-7");
            let again = receipt_at(entry, "lost row", name).await;
            assert_eq!(again.reason(), "repeated");
            assert_eq!(again.verdict(), "may-have-run");
        }
        assert_eq!(world.executions(&receipt_key("lost row")).await, 1);
    });
}

/// One receipt, sent at the same moment to every entry under one key: it is executed once.
#[test]
fn same_key_at_all_entries_at_once() {
    harness::run(async {
        let world = World::deployed(&SIZE).await;
        let name = ("idempotency-key", "filing-8");
        let sent = world
            .entries
            .iter()
            .map(|entry| receipt_at(entry, "race", name));
        let answers = futures::future::join_all(sent).await;
        assert_eq!(
            answers.iter().filter(|answer| answer.status == 200).count(),
            1
        );
        assert_eq!(world.executions(&receipt_key("race")).await, 1);
    });
}

/// The store is down: model calls and calls by ticket go on, a call that needs a row is told that it
/// did not run and when to come back, and a change is not accepted.
#[test]
fn store_outage() {
    harness::run(async {
        let world = World::deployed(&SIZE).await;
        let caller = world.hasty_caller();
        caller.refresh("").await.unwrap();
        world
            .platform_fault(json!({ "part": "tables", "down": true }))
            .await;
        Asked::new(&caller, "outage", 20).await.finish().await;
        caller
            .call(&receipt("by ticket", Delivery::Ticket))
            .await
            .unwrap();
        assert_eq!(world.executions(&receipt_key("by ticket")).await, 1);
        let error = send_receipt(&caller, "by row", "filing-9")
            .await
            .unwrap_err();
        assert_eq!(error.kind, Kind::Refused(Reason::StoreUnavailable));
        assert_eq!(error.verdict, Verdict::NotRun);
        assert!(error.retry_after.is_some());
        assert_eq!(world.executions(&receipt_key("by row")).await, 0);
        let mut operator = world.operator(0).await;
        let version = operator.version().await;
        let changed = operator.change("outage", version, put("second")).await;
        assert!(
            !matches!(changed, Ok(Changed::Accepted { .. })),
            "{changed:?}"
        );
    });
}

/// An outage that lasts longer than every lease: requests go on all the same.
#[test]
fn store_outage_past_the_leases() {
    harness::run(async {
        let world = World::deployed(&SIZE).await;
        let caller = world.caller();
        world
            .platform_fault(json!({ "part": "tables", "down": true }))
            .await;
        tokio::time::sleep(std::time::Duration::from_secs(6)).await;
        Asked::new(&caller, "long outage", 20).await.finish().await;
        world.platform_fault(json!({ "part": "tables" })).await;
        wait_for("the store again", async || {
            send_receipt(&caller, "afterwards", "filing-10").await.ok()
        })
        .await;
    });
}

fn put(name: &str) -> Edit {
    Edit::PutAccount(Account {
        name: name.into(),
        key_hashes: vec![config::snapshot::hash_key(name)],
        ..sample::account()
    })
}
