//! Initializes the log and writes the reducer's lines to it.

use entry::line::Line;
use log::LevelFilter;

/// Initializes the log: one line of key=value pairs per event on standard error.
pub fn init(level: LevelFilter) {
    let built = env_logger::Builder::new()
        .filter_level(level)
        .format(line::text::format)
        .try_init();
    // Further entries in the same process, as in the demo, share the first one's log.
    drop(built);
}

/// Writes one line for an entry.
pub fn write(entry: &str, line: &Line) {
    line::text::send(line, Some(entry));
}
