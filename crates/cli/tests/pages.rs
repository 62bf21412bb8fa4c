//! The operators' pages name only exit codes and tests that exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use cli::exit::Exit;

/// Returns the root of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Reads a page of the documentation.
fn page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).expect("a page")
}

/// Returns the names of all test functions in the workspace.
fn test_names() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    let mut directories = vec![root().join("crates")];
    while let Some(directory) = directories.pop() {
        for entry in fs::read_dir(directory).expect("a directory") {
            let path = entry.expect("an entry").path();
            if path.is_dir() && !path.ends_with("src") {
                directories.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                collect_function_names(
                    &fs::read_to_string(path).expect("a source file"),
                    &mut names,
                );
            }
        }
    }
    names
}

/// Adds the names of the functions in a source file.
fn collect_function_names(text: &str, names: &mut BTreeSet<String>) {
    for line in text.lines() {
        let line = line.trim_start();
        let line = line.strip_prefix("async ").unwrap_or(line);
        if let Some((name, _)) = line
            .strip_prefix("fn ")
            .and_then(|rest| rest.split_once('('))
        {
            names.insert(name.to_owned());
        }
    }
}

#[test]
fn each_test_named_by_the_failures_page_exists() {
    let known = test_names();
    let text = page("failures.md");
    let sections = text.split("\n## ").skip(1);
    for section in sections {
        let (_, test_list) = section
            .split_once("**Tests.**")
            .expect("each failure names its tests");
        for name in test_list.split('`').skip(1).step_by(2) {
            assert!(known.contains(name), "{name}");
        }
    }
}

#[test]
fn the_table_of_exit_codes_is_complete() {
    let all = [
        Exit::Done,
        Exit::Failed,
        Exit::Usage,
        Exit::Committed,
        Exit::Conflict,
        Exit::NotFound,
        Exit::Refused,
        Exit::Unauthenticated,
        Exit::Unavailable,
        Exit::OutcomeUnknown,
    ];
    let text = page("operators.md");
    for exit in all {
        assert!(
            text.contains(&format!("\n| {} | ", exit.code())),
            "{exit:?}"
        );
    }
}
