//! Deployment definitions, written as JSON with comments.

use std::collections::BTreeMap;
use std::fs;

use config::check;
use config::check::Violation;
use config::deployment::Deployment;
use schemars::generate::SchemaSettings;
use serde_json::Value;
use serde_json::json;
use settings::Fault;
use settings::Faults;
use settings::check::Findings;

use crate::exit::Error;
use crate::exit::Exit;

/// Field that holds the version on which a definition is based.
const VERSION_FIELD: &str = "version";

/// Definition read from a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Definition {
    /// The deployment.
    pub deployment: Deployment,
    /// Version of the configuration that it is based on, if the file states it.
    pub version: Option<u64>,
}

/// Reads and validates a definition file; the error lists all faults.
pub fn read(file: &str) -> Result<Definition, Error> {
    let text = fs::read_to_string(file)
        .map_err(|error| Error::new(Exit::Usage, format!("{file}: can't be read: {error}")))?;
    parse(file, &text).map_err(|faults| Error::new(Exit::Usage, faults.to_string()))
}

/// Parses and validates the text of a definition.
pub fn parse(file: &str, text: &str) -> Result<Definition, Faults> {
    let tree = settings::check::parse(file, text).map_err(|fault| Faults(vec![fault]))?;
    let schema = schema();
    let mut findings = settings::check::check(file, text, tree.value.as_ref(), &schema);
    let version = findings.value.get(VERSION_FIELD).and_then(Value::as_u64);
    let faults = schema_faults(&mut findings);
    if !faults.0.is_empty() {
        return Err(faults);
    }
    let deployment: Deployment = serde_json::from_value(findings.value)
        .map_err(|error| Faults(vec![Fault::whole(file, error.to_string())]))?;
    let violations = check::deployment(&deployment);
    if !violations.is_empty() {
        return Err(semantic_faults(file, &findings.lines, violations));
    }
    Ok(Definition {
        deployment,
        version,
    })
}

/// Returns the schema of a definition: the fields of a deployment and the version.
pub fn schema() -> Value {
    let mut schema = SchemaSettings::draft2020_12()
        .for_deserialize()
        .with(|settings| settings.inline_subschemas = true)
        .into_generator()
        .into_root_schema_for::<Deployment>()
        .to_value();
    if let Some(properties) = schema.get_mut("properties").and_then(Value::as_object_mut) {
        let version = json!({
            "type": "integer",
            "minimum": 0,
            "description": "Version of the configuration on which the definition is based.",
        });
        properties.insert(VERSION_FIELD.to_owned(), version);
    }
    schema
}

/// Returns the schema violations. Unknown fields are errors here, because they are typos and not
/// options of a later release.
fn schema_faults(findings: &mut Findings) -> Faults {
    let mut faults = std::mem::take(&mut findings.faults);
    faults.append(&mut findings.warnings);
    faults.sort_by_key(|fault| fault.line);
    Faults(faults)
}

/// Returns the violations of the deployment's own rules, with the line of each field.
fn semantic_faults(
    file: &str,
    lines: &BTreeMap<String, usize>,
    violations: Vec<Violation>,
) -> Faults {
    let fault = |violation: Violation| Fault {
        line: nearest_line(lines, &violation.field),
        option: violation.field,
        ..Fault::whole(file, violation.message)
    };
    Faults(violations.into_iter().map(fault).collect())
}

/// Returns the line of a field, or of its nearest ancestor in the file.
fn nearest_line(lines: &BTreeMap<String, usize>, field: &str) -> usize {
    let mut field = field;
    loop {
        if let Some(line) = lines.get(field) {
            return *line;
        }
        match field.rfind(['.', '[']) {
            Some(end) => field = field.get(..end).unwrap_or_default(),
            None => return 1,
        }
    }
}
