//! Streams: each chunk once and in order, through cuts and moves.

use serde_json::json;

use crate::fake;
use crate::fake::Fake;
use crate::fake::chunks;
use crate::fake::client;

const DONE: &str = "data: [DONE]\n\n";
const WHOLE: &str = "c0 c1 c2 c3 c4 c5 ";

fn body() -> serde_json::Value {
    json!({ "model": "thesis", "messages": [{ "role": "user", "content": "why?" }] })
}

/// A reader sees an answer stop in the middle: the entry was killed and its connection cut. The
/// client takes the stream up at the other entry; the reader must see no chunk twice or missing.
#[test]
fn cut_stream_is_taken_up_elsewhere() {
    fake::run(async {
        let first = Fake::start(&[fake::stream("T1", &[chunks(0, 3)])]).await;
        let second = Fake::start(&[fake::stream("T2", &[chunks(3, 6), DONE.into()])]).await;
        first.name(&[&first]);
        let client = client(&[&first]);
        let mut stream = client.stream(body(), "").await.unwrap();
        first.name(&[&second]);
        client.refresh("").await.unwrap();
        assert_eq!(stream.collect_text().await.unwrap(), WHOLE);
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

/// A reader sees words twice: the entry that took a stream up sent chunks that were delivered
/// before the cut. Offsets below the next one wanted must be dropped.
#[test]
fn repeated_chunks_are_dropped() {
    fake::run(async {
        let answers = [
            fake::stream("T1", &[chunks(0, 4)]),
            fake::stream("T1", &[chunks(1, 6), DONE.into()]),
        ];
        let entry = Fake::start(&answers).await;
        let mut stream = client(&[&entry]).stream(body(), "").await.unwrap();
        assert_eq!(stream.collect_text().await.unwrap(), WHOLE);
    });
}

/// A reader sees a hole in an answer: a chunk got lost between two entries. The client must not
/// deliver past the hole, but ask again from there.
#[test]
fn missing_chunk_counts_as_cut() {
    fake::run(async {
        let answers = [
            fake::stream("T1", &[chunks(0, 2), chunks(3, 6), DONE.into()]),
            fake::stream("T1", &[chunks(2, 6), DONE.into()]),
        ];
        let entry = Fake::start(&answers).await;
        let mut stream = client(&[&entry]).stream(body(), "").await.unwrap();
        assert_eq!(stream.collect_text().await.unwrap(), WHOLE);
        assert!(entry.requests()[1].contains("x-dogwoodspur-offset: 2"));
    });
}

/// A planned stop of an entry: it names another one and a token in a `continue` event. The client
/// goes exactly there, at once.
#[test]
fn continue_event_is_followed() {
    fake::run(async {
        let second = Fake::start(&[fake::stream("T9", &[chunks(2, 6), DONE.into()])]).await;
        let passed = format!(
            "event: continue\ndata: {{\"address\":\"{}\",\"token\":\"T9\"}}\n\n",
            second.address
        );
        let first = Fake::start(&[fake::stream("T1", &[chunks(0, 2), passed])]).await;
        let mut stream = client(&[&first]).stream(body(), "").await.unwrap();
        assert_eq!(stream.collect_text().await.unwrap(), WHOLE);
        assert_eq!((stream.redirects(), stream.reconnects()), (1, 0));
        assert!(second.requests()[0].contains("x-dogwoodspur-resume: T9"));
    });
}

/// Two entries that each name the other for ever: the caller must get an error, not a silent loop.
#[test]
fn endless_continue_ends_in_an_error() {
    fake::run(async {
        let entry = Fake::start(&[]).await;
        let passed = format!(
            "event: continue\ndata: {{\"address\":\"{}\",\"token\":\"T1\"}}\n\n",
            entry.address
        );
        let again = fake::stream("T1", &[passed]);
        entry.script.borrow_mut().answers = vec![again; 50].into();
        let mut stream = client(&[&entry]).stream(body(), "").await.unwrap();
        assert!(stream.collect_text().await.is_err());
        assert!(entry.requests().len() < 20);
    });
}

/// The system gives a stream up: its error event is the caller's final answer, with its verdict.
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

/// A stream moved to another engine before its entry was killed: the token of its head finds nothing
/// any more, so the client has to come back with the newer one.
#[test]
fn newer_token_replaces_the_first() {
    fake::run(async {
        let moved = "event: resume\ndata: {\"token\":\"T2\"}\n\nevent: news\ndata: x\n\n";
        let answers = [
            fake::stream("T1", &[chunks(0, 2), moved.into()]),
            fake::stream("T2", &[chunks(2, 6), DONE.into()]),
        ];
        let entry = Fake::start(&answers).await;
        let mut stream = client(&[&entry]).stream(body(), "").await.unwrap();
        assert_eq!(stream.collect_text().await.unwrap(), WHOLE);
        assert!(entry.requests()[1].contains("x-dogwoodspur-resume: T2"));
    });
}
