//! One line of the log: an event with its fields.

pub mod text;

use std::fmt::Display;

use log::Level;
use smol_str::SmolStr;
use smol_str::ToSmolStr;

/// An event worth a line. Holds no key and no prompt text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// How much it matters.
    pub level: Level,
    /// What happened, in snake case.
    pub event: &'static str,
    /// Names and values, in order.
    pub fields: Vec<(&'static str, SmolStr)>,
    /// Whether it tells of the ordinary course of one request: under load such lines go first.
    pub routine: bool,
}

impl Line {
    /// An event of the ordinary course.
    pub fn info(event: &'static str) -> Line {
        Line {
            level: Level::Info,
            event,
            fields: Vec::new(),
            routine: false,
        }
    }

    /// An event that only matters when looking for a fault.
    pub fn debug(event: &'static str) -> Line {
        Line {
            level: Level::Debug,
            ..Line::info(event)
        }
    }

    /// An event that an operator may have to act on.
    pub fn warn(event: &'static str) -> Line {
        Line {
            level: Level::Warn,
            ..Line::info(event)
        }
    }

    /// The same line, to be left out first when there are too many.
    pub fn routine(mut self) -> Line {
        self.routine = true;
        self
    }

    /// The value of a field; empty if there is none of that name.
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(known, _)| *known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// The same line with one more field.
    pub fn with(mut self, name: &'static str, value: impl Display) -> Line {
        self.fields.push((name, value.to_smolstr()));
        self
    }
}
