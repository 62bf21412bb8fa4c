//! The schema of the settings file, drawn from the structs.

use schemars::generate::SchemaSettings;
use serde_json::Value;

use crate::Settings;

/// The schema of the whole file, without references, so that it can be walked beside the file.
pub fn schema() -> Value {
    SchemaSettings::draft2020_12()
        .for_deserialize()
        .with(|settings| settings.inline_subschemas = true)
        .into_generator()
        .into_root_schema_for::<Settings>()
        .to_value()
}

/// The option's part of the schema; the whole for an empty name.
pub fn option<'a>(schema: &'a Value, name: &str) -> Option<&'a Value> {
    if name.is_empty() {
        return Some(schema);
    }
    name.split('.')
        .try_fold(schema, |part, key| part.get("properties")?.get(key))
}

/// Names of all options, with their sections before them, in the schema's order.
pub fn options(schema: &Value) -> Vec<String> {
    let mut names = Vec::new();
    collect(schema, "", &mut names);
    names
}

/// Appends the options below `part`.
fn collect(part: &Value, name: &str, names: &mut Vec<String>) {
    let Some(properties) = part.get("properties").and_then(Value::as_object) else {
        names.push(name.to_owned());
        return;
    };
    for (key, subschema) in properties {
        collect(subschema, &join(name, key), names);
    }
}

/// What an option or a section means, in one line.
pub fn description(part: &Value) -> String {
    let text = part
        .get("description")
        .and_then(Value::as_str)
        .unwrap_or("");
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// An option's default as it would be written; a word where there is none.
pub fn default(part: &Value) -> String {
    match part.get("default") {
        None | Some(Value::Null) => "none".to_owned(),
        Some(Value::String(text)) if text.is_empty() => "none".to_owned(),
        Some(value) => format!("`{value}`"),
    }
}

/// The name of `key` within `section`.
pub fn join(section: &str, key: &str) -> String {
    if section.is_empty() {
        key.to_owned()
    } else {
        format!("{section}.{key}")
    }
}
