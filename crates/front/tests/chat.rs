//! Parsing of model calls.

use bytes::Bytes;
use front::chat::Chat;
use serde_json::Value;
use serde_json::json;
use verdict::Reason;
use verdict::Verdict;
use xxhash_rust::xxh3::xxh3_64;

fn parse(body: Value) -> Chat {
    Chat::read(Bytes::from(body.to_string())).expect("a valid body")
}

fn chat_body(content: &str) -> Value {
    json!({
        "model": "thesis",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": 20,
        "temperature": 0.5,
    })
}

/// Engines identify cached prefixes by the hash of all text up to the end of a 256-byte block. The entry
/// must hash the same text, or the engines' cache events never match.
#[test]
fn the_prefix_is_hashed_as_by_engines() {
    let content = "x".repeat(5_000);
    let text = format!("user\n{content}\n");
    assert_eq!(
        parse(chat_body(&content)).prefix,
        xxh3_64(&text.as_bytes()[..4_096])
    );
    let shorter = "y".repeat(600);
    let text = format!("user\n{shorter}\n");
    assert_eq!(
        parse(chat_body(&shorter)).prefix,
        xxh3_64(&text.as_bytes()[..512])
    );
}

/// A request that crashes engines must not get a new fingerprint each time its caller resumes it.
#[test]
fn a_continued_request_has_the_fingerprint_of_the_original() {
    let original = parse(chat_body("draft a dossier"));
    let continued = original.continued_body("so far", 2);
    let parsed = Chat::read(continued).expect("a valid body");
    assert_eq!(parsed.fingerprint, original.fingerprint);
    assert_eq!(parsed.prefix, original.prefix);
    assert_eq!(parsed.text_so_far.as_deref(), Some("so far"));
    assert_eq!(parsed.max_new_tokens, 18);
}

#[test]
fn unknown_fields_are_forwarded() {
    let continued = parse(chat_body("draft")).continued_body("so far", 2);
    let body: Value = serde_json::from_slice(&continued).expect("JSON");
    assert_eq!(body["temperature"], json!(0.5));
    assert_eq!(
        body["messages"][1],
        json!({"role": "assistant", "content": "so far"})
    );
}

/// A continued stream breaks again: the prompt must contain the text so far only once.
#[test]
fn text_so_far_is_replaced_and_not_repeated() {
    let first = parse(chat_body("draft")).continued_body("so", 1);
    let second = Chat::read(first)
        .expect("a valid body")
        .continued_body("so far", 1);
    let body: Value = serde_json::from_slice(&second).expect("JSON");
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
