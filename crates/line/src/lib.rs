//! A structured log event.

pub mod text;

use std::fmt::Display;

use log::Level;
use smol_str::SmolStr;
use smol_str::ToSmolStr;

/// A log event with its fields. Contains no key and no prompt text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Severity of the event.
    pub level: Level,
    /// Name of the event, in snake case.
    pub event: &'static str,
    /// Names and values of the fields, in order.
    pub fields: Vec<(&'static str, SmolStr)>,
    /// Whether the event is part of an ordinary request; such lines are the first to be dropped under load.
    pub routine: bool,
}

impl Line {
    /// Creates an event of normal operation.
    pub fn info(event: &'static str) -> Line {
        Line {
            level: Level::Info,
            event,
            fields: Vec::new(),
            routine: false,
        }
    }

    /// Creates an event that is only of interest for debugging.
    pub fn debug(event: &'static str) -> Line {
        Line {
            level: Level::Debug,
            ..Line::info(event)
        }
    }

    /// Creates an event that an operator may have to act on.
    pub fn warn(event: &'static str) -> Line {
        Line {
            level: Level::Warn,
            ..Line::info(event)
        }
    }

    /// Marks the event as routine.
    pub fn routine(mut self) -> Line {
        self.routine = true;
        self
    }

    /// Returns the value of a field, or an empty text if there is none.
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(known, _)| *known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Adds a field.
    pub fn with(mut self, name: &'static str, value: impl Display) -> Line {
        self.fields.push((name, value.to_smolstr()));
        self
    }
}
