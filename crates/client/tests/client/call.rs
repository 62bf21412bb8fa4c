//! Calls to plain services: a non-idempotent one is retried only if it did not run.

use bytes::Bytes;
use client::call::Call;
use client::call::Delivery;
use client::error::Kind;
use http::Method;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Verdict;

use crate::fake;
use crate::fake::Fake;
use crate::fake::client;
use crate::fake::done;
use crate::fake::refusal;

fn receipt(delivery: Delivery) -> Call {
    Call {
        deployment: SmolStr::from("portal"),
        method: Method::POST,
        path: SmolStr::from("/receipts"),
        body: Bytes::from_static(b"{}"),
        delivery,
    }
}

/// The entry refuses a call with a retry delay: nothing ran, so the client must retry.
#[test]
fn call_that_did_not_run_is_retried() {
    fake::run(async {
        let responses = [refusal("not-run", "overloaded", Some(20)), done("filed")];
        let entry = Fake::start(&responses).await;
        let response = client(&[&entry])
            .call(&receipt(Delivery::Ticket))
            .await
            .unwrap();
        assert_eq!(response.body, "filed");
        let requests = entry.requests();
        assert!(requests[0].contains("x-dogwoodspur-ticket: t-1"));
        assert_eq!(requests.len(), 2);
    });
}

/// The connection breaks before the response, after the service may have run: a retry could run the call
/// twice.
#[test]
fn call_without_a_response_is_not_retried() {
    fake::run(async {
        let entry = Fake::start(&[String::new(), done("twice")]).await;
        let error = client(&[&entry])
            .call(&receipt(Delivery::Ticket))
            .await
            .unwrap_err();
        assert_eq!(error.verdict, Verdict::MayHaveRun);
        assert_eq!(entry.requests().len(), 1);
    });
}

/// The entry reports that the call may have run. It must not be retried, even with a retry delay.
#[test]
fn call_that_may_have_run_is_not_retried() {
    fake::run(async {
        let responses = [
            refusal("may-have-run", "backend-failed", Some(1)),
            done("twice"),
        ];
        let entry = Fake::start(&responses).await;
        let error = client(&[&entry])
            .call(&receipt(Delivery::Ticket))
            .await
            .unwrap_err();
        assert_eq!(error.kind, Kind::Refused(Reason::BackendFailed));
        assert_eq!(entry.requests().len(), 1);
    });
}

/// The connection breaks before the response to an idempotent call: it must be retried.
#[test]
fn idempotent_call_is_retried_after_a_lost_connection() {
    fake::run(async {
        let entry = Fake::start(&[String::new(), done("record")]).await;
        let response = client(&[&entry])
            .call(&receipt(Delivery::Idempotent))
            .await
            .unwrap();
        assert_eq!(response.body, "record");
    });
}

/// A wrong key is refused permanently: retries would only add load.
#[test]
fn refusal_without_retry_after_is_final() {
    fake::run(async {
        let entry = Fake::start(&[refusal("not-run", "unauthorized", None), done("no")]).await;
        let error = client(&[&entry])
            .call(&receipt(Delivery::Idempotent))
            .await
            .unwrap_err();
        assert_eq!(error.kind, Kind::Refused(Reason::Unauthorized));
        assert_eq!(entry.requests().len(), 1);
    });
}

/// The entry that minted a ticket is gone before the call. No byte was sent, so the call must go to
/// another entry with a ticket of that one: the old ticket could only yield "may have run".
#[test]
fn ticket_of_an_unreachable_entry_is_replaced() {
    fake::run(async {
        let minter = Fake::start(&[]).await;
        let other = Fake::start(&[done("filed")]).await;
        minter.set_entries(&[&minter, &other]);
        other.set_entries(&[&other]);
        let client = client(&[&minter]);
        client.refresh("").await.unwrap();
        minter.stop();
        tokio::task::yield_now().await;
        let response = client.call(&receipt(Delivery::Ticket)).await.unwrap();
        assert_eq!(response.body, "filed");
        assert_eq!(other.requests().len(), 1);
    });
}

/// No entry is reachable: the error must say that the call did not run.
#[test]
fn call_without_a_reachable_entry_did_not_run() {
    fake::run(async {
        let unreachable = Fake::start(&[]).await;
        unreachable.stop();
        tokio::task::yield_now().await;
        let error = client(&[&unreachable])
            .call(&receipt(Delivery::Ticket))
            .await
            .unwrap_err();
        assert_eq!(error.verdict, Verdict::NotRun);
        assert_eq!(error.kind, Kind::Unreachable);
    });
}
