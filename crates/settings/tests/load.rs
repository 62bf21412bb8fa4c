//! Loading valid and invalid settings files.

use std::fs;
use std::path::Path;

use settings::Faults;
use settings::load::parse;

/// The options without a default.
const MINIMAL: &str = r#"{
  // an entry of zone a
  "identity": {"name": "entry-1", "zone": "a"},
  "operators": {"listen": "127.0.0.1:0", "key": "0123456789abcdef"},
  "peers": {"key": "fedcba9876543210"},
  "platform": {"table_service": "http://127.0.0.1:7000", "cloud": "http://127.0.0.1:7001"},
}"#;

/// Formats each fault as one line.
fn lines(faults: &Faults) -> Vec<String> {
    faults.0.iter().map(|fault| fault.to_string()).collect()
}

#[test]
fn a_file_with_comments_and_the_required_options_is_valid() {
    let loaded = parse("entry.jsonc", MINIMAL).unwrap();
    assert_eq!(loaded.settings.identity.zone, "a");
    assert_eq!(loaded.settings.operators.listen.port(), 0);
    assert_eq!(loaded.settings.operators.key.reveal(), "0123456789abcdef");
    assert_eq!(loaded.settings.callers.max_connections, 10_000);
    assert!(loaded.warnings.0.is_empty());
    assert_eq!(loaded.lines.get("platform.cloud"), Some(&6));
}

#[test]
fn all_faults_are_named_at_once_with_their_lines() {
    let text = r#"{
  "identity": {"name": "Entry 1", "zone": "a"},
  "callers": {
    "lisen": "127.0.0.1:8000",
    "max_connections": "many",
    "advertise": "0.0.0.0:80"
  },
  "operators": {"key": "short"},
  "leases": {"term_ms": 3000, "renew_interval_ms": 3000},
  "platform": {"table_service": "http://127.0.0.1:7000", "cloud": 7},
  "logs": {"level": "loud"},
  "leasses": 1
}"#;
    let faults = parse("entry.jsonc", text).unwrap_err();
    assert_eq!(
        lines(&faults),
        [
            "entry.jsonc:1: peers.key: it must be set",
            "entry.jsonc:2: identity.name: expected a name of 1 to 63 of a-z, 0-9 and -, found another text",
            "entry.jsonc:4: callers.lisen: no such option; did you mean 'listen'?",
            "entry.jsonc:5: callers.max_connections: expected a whole number from 1 to 1000000, found another text",
            "entry.jsonc:6: callers.advertise: expected an address that others can connect to",
            "entry.jsonc:8: operators.key: expected 16 to 1024 characters, found another text",
            "entry.jsonc:9: leases.renew_interval_ms: expected less than term_ms - margin_ms (2000), found 3000",
            "entry.jsonc:10: platform.cloud: expected an address such as \"http://127.0.0.1:7000\", found 7",
            "entry.jsonc:11: logs.level: expected one of error, warn, info, debug, trace, found another text",
            "entry.jsonc:12: leasses: no such option; did you mean 'leases'?",
        ]
    );
}

#[test]
fn each_item_of_a_list_is_checked() {
    let seeds = "\"peers\": {\"seeds\": [\n\"127.0.0.1:1\",\n\"nowhere\"],";
    let text = MINIMAL.replace("\"peers\": {", seeds);
    let faults = parse("entry.jsonc", &text).unwrap_err();
    let expected = "entry.jsonc:7: peers.seeds[1]: expected an address such as";
    assert!(lines(&faults)[0].starts_with(expected), "{faults}");
    let loaded = parse("entry.jsonc", &text.replace("nowhere", "127.0.0.1:2")).unwrap();
    assert_eq!(loaded.settings.peers.seeds.len(), 2);
}

#[test]
fn an_unknown_name_alone_is_a_warning() {
    let text = MINIMAL.replace("\"identity\"", "\"later\": {}, \"identity\"");
    let loaded = parse("entry.jsonc", &text).unwrap();
    assert_eq!(
        lines(&loaded.warnings),
        ["entry.jsonc:3: later: no such option"]
    );
}

#[test]
fn an_unknown_name_is_a_fault_for_a_strict_check() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("strict.jsonc");
    fs::write(&path, MINIMAL).unwrap();
    assert!(settings::read_strict(&path).is_ok());
    let text = MINIMAL.replace("\"identity\"", "\"identiti\": {}, \"identity\"");
    fs::write(&path, text).unwrap();
    let faults = settings::read_strict(&path).unwrap_err();
    assert!(lines(&faults)[0].ends_with("did you mean 'identity'?"));
}

#[test]
fn broken_syntax_names_its_line() {
    let faults = parse("entry.jsonc", "{\n  \"identity\": {\n").unwrap_err();
    assert_eq!(faults.0.len(), 1);
    assert!(lines(&faults)[0].starts_with("entry.jsonc:2: Unterminated object"));
}

#[test]
fn a_missing_file_is_a_fault() {
    let faults = settings::load("no/such/file.jsonc").unwrap_err();
    assert!(lines(&faults)[0].starts_with("no/such/file.jsonc:1: can't be read"));
}

#[test]
fn keys_are_never_shown() {
    let settings = parse("entry.jsonc", MINIMAL).unwrap().settings;
    let shown = format!("{settings:?}") + &serde_json::to_string(&settings).unwrap();
    assert!(!shown.contains("0123456789abcdef"));
    assert!(!shown.contains("fedcba9876543210"));
}
