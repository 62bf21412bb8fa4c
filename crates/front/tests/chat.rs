//! What is read from the body of a model call.

use bytes::Bytes;
use front::chat::Chat;
use serde_json::Value;
use serde_json::json;
use verdict::Reason;
use verdict::Verdict;
use xxhash_rust::xxh3::xxh3_64;

fn read(body: Value) -> Chat {
    Chat::read(Bytes::from(body.to_string())).expect("a sound body")
}

fn asked(content: &str) -> Value {
    json!({
        "model": "thesis",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": 20,
        "temperature": 0.5,
    })
}

/// Engines name cached prefixes by the hash of all text up to the end of a block of 256 bytes; events
/// about them are of no use unless the entry hashes the same text.
#[test]
fn the_prefix_is_hashed_as_engines_do() {
    let content = "x".repeat(5_000);
    let flat = format!("user\n{content}\n");
    assert_eq!(
        read(asked(&content)).prefix,
        xxh3_64(&flat.as_bytes()[..4_096])
    );
    let shorter = "y".repeat(600);
    let flat = format!("user\n{shorter}\n");
    assert_eq!(
        read(asked(&shorter)).prefix,
        xxh3_64(&flat.as_bytes()[..512])
    );
}

/// A killer request would look new each time its caller comes back with more of the answer.
#[test]
fn a_continued_request_has_the_fingerprint_of_the_original() {
    let original = read(asked("draft a dossier"));
    let continued = original.continued_body("so far", 2);
    let again = Chat::read(continued).expect("a sound body");
    assert_eq!(again.fingerprint, original.fingerprint);
    assert_eq!(again.prefix, original.prefix);
    assert_eq!(again.text_so_far.as_deref(), Some("so far"));
    assert_eq!(again.max_new_tokens, 18);
}

#[test]
fn what_is_not_known_is_passed_on() {
    let continued = read(asked("draft")).continued_body("so far", 2);
    let body: Value = serde_json::from_slice(&continued).expect("JSON");
    assert_eq!(body["temperature"], json!(0.5));
    assert_eq!(
        body["messages"][1],
        json!({"role": "assistant", "content": "so far"})
    );
}

/// A stream that was continued once breaks again: the text so far must stand once in the prompt.
#[test]
fn text_so_far_is_replaced_and_not_repeated() {
    let once = read(asked("draft")).continued_body("so", 1);
    let again = Chat::read(once)
        .expect("a sound body")
        .continued_body("so far", 1);
    let body: Value = serde_json::from_slice(&again).expect("JSON");
    assert_eq!(body["messages"].as_array().map(Vec::len), Some(2));
    assert_eq!(body["messages"][1]["content"], json!("so far"));
}

#[test]
fn a_malformed_body_is_refused_without_being_quoted() {
    let secret = "a family's own words";
    for body in [
        json!({"model": "thesis", "messages": []}),
        json!({"model": "thesis", "messages": secret}),
        json!({"messages": [{"role": "user", "content": secret}]}),
        json!({"model": "thesis", "messages": [{"role": "user", "content": secret}], "max_tokens": 0}),
    ] {
        let refusal = Chat::read(Bytes::from(body.to_string())).expect_err("a refusal");
        assert_eq!(
            (refusal.reason, refusal.verdict),
            (Reason::Malformed, Verdict::NotRun)
        );
        assert!(!refusal.message.contains(secret), "{}", refusal.message);
    }
}
