//! The log never holds up whoever writes it.

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

/// Output whose reader can stop reading.
#[derive(Clone, Default)]
struct Pipe {
    read: Arc<Mutex<Vec<u8>>>,
    stopped: Arc<Mutex<()>>,
}

impl Pipe {
    fn stop(&self) -> MutexGuard<'_, ()> {
        self.stopped.lock().unwrap()
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.read.lock().unwrap()).into_owned()
    }
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        drop(self.stopped.lock().unwrap());
        self.read.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The reader of the log stops. Requests go on: no line waits for it, those of the ordinary course are left
/// out first, what doesn't fit is dropped, and both are counted and told once the reader is back.
#[test]
fn a_reader_that_stops_holds_nobody_up() {
    let pipe = Pipe::default();
    logs::init_to(LevelFilter::Info, Box::new(pipe.clone()));
    let stopped = pipe.stop();
    let begun = Instant::now();
    for number in 0..20_000 {
        logs::write(&Line::info("request_done").routine().with("request", number));
    }
    for number in 0..200 {
        logs::write(&Line::info("request_refused").with("request", number));
    }
    assert!(
        begun.elapsed() < Duration::from_secs(5),
        "{:?}",
        begun.elapsed()
    );
    assert!(logs::shed() > 10_000, "{}", logs::shed());
    assert_eq!(logs::dropped(), 0, "there was room for what matters");
    for number in 0..5_000 {
        logs::write(&Line::info("request_refused").with("request", number));
    }
    assert!(logs::dropped() > 3_000, "{}", logs::dropped());
    drop(stopped);
    let begun = Instant::now();
    while !pipe.text().contains("request=199\n") || !pipe.text().contains("log_lines_dropped") {
        assert!(
            begun.elapsed() < Duration::from_secs(20),
            "the log never came"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}
