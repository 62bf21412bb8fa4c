//! Writes the log without ever waiting for whoever reads it.
//!
//! Failure guarded against: standard output is a pipe whose reader stops, or reads slowly under load. A
//! write would then block the one loop, and every request with it. Lines go through a bounded queue to a
//! thread of their own; what doesn't fit is dropped and counted, and the count is logged once there is
//! room again.

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

use line::Line;
use log::LevelFilter;

/// Lines that may wait for the reader: a second's worth of a busy entry, 200 KB at most.
const QUEUE_LINES: usize = 1_024;

/// From so many waiting lines on, those of the ordinary course are left out, so that refusals, uncertain
/// ends, resumed streams and duties still find room.
const ROUTINE_LIMIT: u64 = QUEUE_LINES as u64 / 4;

/// Lines that found the queue full.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Lines of the ordinary course that were left out.
static SHED: AtomicU64 = AtomicU64::new(0);
/// Lines in the queue.
static QUEUED: AtomicU64 = AtomicU64::new(0);

/// Sets the log up: one line of key=value pairs an event, on standard output.
pub fn init(level: LevelFilter) {
    init_to(level, Box::new(std::io::stdout()));
}

/// The same on any output.
pub fn init_to(level: LevelFilter, output: Box<dyn Write + Send>) {
    let (sender, lines) = sync_channel::<Vec<u8>>(QUEUE_LINES);
    let writing = std::thread::Builder::new()
        .name(String::from("log"))
        .stack_size(64 << 10)
        .spawn(move || run_writer(output, lines));
    if writing.is_err() {
        eprintln!("level=error event=log_thread_failed");
        return;
    }
    let queue = Queue {
        sender,
        buffer: Vec::new(),
    };
    let built = env_logger::Builder::new()
        .filter_level(level)
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .format(line::text::format)
        .try_init();
    // A second gateway in the same process shares the first one's log.
    drop(built);
}

/// Writes lines out as they come, and what was dropped before each.
fn run_writer(mut output: Box<dyn Write + Send>, lines: Receiver<Vec<u8>>) {
    let mut reported = 0;
    for line in lines {
        QUEUED.fetch_sub(1, Ordering::Relaxed);
        let lost = dropped() + shed();
        if lost > reported {
            let text = format!(
                "level=warn event=log_lines_dropped count={}\n",
                lost - reported
            );
            reported = lost;
            count_failure(output.write_all(text.as_bytes()));
        }
        count_failure(output.write_all(&line).and_then(|()| output.flush()));
    }
}

/// A line that can't be written is counted: there is nowhere to say so.
fn count_failure(written: std::io::Result<()>) {
    if written.is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// Lines dropped so far because the queue was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Lines of the ordinary course left out so far.
pub fn shed() -> u64 {
    SHED.load(Ordering::Relaxed)
}

/// Writes one line.
pub fn write(line: &Line) {
    if line.level > log::max_level() {
        return;
    }
    if line.routine && QUEUED.load(Ordering::Relaxed) >= ROUTINE_LIMIT {
        SHED.fetch_add(1, Ordering::Relaxed);
        return;
    }
    line::text::send(line, None);
}

/// Collects bytes to whole lines and hands them to the writing thread.
struct Queue {
    sender: SyncSender<Vec<u8>>,
    buffer: Vec<u8>,
}

impl Write for Queue {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.last() == Some(&b'\n') {
            let line = std::mem::take(&mut self.buffer);
            QUEUED.fetch_add(1, Ordering::Relaxed);
            if self.sender.try_send(line).is_err() {
                QUEUED.fetch_sub(1, Ordering::Relaxed);
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
