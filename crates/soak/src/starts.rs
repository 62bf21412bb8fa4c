//! Signals to a program as it starts, and a caller that connects as soon as it can.

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::anyhow;
use anyhow::ensure;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// Longest wait for anything, far longer than a start or a stop takes.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which the program is looked at.
const POLL_INTERVAL: Duration = Duration::from_micros(200);
/// Time between two signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which a program stands still before it is continued.
pub const PAUSE: Duration = Duration::from_millis(1_500);
/// Begin of the first line that a program writes; it handles signals by then.
const STARTING: &str = "event=start";

/// Port for callers.
pub const CALLERS_PORT: u16 = 7_101;

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// When the first signal is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// So many milliseconds after the start.
    After(u64),
    /// As soon as the program says that it starts.
    Starting,
    /// As soon as the callers' port takes a connection.
    Connected,
    /// As soon as the early caller has its answer.
    Answered,
}

/// What a play showed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The answer to a request that was sent as soon as the port took a connection; `None` if it never did.
    pub answer: Option<String>,
    /// How the program ended; `None` if it still ran after the signals and the answer.
    pub status: Option<ExitStatus>,
    /// Time from the last signal to the end, or to the answer.
    pub lasted: Duration,
    /// What it wrote.
    pub log: String,
}

/// A program that is started by the path of a settings file.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Returns settings with all ports at this host, that for callers being [`CALLERS_PORT`].
    pub settings: fn(Ipv4Addr) -> String,
}

impl Outcome {
    /// Returns whether the answer is whole.
    pub fn is_answered(&self) -> bool {
        self.answer.as_deref().is_some_and(is_whole)
    }

    /// Returns whether the program died before it could handle signals.
    pub fn has_died_unstarted(&self) -> bool {
        let code = self.status.map(|status| status.code());
        code == Some(None) && self.log.is_empty() && self.answer.is_none()
    }
}

/// Returns an address of this machine that no other play uses.
fn next_host() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, high | 0x80, low, number.max(1))
}

impl Program {
    /// Plays the same signals at several moments, side by side.
    pub fn play_all(
        &self,
        moments: &[Moment],
        signals: &[Signal],
        ends: bool,
    ) -> Result<Vec<(Moment, Outcome)>> {
        let play = |moment: Moment| Ok((moment, self.play(moment, signals, ends)?));
        let play = &play;
        thread::scope(|scope| {
            let plays: Vec<_> = moments
                .iter()
                .map(|moment| scope.spawn(move || play(*moment)))
                .collect();
            plays
                .into_iter()
                .map(|play| play.join().map_err(|_| anyhow!("a play panicked"))?)
                .collect()
        })
    }

    /// Starts the program, sends it `signals` one after another, and waits for the caller's answer and, if `ends`, for the
    /// end. A program that still runs then is killed.
    pub fn play(&self, moment: Moment, signals: &[Signal], ends: bool) -> Result<Outcome> {
        let host = next_host();
        let callers = SocketAddr::from((host, CALLERS_PORT));
        std::fs::create_dir_all(&self.folder)?;
        let settings_path = self.folder.join(format!("{host}.jsonc"));
        let log_path = self.folder.join(format!("{host}.log"));
        std::fs::write(&settings_path, (self.settings)(host))?;
        let mut child = Guard(self.spawn(&settings_path, &log_path)?);
        let started = Instant::now();
        let has_ended = Arc::new(AtomicBool::new(false));
        let caller = {
            let has_ended = Arc::clone(&has_ended);
            thread::spawn(move || call_early(callers, &has_ended))
        };
        match moment {
            Moment::After(millis) => {
                thread::sleep(Duration::from_millis(millis).saturating_sub(started.elapsed()));
            }
            Moment::Starting => {
                wait_for("the start", || child.has_ended() || has_started(&log_path))?
            }
            Moment::Answered => {
                wait_for("the answer", || child.has_ended() || caller.is_finished())?
            }
            Moment::Connected => wait_for("the port", || {
                child.has_ended() || TcpStream::connect(callers).is_ok()
            })?,
        }
        for signal in signals {
            if *signal == Signal::CONT {
                thread::sleep(PAUSE);
            }
            child.signal(*signal)?;
            thread::sleep(SIGNAL_INTERVAL);
        }
        let signalled = Instant::now();
        wait_for("the answer or the end", || {
            child.has_ended() || (!ends && caller.is_finished())
        })?;
        let lasted = signalled.elapsed();
        let status = child.0.try_wait()?;
        has_ended.store(true, Ordering::Relaxed);
        let answer = caller.join().ok().flatten();
        let log = std::fs::read_to_string(&log_path)?;
        Ok(Outcome {
            answer,
            status,
            lasted,
            log,
        })
    }

    fn spawn(&self, settings: &Path, log: &Path) -> Result<Child> {
        let log = File::create(log)?;
        let mut command = Command::new(&self.path);
        command.arg("--settings").arg(settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?);
        let child = command.stderr(log).spawn();
        child.with_context(|| format!("can't start {}", self.path.display()))
    }
}

/// A process that is killed when it is dropped.
struct Guard(Child);

impl Guard {
    fn has_ended(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }

    fn signal(&mut self, signal: Signal) -> Result<()> {
        // Until it is waited for, the process keeps its id.
        if self.0.try_wait()?.is_none() {
            let id = Pid::from_raw(i32::try_from(self.0.id())?).context("no process id")?;
            kill_process(id, signal)?;
        }
        Ok(())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) -> Result<()> {
    let began = Instant::now();
    while !condition() {
        ensure!(began.elapsed() < TIMEOUT, "timed out waiting for {what}");
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn has_started(log: &Path) -> bool {
    std::fs::read_to_string(log).is_ok_and(|text| text.contains(STARTING))
}

/// Connects as soon as possible, sends a request and returns the bytes of its answer.
fn call_early(address: SocketAddr, has_ended: &AtomicBool) -> Option<String> {
    let mut socket = loop {
        match TcpStream::connect(address) {
            Ok(socket) => break socket,
            Err(_) if has_ended.load(Ordering::Relaxed) => return None,
            Err(_) => thread::sleep(POLL_INTERVAL),
        }
    };
    socket.set_read_timeout(Some(TIMEOUT)).ok()?;
    let request = "GET / HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\r\n";
    let mut answer = Vec::new();
    let _ = socket.write_all(request.as_bytes());
    let _ = socket.read_to_end(&mut answer);
    Some(String::from_utf8_lossy(&answer).into_owned())
}

fn is_whole(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    head.starts_with("http/1.1 ") && length.is_none_or(|length| length.parse() == Ok(body.len()))
}
