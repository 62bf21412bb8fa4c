//! Writes the reducer's lines to the log, and sets the log's form.

use entry::line::Line;
use log::LevelFilter;

/// Sets the log up: one line of key=value pairs an event, on the standard error.
pub fn init(level: LevelFilter) {
    let built = env_logger::Builder::new()
        .filter_level(level)
        .format(line::text::format)
        .try_init();
    // A second entry in the same process, as in the demo, shares the first one's log.
    drop(built);
}

/// Writes one line.
pub fn write(entry: &str, line: &Line) {
    line::text::send(line, Some(entry));
}
