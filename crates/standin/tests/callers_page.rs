//! The session printed in docs/callers.md works as printed.

mod harness;

use std::path::Path;

use harness::process::Process;
use harness::process::scratch_path;
use tokio::process::Command;

/// Line of the page that names the entry; replaced by the entry under test.
const ENTRY_LINE: &str = "ENTRY=127.0.0.1:8000";

/// Placeholder on the page for text that differs between runs.
const PLACEHOLDER: &str = "...";

/// Line that the script prints before the output of each command.
const COMMAND_MARK: &str = "=== command";

/// A command of the page and its printed output.
#[derive(Default)]
struct Step {
    command: String,
    printed: String,
}

#[test]
fn session_works_as_printed() {
    harness::run(async {
        let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/callers.md");
        let steps = parse_steps(&std::fs::read_to_string(page).unwrap());
        assert!(steps.len() > 10);
        let sample = Process::start("sample", &["sample", "--callers", "127.0.0.1:0"]).await;
        let entry = format!("ENTRY={}", sample.address("callers"));
        let mut script = String::new();
        for step in &steps {
            let command = step.command.replace(ENTRY_LINE, &entry);
            script.push_str(&format!("echo '{COMMAND_MARK}'\n{command}\n"));
        }
        let directory = scratch_path("callers-page");
        std::fs::create_dir(&directory).unwrap();
        let session = Command::new("bash")
            .args(["-c", &script])
            .current_dir(&directory)
            .output();
        let output = String::from_utf8(session.await.unwrap().stdout).unwrap();
        let outputs: Vec<&str> = output.split(&format!("{COMMAND_MARK}\n")).skip(1).collect();
        assert_eq!(outputs.len(), steps.len(), "{output}");
        for (step, printed) in steps.iter().zip(outputs) {
            let is_same = matches_printed(&step.printed, printed);
            assert!(
                is_same,
                "{}\nprints\n{printed}\nnot\n{}",
                step.command, step.printed
            );
        }
    });
}

/// Returns the commands in the page's `sh` blocks.
fn parse_steps(page: &str) -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::new();
    let mut inside = false;
    for line in page.lines() {
        if line.starts_with("```") {
            inside = line == "```sh";
            continue;
        }
        if !inside {
            continue;
        }
        match line.strip_prefix("$ ") {
            Some(command) => steps.push(Step {
                command: command.to_owned(),
                printed: String::new(),
            }),
            None => {
                let step = steps.last_mut().expect("a command comes first");
                step.printed.push_str(line);
                step.printed.push('\n');
            }
        }
    }
    steps
}

/// Returns whether a text matches the printed one, where each placeholder matches anything.
fn matches_printed(printed: &str, text: &str) -> bool {
    let mut pieces = printed.split(PLACEHOLDER);
    let Some(mut rest) = text.strip_prefix(pieces.next().unwrap_or_default()) else {
        return false;
    };
    let pieces: Vec<&str> = pieces.collect();
    let Some((last, middle)) = pieces.split_last() else {
        return rest.is_empty();
    };
    for piece in middle {
        let Some((_, after)) = rest.split_once(piece) else {
            return false;
        };
        rest = after;
    }
    rest.ends_with(last)
}
