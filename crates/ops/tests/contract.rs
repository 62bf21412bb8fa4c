//! Compatibility of messages and fields with release 0.1.

#[path = "support/fields.rs"]
mod fields;
#[path = "support/messages.rs"]
mod messages;

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use ops::Request;
use ops::convert::encode_request;
use ops::request::Edit;
use ops::wire;
use prost::Message;

/// Returns a path within the crate.
fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

#[test]
fn generated_code_matches_the_schema() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::create_dir_all(&directory).unwrap();
    let descriptors = protox::compile(["dogwoodspur.proto"], [path("proto")]).unwrap();
    tonic_prost_build::configure()
        .emit_rerun_if_changed(false)
        .out_dir(&directory)
        .compile_fds(descriptors)
        .unwrap();
    let name = "dogwoodspur.v1.rs";
    let generated = fs::read_to_string(directory.join(name)).unwrap();
    let committed = fs::read_to_string(path("src/generated").join(name)).unwrap();
    assert!(
        generated == committed,
        "run: cargo run -p ops --example regenerate"
    );
}

/// A program built against release 0.1 would misread replies without an error if an upgrade renumbered
/// or retyped a field.
#[test]
fn no_field_of_a_release_is_renumbered_retyped_or_removed() {
    let current = fields::all();
    let released = fs::read_to_string(path("tests/golden/fields-0.1.txt")).unwrap();
    for field in released.lines() {
        assert!(current.contains(field), "{field}");
    }
}

#[test]
fn messages_have_the_same_bytes_as_in_the_release() {
    for (name, bytes) in messages::samples() {
        let golden = fs::read(path("tests/golden").join(format!("{name}.bin"))).unwrap();
        assert_eq!(bytes, golden, "{name}");
    }
}

/// Two versions run side by side during an upgrade. A newer client may set fields that this version
/// doesn't know, at the top level and nested: the call must succeed and the known fields must be kept.
#[test]
fn a_message_with_unknown_fields_is_decoded() {
    let bytes = messages::with_unknown_fields();
    let golden = fs::read(path("tests/golden/with_unknown_fields.bin")).unwrap();
    assert_eq!(bytes, golden);
    let decoded = wire::CreateDeploymentRequest::decode(golden.as_slice()).unwrap();
    assert_eq!(decoded, messages::create());
}

#[test]
fn a_change_survives_an_encoding_round_trip() {
    let message = messages::replace();
    let Request::Change(change) = Request::try_from(message.clone()).unwrap() else {
        panic!("not a change");
    };
    let Edit::ChangeDeployment(deployment) = change.edit.clone() else {
        panic!("not a replacement");
    };
    let encoded = encode_request::replace(encode_request::change(&change), deployment);
    assert_eq!(encoded, message);
}
