//! Calls of plain services: a non-idempotent one is repeated only if it did not run.

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

/// A family files once and is told to come back: nothing ran, so the client comes back itself.
#[test]
fn not_run_is_repeated() {
    fake::run(async {
        let answers = [refusal("not-run", "overloaded", Some(20)), done("filed")];
        let entry = Fake::start(&answers).await;
        let answer = client(&[&entry])
            .call(&receipt(Delivery::Ticket))
            .await
            .unwrap();
        assert_eq!(answer.body, "filed");
        let requests = entry.requests();
        assert!(requests[0].contains("x-dogwoodspur-ticket: t-1"));
        assert_eq!(requests.len(), 2);
    });
}

/// A branch is billed twice: the first answer was lost after the receipt was written and the client
/// sent it again. What may have run must never be repeated.
#[test]
fn lost_answer_is_not_repeated() {
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

/// The same with the system's own word that it may have run, even with a time to come back.
#[test]
fn may_have_run_is_not_repeated() {
    fake::run(async {
        let answers = [
            refusal("may-have-run", "backend-failed", Some(1)),
            done("twice"),
        ];
        let entry = Fake::start(&answers).await;
        let error = client(&[&entry])
            .call(&receipt(Delivery::Ticket))
            .await
            .unwrap_err();
        assert_eq!(error.kind, Kind::Refused(Reason::BackendFailed));
        assert_eq!(entry.requests().len(), 1);
    });
}

/// A catalogue record may be read twice: a lost answer is simply asked for again.
#[test]
fn idempotent_call_is_repeated_after_a_cut() {
    fake::run(async {
        let entry = Fake::start(&[String::new(), done("record")]).await;
        let answer = client(&[&entry])
            .call(&receipt(Delivery::Idempotent))
            .await
            .unwrap();
        assert_eq!(answer.body, "record");
    });
}

/// A wrong key is refused for good: coming back would only add load.
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

/// The entry that minted a ticket is gone before the call: no byte was sent, so the call goes to
/// another entry, with a ticket of that one. The old ticket could only get "may have run".
#[test]
fn ticket_of_a_lost_entry_is_replaced() {
    fake::run(async {
        let lost = Fake::start(&[]).await;
        let other = Fake::start(&[done("filed")]).await;
        lost.name(&[&lost, &other]);
        other.name(&[&other]);
        let client = client(&[&lost]);
        client.refresh("").await.unwrap();
        lost.kill();
        tokio::task::yield_now().await;
        let answer = client.call(&receipt(Delivery::Ticket)).await.unwrap();
        assert_eq!(answer.body, "filed");
        assert_eq!(other.requests().len(), 1);
    });
}

/// No entry is left: the caller is told that nothing ran.
#[test]
fn unreachable_is_not_run() {
    fake::run(async {
        let gone = Fake::start(&[]).await;
        gone.kill();
        tokio::task::yield_now().await;
        let error = client(&[&gone])
            .call(&receipt(Delivery::Ticket))
            .await
            .unwrap_err();
        assert_eq!(error.verdict, Verdict::NotRun);
        assert_eq!(error.kind, Kind::Unreachable);
    });
}
