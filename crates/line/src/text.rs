//! Text format of the log: one line of key=value pairs per event.

use std::io::Write;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::Level;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;

use crate::Line;

/// Key under which a record contains an already formatted line.
const FORMATTED_LINE: &str = "line";

/// Formats a record; passed to the logger as its formatter.
pub fn format<W: Write>(output: &mut W, record: &Record) -> std::io::Result<()> {
    let mut fields = Fields::default();
    // The visitor never fails; a value that can't be formatted would only be missing from its line.
    let _ = record.key_values().visit(&mut fields);
    let level = level_name(record.level());
    let time = unix_time().as_secs_f64();
    writeln!(output, "level={level} time={time:.3}{}", fields.text)
}

/// Returns the time of day, by which lines of several processes are compared.
fn unix_time() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default()
}

/// Sends the line to the process's logger; `entry` names its entry in a process with several entries.
pub fn send(line: &Line, entry: Option<&str>) {
    let mut fields = Fields::default();
    fields.add("event", line.event);
    if let Some(entry) = entry {
        fields.add("entry", entry);
    }
    for (name, value) in &line.fields {
        fields.add(name, value);
    }
    log::logger().log(
        &Record::builder()
            .level(line.level)
            .target("dogwoodspur")
            .args(format_args!(""))
            .key_values(&[(FORMATTED_LINE, fields.text.trim_start())])
            .build(),
    );
}

const fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}

/// Formatted fields of a line.
#[derive(Default)]
struct Fields {
    text: String,
}

impl Fields {
    /// Appends a field; values with whitespace, control characters or quotes are quoted.
    fn add(&mut self, name: &str, value: &str) {
        self.text.push(' ');
        self.text.push_str(name);
        self.text.push('=');
        let is_plain = !value.is_empty()
            && value.chars().all(|character| {
                !character.is_whitespace() && !character.is_control() && character != '"'
            });
        if is_plain {
            self.text.push_str(value);
        } else {
            self.text.push_str(&format!("{value:?}"));
        }
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        if key.as_str() == FORMATTED_LINE {
            self.text.push(' ');
            self.text.push_str(&text);
        } else {
            self.add(key.as_str(), &text);
        }
        Ok(())
    }
}
