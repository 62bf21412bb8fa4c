//! Writes the reducer's lines to the log, and sets the log's form.

use std::io::Write;

use entry::line::Line;
use log::Level;
use log::LevelFilter;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use settings::configs::logs::Level as Severity;

/// Sets the log up: one line of key=value pairs an event, on the standard error.
pub fn init(level: LevelFilter) {
    let built = env_logger::Builder::new()
        .filter_level(level)
        .format(|buffer, record| {
            let mut fields = Fields::default();
            let _ = record.key_values().visit(&mut fields);
            let level = level_name(record.level());
            writeln!(buffer, "level={level}{}", fields.text)
        })
        .try_init();
    // A second entry in the same process, as in the demo, shares the first one's log.
    drop(built);
}

/// The log's filter for a level of the settings.
pub fn filter_of(level: Severity) -> LevelFilter {
    match level {
        Severity::Error => LevelFilter::Error,
        Severity::Warn => LevelFilter::Warn,
        Severity::Info => LevelFilter::Info,
        Severity::Debug => LevelFilter::Debug,
        Severity::Trace => LevelFilter::Trace,
    }
}

/// Writes one line.
pub fn write(entry: &str, line: &Line) {
    let mut fields = Fields::default();
    fields.add("event", line.event);
    fields.add("entry", entry);
    for (name, value) in &line.fields {
        fields.add(name, value);
    }
    log::logger().log(
        &log::Record::builder()
            .level(line.level)
            .target("dogwoodspur")
            .args(format_args!(""))
            .key_values(&[("line", fields.text.trim_start())])
            .build(),
    );
}

/// The level's name in the log.
fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}

/// Fields of a line, as text.
#[derive(Default)]
struct Fields {
    text: String,
}

impl Fields {
    /// Adds one field; values with blanks or quotes are quoted.
    fn add(&mut self, name: &str, value: &str) {
        self.text.push(' ');
        self.text.push_str(name);
        self.text.push('=');
        let plain = !value.is_empty()
            && value
                .chars()
                .all(|sign| !sign.is_whitespace() && !sign.is_control() && sign != '"');
        if plain {
            self.text.push_str(value);
        } else {
            self.text.push_str(&format!("{value:?}"));
        }
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        if key.as_str() == "line" {
            // Already in its final form.
            self.text.push(' ');
            self.text.push_str(&text);
        } else {
            self.add(key.as_str(), &text);
        }
        Ok(())
    }
}
