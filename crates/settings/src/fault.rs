//! What is wrong with a settings file.

use std::fmt;

/// One thing wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file, as it was named.
    pub file: String,
    /// Line in it, from 1.
    pub line: usize,
    /// The option, such as `callers.listen`; empty for the file as a whole.
    pub option: String,
    /// What was expected and what stands there.
    pub message: String,
    /// A known name near the unknown one.
    pub did_you_mean: Option<String>,
}

impl Fault {
    /// A fault of the file as a whole.
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

/// Everything that is wrong with a settings file, in the order of its lines.
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
