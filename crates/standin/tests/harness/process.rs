//! A child process, killed when dropped.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::process::Child;
use tokio::process::Command;

static NEXT_FILE_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A running child process.
pub struct Process {
    child: Child,
    /// Addresses from its `listening` line, by name.
    pub addresses: BTreeMap<String, String>,
    /// Path of its log file.
    pub log: PathBuf,
}

impl Process {
    /// Starts `standin` with these arguments and waits until it listens.
    pub async fn start(name: &str, arguments: &[&str]) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_standin"));
        command.args(arguments);
        Process::start_command(name, command).await
    }

    /// Starts `standin` with these arguments, able to open only this many descriptors.
    pub async fn start_limited(name: &str, arguments: &[&str], descriptors: usize) -> Process {
        let mut command = Command::new("sh");
        command
            .arg("-c")
            .arg(format!("ulimit -n {descriptors}; exec \"$0\" \"$@\""))
            .arg(env!("CARGO_BIN_EXE_standin"))
            .args(arguments);
        Process::start_command(name, command).await
    }

    async fn start_command(name: &str, mut command: Command) -> Process {
        let log = scratch_path(&format!("{name}.log"));
        let file = std::fs::File::create(&log).unwrap();
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let addresses = loop {
            let line = lines.next_line().await.unwrap();
            let line = line.unwrap_or_else(|| panic!("{name} ended; its log: {}", log.display()));
            if let Some(rest) = line.strip_prefix("listening ") {
                break parse_pairs(rest);
            }
        };
        // Keeps reading, so that a full pipe never blocks the child.
        tokio::task::spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Process {
            child,
            addresses,
            log,
        }
    }

    /// Returns an address from the `listening` line.
    pub fn address(&self, name: &str) -> &str {
        &self.addresses[name]
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id().expect("it runs")
    }

    /// Kills the process, as at the end of a reclaim.
    pub async fn kill(&mut self) {
        self.child.kill().await.unwrap();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Returns the exit code if the process has ended.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().unwrap()?.code()
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub async fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let status = Command::new("kill")
            .args(["-s", name, &id])
            .status()
            .await
            .unwrap();
        assert!(status.success());
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap()
    }
}

/// Returns a new path for a temporary file.
pub fn scratch_path(name: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
    directory.join(format!("{}-{number}-{name}", std::process::id()))
}

fn parse_pairs(text: &str) -> BTreeMap<String, String> {
    let pairs = text
        .split_whitespace()
        .filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}
