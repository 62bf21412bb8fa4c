//! Faults of a settings file.

use std::fmt;

/// A fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the file, as given.
    pub file: String,
    /// Line in the file, starting at 1.
    pub line: usize,
    /// Option such as `callers.listen`; empty for the whole file.
    pub option: String,
    /// What was expected and what was found.
    pub message: String,
    /// Known name similar to the unknown one.
    pub did_you_mean: Option<String>,
}

impl Fault {
    /// Creates a fault of the whole file.
    pub fn whole(file: &str, message: String) -> Fault {
        Fault {
            file: file.to_owned(),
            line: 1,
            option: String::new(),
            message,
            did_you_mean: None,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: ", self.file, self.line)?;
        if !self.option.is_empty() {
            write!(formatter, "{}: ", self.option)?;
        }
        formatter.write_str(&self.message)?;
        match &self.did_you_mean {
            Some(name) => write!(formatter, "; did you mean '{name}'?"),
            None => Ok(()),
        }
    }
}

/// All faults of a settings file, ordered by line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
