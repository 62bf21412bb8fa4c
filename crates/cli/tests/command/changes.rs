//! Changes of deployments and accounts, and their failures.

use std::path::PathBuf;

use cli::exit::Exit;
use config::snapshot::hash_key;
use ops::Fault;
use ops::Reply;
use ops::Request;
use ops::reply::Changed;
use serde_json::Value;

use crate::common::Fake;
use crate::common::run_with;

/// A definition as written by an operator.
const THESIS: &str = r#"{
  // what callers name as their model
  "name": "thesis",
  "kind": {"type": "model", "model": "base-7b", "version": "v1"},
  "pool": "thesis",
  "grants": [
    {"account": "branches", "first_token_ms": 480, "token_gap_ms": 61, "share_per_mille": 950},
  ],
  "checks_fencing": true,
}"#;

/// Writes a file for one test and returns its path.
fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a writable directory");
    path.display().to_string()
}

#[tokio::test]
async fn a_deployment_is_created_shown_changed_listed_and_removed() {
    let fake = Fake::start().await;
    let thesis = write_file("first.jsonc", THESIS);

    let output = fake.run(&["create", &thesis]).await;
    assert_eq!((output.exit, output.stderr.as_str()), (Exit::Done, ""));
    assert_eq!(
        output.stdout,
        "accepted: version 1 is in force everywhere\n"
    );

    let output = fake.run(&["show", "thesis"]).await;
    assert!(
        output.stdout.contains("serves      base-7b v1\n"),
        "{}",
        output.stdout
    );
    assert!(
        output
            .stdout
            .contains("branches  480 ms       61 ms      950 in 1000\n"),
        "{}",
        output.stdout
    );

    let shown = fake.run(&["show", "thesis", "--json"]).await.stdout;
    let changed = write_file("again.json", &shown.replace("\"v1\"", "\"v2\""));
    let output = fake.run(&["change", &changed]).await;
    assert_eq!(
        output.stdout,
        "accepted: version 2 is in force everywhere\n"
    );

    let output = fake.run(&["list"]).await;
    assert!(
        output
            .stdout
            .contains("thesis      base-7b v2  thesis  1\n"),
        "{}",
        output.stdout
    );

    let output = fake.run(&["remove", "thesis"]).await;
    assert_eq!(output.exit, Exit::Done);
    let output = fake.run(&["show", "thesis"]).await;
    assert_eq!(
        (output.exit, output.stderr.as_str()),
        (Exit::NotFound, "dogwoodspur: no deployment thesis\n")
    );
}

/// Two operators base a change on version 1. The second change must not overwrite the first: it is
/// rejected with the newest version and the difference.
#[tokio::test]
async fn a_change_on_an_old_version_is_a_conflict_with_the_differences() {
    let fake = Fake::start().await;
    let thesis = write_file("race.jsonc", THESIS);
    fake.run(&["create", &thesis]).await;
    fake.run(&["change", &thesis, "--expect", "1"]).await;
    let output = fake.run(&["change", &thesis, "--expect", "1"]).await;
    assert_eq!(output.exit, Exit::Conflict);
    assert_eq!(output.exit.code(), 4);
    assert!(
        output.stdout.contains("version 2 is the newest"),
        "{}",
        output.stdout
    );
    assert!(
        output
            .stdout
            .contains("deployment thesis pool: \"thesis\" -> \"theses\""),
        "{}",
        output.stdout
    );
}

#[tokio::test]
async fn a_change_without_a_base_version_is_not_sent() {
    let fake = Fake::answering(|_| panic!("the change was sent")).await;
    let output = fake
        .run(&["change", &write_file("no-version.jsonc", THESIS)])
        .await;
    assert_eq!(output.exit, Exit::Usage);
}

#[tokio::test]
async fn an_account_s_key_is_printed_once_and_only_its_hash_is_sent() {
    let fake = Fake::start().await;
    let output = fake
        .run(&["account", "add", "branches", "--weight", "3", "--json"])
        .await;
    let answer: Value = serde_json::from_str(&output.stdout).unwrap();
    let key = answer["key"].as_str().unwrap();
    assert_eq!(answer["outcome"], "accepted");
    assert_eq!(key.len(), 64);

    let shown = fake
        .run(&["account", "show", "branches", "--json"])
        .await
        .stdout;
    assert!(!shown.contains(key));
    let account: Value = serde_json::from_str(&shown).unwrap();
    assert_eq!(account["key_hashes"][0], hash_key(key).as_str());
    assert_eq!(account["weight"], 3);

    let output = fake.run(&["account", "add", "branches"]).await;
    assert_eq!(output.exit, Exit::Refused);
    fake.run(&["account", "rekey", "branches"]).await;
    fake.run(&["account", "change", "branches", "--priority", "2"])
        .await;
    let shown = fake.run(&["account", "show", "branches"]).await.stdout;
    assert!(
        shown.contains("branches  3       2         no limit  no limit    2\n"),
        "{shown}"
    );
}

#[tokio::test]
async fn all_faults_of_a_definition_are_reported_with_their_lines() {
    let text = r#"{
  "name": "Thesis",
  "kind": {"type": "modell"},
  "pool": 7,
  "grant": [],
  "grants": [
    {"account": "branches", "first_token_ms": "fast", "token_gap_ms": 61, "share_per_mille": 950}
  ]
}"#;
    let path = write_file("faulty.jsonc", text);
    let output = run_with(&["create", &path], None, "").await;
    assert_eq!(output.exit, Exit::Usage);
    let expected = [
        "3: kind: expected an object whose \"type\" is model or service, found an object",
        "4: pool: expected a text, found 7",
        "5: grant: no such option; did you mean 'grants'?",
        "7: grants[0].first_token_ms: expected a whole number, found another text",
    ];
    let lines: Vec<&str> = output.stderr.lines().collect();
    assert_eq!(lines.len(), expected.len(), "{}", output.stderr);
    for (line, expected) in lines.iter().zip(expected) {
        assert!(line.ends_with(&format!("{path}:{expected}")), "{line}");
    }
}

#[tokio::test]
async fn an_invalid_definition_is_reported_with_its_line() {
    let text = THESIS.replace("950", "1000").replace("\"v1\"", "\"\"");
    let path = write_file("unsound.jsonc", &text);
    let output = run_with(&["create", &path], None, "").await;
    assert_eq!(output.exit, Exit::Usage);
    let expected = format!(
        "dogwoodspur: {path}:4: kind.version: expected a name, found none\n\
         {path}:7: grants[0].share_per_mille: expected 1 to 999, found 1000\n"
    );
    assert_eq!(output.stderr, expected);
}

/// The entry dies between receiving a change and answering it. The command must resend it under the same
/// id and get the outcome of the first send, so that the change takes effect once.
#[tokio::test]
async fn a_change_with_an_unknown_outcome_is_sent_again_under_the_same_name() {
    let mut change_ids = Vec::new();
    let fake = Fake::answering(move |request| match request {
        Request::Change(change) => {
            change_ids.push(change.id);
            match change_ids.as_slice() {
                [_] => Err(Fault::OutcomeUnknown),
                [first, second] if first == second => Ok(Reply::Changed(Changed::Committed {
                    version: 8,
                    waiting_for: vec!["entry-2".into(), "entry-3".into()],
                })),
                _ => panic!("another change id or too many sends"),
            }
        }
        _ => panic!("not a change"),
    })
    .await;
    let output = fake.run(&["remove", "thesis", "--expect", "7"]).await;
    assert_eq!(output.exit, Exit::Committed);
    assert_eq!(
        output.stdout,
        "committed: version 8, waiting for entry-2, entry-3\n"
    );
}

#[tokio::test]
async fn failures_have_their_own_exit_codes() {
    let fake = Fake::start().await;
    let thesis = write_file("codes.jsonc", THESIS);
    fake.run(&["create", &thesis]).await;
    assert_eq!(fake.run(&["create", &thesis]).await.exit, Exit::Refused);
    let output = fake
        .run_with_key(&["list"], "another key of some length")
        .await;
    assert_eq!(output.exit, Exit::Unauthenticated);
    let unreachable = Some("http://127.0.0.1:1".to_owned());
    assert_eq!(
        run_with(&["list"], unreachable, "k").await.exit,
        Exit::Unavailable
    );
    assert_eq!(run_with(&["list"], None, "k").await.exit, Exit::Usage);
    assert_eq!(fake.run(&["lst"]).await.exit, Exit::Usage);
    assert_eq!(fake.run(&["drain"]).await.exit, Exit::Usage);
}

#[tokio::test]
async fn every_command_has_help_with_an_example() {
    let commands = [
        "create", "change", "show", "list", "remove", "account", "history", "status", "drain",
        "report", "explain",
    ];
    for command in commands {
        let output = run_with(&[command, "--help"], None, "").await;
        assert_eq!(output.exit, Exit::Done, "{command}");
        let example = format!("Examples:\n  dogwoodspur {command}");
        assert!(output.stdout.contains(&example), "{}", output.stdout);
    }
    let output = run_with(&["--help"], None, "").await;
    assert!(output.stdout.contains("Error codes:"), "{}", output.stdout);
}
