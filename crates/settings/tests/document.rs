//! Output generated from the structs: page, schema, effective settings and explanations.

use std::fs;
use std::path::Path;

use settings::document;
use settings::explain::explain;
use settings::load::parse;
use settings::print::effective;

const SETTINGS: &str = r#"{
  "identity": {"name": "entry-1", "zone": "a"},
  "operators": {"key": "0123456789abcdef"},
  "peers": {
    "key": "fedcba9876543210",
    "fan_out": 5
  },
  "platform": {"table_service": "http://127.0.0.1:7000", "cloud": "http://127.0.0.1:7001"}
}"#;

/// Reads a committed file of `docs`.
fn committed(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    fs::read_to_string(path).expect("a committed page")
}

#[test]
fn the_committed_page_and_schema_are_up_to_date() {
    let hint = "run: cargo run -p settings --example document";
    assert_eq!(committed("SETTINGS.md"), document::page(), "{hint}");
    assert_eq!(
        committed("settings.schema.json"),
        document::schema_file(),
        "{hint}"
    );
}

#[test]
fn every_option_has_a_description_and_accepted_values() {
    let schema = settings::schema::schema();
    for option in settings::schema::options(&schema) {
        let part = settings::schema::option(&schema, &option).unwrap();
        assert!(!settings::schema::description(part).is_empty(), "{option}");
        assert!(!settings::expect::accepted(part).is_empty(), "{option}");
    }
}

#[test]
fn printed_settings_can_be_loaded_again() {
    let loaded = parse("entry.jsonc", SETTINGS).unwrap();
    let text = effective(&loaded);
    assert!(!text.contains("0123456789abcdef") && !text.contains("fedcba9876543210"));
    assert!(text.contains("(line 6)\n    \"fan_out\": 5,"), "{text}");
    assert!(
        text.contains("(default)\n    \"digest_interval_ms\": 500,"),
        "{text}"
    );
    let with_keys = text.replace("(hidden)", "0123456789abcdef");
    let again = parse("again.jsonc", &with_keys).unwrap();
    assert_eq!(again.settings.platform, loaded.settings.platform);
    assert!(again.warnings.0.is_empty());
}

#[test]
fn a_setting_is_explained_with_its_value_and_origin() {
    let loaded = parse("entry.jsonc", SETTINGS).unwrap();
    let text = explain("peers.fan_out", Some(&loaded)).unwrap();
    assert_eq!(
        text,
        "peers.fan_out\n  Number of other entries to which each digest is sent.\n  \
         takes:   a whole number from 1 to 64\n  default: `3`\n  is:      5 (line 6)\n"
    );
    assert!(
        explain("leases", None)
            .unwrap()
            .contains("leases.margin_ms")
    );
    assert_eq!(
        explain("peers.fanout", None).unwrap_err(),
        "no setting 'peers.fanout'; did you mean 'peers.fan_out'?"
    );
}
