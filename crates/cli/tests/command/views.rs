//! Output of status, history, drain, explain and report.

use std::path::PathBuf;

use cli::exit::Exit;
use ops::Reply;
use ops::Request;
use ops::reply::BackendState;
use ops::reply::BackendStatus;
use ops::reply::EntryStatus;
use ops::reply::Explanation;
use ops::reply::LeaseState;
use ops::reply::PastChange;
use ops::reply::Status;
use ops::reply::Step;
use ops::request::Target;
use serde_json::Value;
use verdict::Verdict;

use crate::common::Fake;

#[tokio::test]
async fn status_shows_each_entry_s_version_and_lease() {
    let fake = Fake::answering(|request| {
        assert_eq!(request, Request::GetStatus);
        Ok(Reply::Status(Status {
            entry: "entry-1".into(),
            version: 8,
            store_available: false,
            entries: vec![EntryStatus {
                name: "entry-2".into(),
                zone: "b".into(),
                address: "127.0.0.1:8000".into(),
                applied_version: 7,
                lease: LeaseState::Overdue,
                release: "0.1.0".into(),
            }],
            backends: vec![BackendStatus {
                incarnation: "i-1.1".into(),
                pool: "thesis".into(),
                zone: "a".into(),
                state: BackendState::Leaving,
                running: 3,
            }],
        }))
    })
    .await;
    let out = fake.run(&["status"]).await.stdout;
    assert!(
        out.starts_with("asked entry-1: version 8, store down\n"),
        "{out}"
    );
    let entry = "entry-2  b     127.0.0.1:8000  7        overdue  0.1.0\n";
    assert!(out.contains(entry), "{out}");
    assert!(
        out.contains("i-1.1           thesis  a     leaving  3\n"),
        "{out}"
    );
    let json: Value = serde_json::from_str(&fake.run(&["status", "--json"]).await.stdout).unwrap();
    assert_eq!(json["entries"][0]["lease"], "overdue");
}

#[tokio::test]
async fn history_passes_its_options_on_and_shows_the_newest_first() {
    let fake = Fake::answering(|request| {
        let expected = Request::GetHistory {
            before: Some(9),
            limit: 2,
        };
        assert_eq!(request, expected);
        let change = |version| PastChange {
            version,
            change_id: format!("c-{version}").into(),
            summary: "put account branches".to_owned(),
            written_unix_ms: 1_800_000_000_000,
        };
        Ok(Reply::History(vec![change(8), change(7)]))
    })
    .await;
    let out = fake
        .run(&["history", "--before", "9", "--limit", "2"])
        .await
        .stdout;
    let first = out.lines().nth(1).unwrap();
    assert_eq!(
        first,
        "8        1800000000000      put account branches  c-8"
    );
}

#[tokio::test]
async fn drain_sends_its_target_and_shows_the_requests_left() {
    let fake = Fake::answering(|request| {
        assert_eq!(request, Request::Drain(Target::Entry("entry-3".into())));
        Ok(Reply::Drained {
            already_leaving: false,
            running: 12,
        })
    })
    .await;
    let output = fake.run(&["drain", "--entry-name", "entry-3"]).await;
    assert_eq!(
        (output.exit, output.stdout.as_str()),
        (Exit::Done, "leaving, 12 requests in progress\n")
    );
}

#[tokio::test]
async fn explain_shows_the_steps_of_a_request() {
    let fake = Fake::answering(|request| {
        let Request::Explain { request } = request else {
            panic!("not an explain request");
        };
        let step = |at_ms, event: &str, detail: &str| Step {
            at_ms,
            entry: "entry-1".into(),
            event: event.into(),
            detail: detail.to_owned(),
        };
        Ok(Reply::Explained(Explanation {
            request,
            account: "branches".into(),
            deployment: "thesis".into(),
            steps: vec![
                step(0, "queued", "ahead=3"),
                step(40, "started", "replica=i-1.1"),
                step(900, "moved", "from=i-1.1 to=i-2.1 how=kv"),
            ],
            verdict: Some(Verdict::Done),
        }))
    })
    .await;
    let out = fake.run(&["explain", "entry-1.42"]).await.stdout;
    let head = "request entry-1.42 of account branches to deployment thesis: done\n";
    assert!(out.starts_with(head), "{out}");
    assert!(
        out.contains("900 ms  entry-1  moved    from=i-1.1 to=i-2.1 how=kv\n"),
        "{out}"
    );
}

#[tokio::test]
async fn a_report_is_written_as_text_json_and_html() {
    let fake = Fake::answering(|_| {
        Ok(Reply::Report(burn::Report {
            rows: vec![burn::report::Row {
                deployment: "thesis".into(),
                account: "branches".into(),
                requests: 10,
                within: 9,
                burn_short: 8.0,
                burn_long: 7.0,
                ..Default::default()
            }],
            period_ms: 86_400_000,
            ..Default::default()
        }))
    })
    .await;
    let out = fake.run(&["report"]).await.stdout;
    assert!(out.contains("thesis / branches  PAGE\n"), "{out}");
    let json = fake.run(&["report", "--json"]).await.stdout;
    let json: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["rows"][0]["within"], 9);
    let page = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("burn.html");
    let path = page.display().to_string();
    let output = fake.run(&["report", "--html", &path]).await;
    assert_eq!(output.exit, Exit::Done);
    let html = std::fs::read_to_string(page).unwrap();
    assert!(html.contains("thesis / branches &mdash; page"));
}
