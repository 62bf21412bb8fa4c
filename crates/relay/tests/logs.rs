//! Writing the log never blocks.

#![allow(clippy::unwrap_used)]

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use line::Line;
use log::LevelFilter;
use relay::logs;

/// Output whose reader can stall.
#[derive(Clone, Default)]
struct Pipe {
    read: Arc<Mutex<Vec<u8>>>,
    stalled: Arc<Mutex<()>>,
}

impl Pipe {
    fn stall(&self) -> MutexGuard<'_, ()> {
        self.stalled.lock().unwrap()
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.read.lock().unwrap()).into_owned()
    }
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        drop(self.stalled.lock().unwrap());
        self.read.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The reader of the log stalls. No line may wait for it: routine lines are shed first, then lines that don't
/// fit are dropped, and the losses are logged once the reader is back.
#[test]
fn a_stalled_reader_blocks_no_writer() {
    let pipe = Pipe::default();
    logs::init_to(LevelFilter::Info, Box::new(pipe.clone()));
    let stalled = pipe.stall();
    let started = Instant::now();
    for index in 0..20_000 {
        logs::write(&Line::info("request_done").routine().with("request", index));
    }
    for index in 0..200 {
        logs::write(&Line::info("request_refused").with("request", index));
    }
    assert!(
        started.elapsed() < Duration::from_secs(5),
        "{:?}",
        started.elapsed()
    );
    assert!(logs::shed() > 10_000, "{}", logs::shed());
    assert_eq!(
        logs::dropped(),
        0,
        "no line other than routine ones is lost"
    );
    for index in 0..5_000 {
        logs::write(&Line::info("request_refused").with("request", index));
    }
    assert!(logs::dropped() > 3_000, "{}", logs::dropped());
    drop(stalled);
    let started = Instant::now();
    while !pipe.text().contains("request=199\n") || !pipe.text().contains("log_lines_dropped") {
        assert!(
            started.elapsed() < Duration::from_secs(20),
            "the log was never written"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}
