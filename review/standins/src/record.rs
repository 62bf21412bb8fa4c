//! The record of a case: what was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> Record {
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("the record"))),
        }
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{at:9.3} s  {text}");
    }
}
