//! Loads a settings file.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use crate::Settings;
use crate::check;
use crate::check::Findings;
use crate::fault::Fault;
use crate::fault::Faults;
use crate::rules;
use crate::schema;

/// Settings loaded from a file.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// The effective settings.
    pub settings: Settings,
    /// Unknown names, to be logged at start; `--check` treats them as faults.
    pub warnings: Faults,
    /// Line of each option that the file sets.
    pub lines: BTreeMap<String, usize>,
}

impl Loaded {
    /// Returns the origin of an option's value: `line 7` or `default`.
    pub fn origin(&self, option: &str) -> String {
        match self.lines.get(option) {
            Some(line) => format!("line {line}"),
            None => "default".to_owned(),
        }
    }
}

/// Loads a file and returns only its settings; unknown names are ignored.
pub fn load(path: impl AsRef<Path>) -> Result<Settings, Faults> {
    read(path).map(|loaded| loaded.settings)
}

/// Loads a file, or returns all faults that prevent a start.
pub fn read(path: impl AsRef<Path>) -> Result<Loaded, Faults> {
    let path = path.as_ref();
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(error) => Err(Faults(vec![Fault::whole(
            &file,
            format!("can't be read: {error}"),
        )])),
    }
}

/// Loads a file for `--check`, which treats unknown names as faults.
pub fn read_strict(path: impl AsRef<Path>) -> Result<Loaded, Faults> {
    let loaded = read(path)?;
    if loaded.warnings.0.is_empty() {
        Ok(loaded)
    } else {
        Err(loaded.warnings)
    }
}

/// Parses and validates the text of a file.
pub fn parse(file: &str, text: &str) -> Result<Loaded, Faults> {
    let tree = check::parse(file, text).map_err(|fault| Faults(vec![fault]))?;
    let schema = schema::schema();
    let mut findings = check::check(file, text, tree.value.as_ref(), &schema);
    let settings = deserialize(file, &mut findings);
    if let Some(settings) = &settings {
        add_violations(file, settings, &mut findings);
    }
    match settings {
        Some(settings) if findings.faults.is_empty() => Ok(Loaded {
            settings,
            warnings: Faults(findings.warnings),
            lines: findings.lines,
        }),
        _ => Err(all_faults(findings)),
    }
}

/// Deserializes the valid part of the file; other options keep their defaults.
fn deserialize(file: &str, findings: &mut Findings) -> Option<Settings> {
    match serde_json::from_value(findings.value.clone()) {
        Ok(settings) => Some(settings),
        Err(error) => {
            findings.faults.push(Fault::whole(file, error.to_string()));
            None
        }
    }
}

/// Adds violated rules, except for options that already have a fault.
fn add_violations(file: &str, settings: &Settings, findings: &mut Findings) {
    for violation in rules::violations(settings) {
        if findings
            .faults
            .iter()
            .any(|fault| fault.option == violation.option)
        {
            continue;
        }
        let line = findings.lines.get(violation.option).copied().unwrap_or(1);
        findings.faults.push(Fault {
            line,
            option: violation.option.to_owned(),
            ..Fault::whole(file, violation.message)
        });
    }
}

/// Returns all faults and unknown names, ordered by line.
fn all_faults(findings: Findings) -> Faults {
    let mut faults = findings.faults;
    faults.extend(findings.warnings);
    faults.sort_by_key(|fault| fault.line);
    Faults(faults)
}
