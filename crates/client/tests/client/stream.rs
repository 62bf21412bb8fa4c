//! Streams: each chunk is delivered once and in order, across lost connections and redirects.

use serde_json::json;

use crate::fake;
use crate::fake::Fake;
use crate::fake::chunks;
use crate::fake::client;

const DONE: &str = "data: [DONE]\n\n";
const COMPLETE_TEXT: &str = "c0 c1 c2 c3 c4 c5 ";

fn body() -> serde_json::Value {
    json!({ "model": "thesis", "messages": [{ "role": "user", "content": "why?" }] })
}

/// An entry is killed in the middle of a stream. The client must resume at the other entry without
/// duplicate or missing chunks.
#[test]
fn interrupted_stream_resumes_at_another_entry() {
    fake::run(async {
        let first = Fake::start(&[fake::stream("T1", &[chunks(0, 3)])]).await;
        let second = Fake::start(&[fake::stream("T2", &[chunks(3, 6), DONE.into()])]).await;
        first.set_entries(&[&first]);
        let client = client(&[&first]);
        let mut stream = client.stream(body(), "").await.unwrap();
        first.set_entries(&[&second]);
        client.refresh("").await.unwrap();
        assert_eq!(stream.collect_text().await.unwrap(), COMPLETE_TEXT);
        let resumed = &second.requests()[0];
        assert!(resumed.contains("x-dogwoodspur-resume: T1"), "{resumed}");
        assert!(resumed.contains("x-dogwoodspur-offset: 3"), "{resumed}");
        assert!(resumed.contains("\"content\":\"c0 c1 c2 \""), "{resumed}");
        assert!(
            resumed.contains("\"continue_final_message\":true"),
            "{resumed}"
        );
    });
}

/// The entry that resumes a stream resends chunks that were already delivered: they must be dropped.
#[test]
fn duplicate_chunks_are_dropped() {
    fake::run(async {
        let responses = [
            fake::stream("T1", &[chunks(0, 4)]),
            fake::stream("T1", &[chunks(1, 6), DONE.into()]),
        ];
        let entry = Fake::start(&responses).await;
        let mut stream = client(&[&entry]).stream(body(), "").await.unwrap();
        assert_eq!(stream.collect_text().await.unwrap(), COMPLETE_TEXT);
    });
}

/// A chunk is lost between two entries. The client must not deliver later chunks, but resume at the gap.
#[test]
fn missing_chunk_counts_as_a_lost_connection() {
    fake::run(async {
        let responses = [
            fake::stream("T1", &[chunks(0, 2), chunks(3, 6), DONE.into()]),
            fake::stream("T1", &[chunks(2, 6), DONE.into()]),
        ];
        let entry = Fake::start(&responses).await;
        let mut stream = client(&[&entry]).stream(body(), "").await.unwrap();
        assert_eq!(stream.collect_text().await.unwrap(), COMPLETE_TEXT);
        assert!(entry.requests()[1].contains("x-dogwoodspur-offset: 2"));
    });
}

/// An entry stops gracefully and sends a `continue` event with another entry and a token: the client must
/// reconnect exactly there, without delay.
#[test]
fn continue_event_is_followed() {
    fake::run(async {
        let second = Fake::start(&[fake::stream("T9", &[chunks(2, 6), DONE.into()])]).await;
        let redirect = format!(
            "event: continue\ndata: {{\"address\":\"{}\",\"token\":\"T9\"}}\n\n",
            second.address
        );
        let first = Fake::start(&[fake::stream("T1", &[chunks(0, 2), redirect])]).await;
        let mut stream = client(&[&first]).stream(body(), "").await.unwrap();
        assert_eq!(stream.collect_text().await.unwrap(), COMPLETE_TEXT);
        assert_eq!((stream.redirects(), stream.reconnects()), (1, 0));
        assert!(second.requests()[0].contains("x-dogwoodspur-resume: T9"));
    });
}

/// Two entries redirect a stream to each other forever: the caller must get an error instead of a loop.
#[test]
fn endless_redirects_end_in_an_error() {
    fake::run(async {
        let entry = Fake::start(&[]).await;
        let redirect = format!(
            "event: continue\ndata: {{\"address\":\"{}\",\"token\":\"T1\"}}\n\n",
            entry.address
        );
        let response = fake::stream("T1", &[redirect]);
        entry.script.borrow_mut().responses = vec![response; 50].into();
        let mut stream = client(&[&entry]).stream(body(), "").await.unwrap();
        assert!(stream.collect_text().await.is_err());
        assert!(entry.requests().len() < 20);
    });
}

/// The system gives up on a stream: its error event is final and carries the verdict.
#[test]
fn error_event_is_final() {
    fake::run(async {
        let failed = "event: error\ndata: {\"error\":{\"reason\":\"quarantined\",\
                      \"verdict\":\"may-have-run\",\"message\":\"no\"}}\n\n";
        let entry = Fake::start(&[fake::stream("T1", &[chunks(0, 1), failed.into()])]).await;
        let mut stream = client(&[&entry]).stream(body(), "").await.unwrap();
        assert_eq!(stream.next().await.unwrap().unwrap().text, "c0 ");
        let error = stream.next().await.unwrap().unwrap_err();
        assert_eq!(error.verdict, verdict::Verdict::MayHaveRun);
        assert!(stream.next().await.is_none());
        assert_eq!(entry.requests().len(), 1);
    });
}

/// A stream moves to another engine before its entry is killed. The token from the response head is
/// stale by then, so the client must resume with the newer one.
#[test]
fn newer_token_replaces_the_first() {
    fake::run(async {
        let moved = "event: resume\ndata: {\"token\":\"T2\"}\n\nevent: news\ndata: x\n\n";
        let responses = [
            fake::stream("T1", &[chunks(0, 2), moved.into()]),
            fake::stream("T2", &[chunks(2, 6), DONE.into()]),
        ];
        let entry = Fake::start(&responses).await;
        let mut stream = client(&[&entry]).stream(body(), "").await.unwrap();
        assert_eq!(stream.collect_text().await.unwrap(), COMPLETE_TEXT);
        assert!(entry.requests()[1].contains("x-dogwoodspur-resume: T2"));
    });
}
