//! Writes the log without blocking on its reader.
//!
//! Standard output may be a pipe whose reader stalls or is slow under load. A blocking write would stop the
//! loop and with it every request. So lines go through a bounded queue to a separate thread; lines that don't
//! fit are dropped and counted, and the count is logged once there is room again.

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

use line::Line;
use log::LevelFilter;

/// Capacity of the queue: one second of a busy entry's lines, at most 200 KB.
const QUEUE_LINES: usize = 1_024;

/// Queue length from which on routine lines are shed, so that refusals, uncertain ends, resumed streams and
/// duties still fit.
const ROUTINE_LIMIT: u64 = QUEUE_LINES as u64 / 4;

/// Lines dropped because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Routine lines that were shed.
static SHED: AtomicU64 = AtomicU64::new(0);
/// Lines in the queue.
static QUEUED: AtomicU64 = AtomicU64::new(0);

/// Initializes the log: one line of key=value pairs per event, on standard output.
pub fn init(level: LevelFilter) {
    init_to(level, Box::new(std::io::stdout()));
}

/// Initializes the log on any output.
pub fn init_to(level: LevelFilter, output: Box<dyn Write + Send>) {
    let (sender, lines) = sync_channel::<Vec<u8>>(QUEUE_LINES);
    let spawned = std::thread::Builder::new()
        .name(String::from("log"))
        .stack_size(64 << 10)
        .spawn(move || run_writer(output, lines));
    if spawned.is_err() {
        eprintln!("level=error event=log_thread_failed");
        return;
    }
    let queue = Queue {
        sender,
        buffer: Vec::new(),
    };
    let initialized = env_logger::Builder::new()
        .filter_level(level)
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .format(line::text::format)
        .try_init();
    // A second gateway in the same process shares the log of the first one.
    drop(initialized);
}

/// Writes queued lines, each preceded by the count of lines that were lost before it.
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

/// Counts a line that could not be written, which can't be logged either.
fn count_failure(written: std::io::Result<()>) {
    if written.is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns the number of lines dropped so far because the queue was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Returns the number of routine lines shed so far.
pub fn shed() -> u64 {
    SHED.load(Ordering::Relaxed)
}

/// Writes one line, or sheds it if it is routine and the queue is long.
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

/// Assembles bytes into complete lines and queues them for the writer thread.
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
