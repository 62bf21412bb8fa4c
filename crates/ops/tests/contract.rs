//! The contract keeps its rules: today's messages and fields are those of release 0.1.

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

/// A path within the crate.
fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

#[test]
fn generated_code_is_that_of_the_schema() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::create_dir_all(&directory).unwrap();
    let set = protox::compile(["dogwoodspur.proto"], [path("proto")]).unwrap();
    tonic_prost_build::configure()
        .emit_rerun_if_changed(false)
        .out_dir(&directory)
        .compile_fds(set)
        .unwrap();
    let name = "dogwoodspur.v1.rs";
    let made = fs::read_to_string(directory.join(name)).unwrap();
    let committed = fs::read_to_string(path("src/generated").join(name)).unwrap();
    assert!(
        made == committed,
        "run: cargo run -p ops --example regenerate"
    );
}

/// An integrator's program was built against release 0.1. An upgrade that renumbers or retypes a
/// field makes it misread answers without an error.
#[test]
fn no_field_of_a_release_is_renumbered_retyped_or_removed() {
    let today = fields::all();
    let released = fs::read_to_string(path("tests/golden/fields-0.1.txt")).unwrap();
    for field in released.lines() {
        assert!(today.contains(field), "{field}");
    }
}

#[test]
fn messages_of_the_release_have_the_same_bytes_today() {
    for (name, bytes) in messages::samples() {
        let golden = fs::read(path("tests/golden").join(format!("{name}.bin"))).unwrap();
        assert_eq!(bytes, golden, "{name}");
    }
}

/// Two versions run side by side during an upgrade. An operator's newer program sets a field that
/// this version doesn't know, at the top and inside; the call must not fail and known fields hold.
#[test]
fn a_message_with_unknown_fields_is_understood() {
    let bytes = messages::with_unknown_fields();
    let golden = fs::read(path("tests/golden/with_unknown_fields.bin")).unwrap();
    assert_eq!(bytes, golden);
    let read = wire::CreateDeploymentRequest::decode(golden.as_slice()).unwrap();
    assert_eq!(read, messages::create());
}

#[test]
fn a_change_means_the_same_after_a_way_through_the_wire() {
    let message = messages::replace();
    let Request::Change(change) = Request::try_from(message.clone()).unwrap() else {
        panic!("not a change");
    };
    let Edit::ChangeDeployment(deployment) = change.edit.clone() else {
        panic!("not a replacement");
    };
    let again = encode_request::replace(encode_request::change(&change), deployment);
    assert_eq!(again, message);
}
