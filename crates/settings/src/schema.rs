//! JSON schema of the settings file, generated from the structs.

use schemars::generate::SchemaSettings;
use serde_json::Value;

use crate::Settings;

/// Returns the schema of the whole file with inlined references, so that it can be traversed with the file.
pub fn schema() -> Value {
    SchemaSettings::draft2020_12()
        .for_deserialize()
        .with(|settings| settings.inline_subschemas = true)
        .into_generator()
        .into_root_schema_for::<Settings>()
        .to_value()
}

/// Returns the schema of an option or section; the whole schema for an empty name.
pub fn option<'a>(schema: &'a Value, name: &str) -> Option<&'a Value> {
    if name.is_empty() {
        return Some(schema);
    }
    name.split('.')
        .try_fold(schema, |part, key| part.get("properties")?.get(key))
}

/// Returns the qualified names of all options in the schema's order.
pub fn options(schema: &Value) -> Vec<String> {
    let mut names = Vec::new();
    collect(schema, "", &mut names);
    names
}

/// Appends the qualified names of the options in `part`.
fn collect(part: &Value, name: &str, names: &mut Vec<String>) {
    let Some(properties) = part.get("properties").and_then(Value::as_object) else {
        names.push(name.to_owned());
        return;
    };
    for (key, subschema) in properties {
        collect(subschema, &join(name, key), names);
    }
}

/// Returns the description of an option or section in one line.
pub fn description(part: &Value) -> String {
    let text = part
        .get("description")
        .and_then(Value::as_str)
        .unwrap_or("");
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Returns an option's default as it would be written, or `none`.
pub fn default(part: &Value) -> String {
    match part.get("default") {
        None | Some(Value::Null) => "none".to_owned(),
        Some(Value::String(text)) if text.is_empty() => "none".to_owned(),
        Some(value) => format!("`{value}`"),
    }
}

/// Returns the qualified name of `key` in `section`.
pub fn join(section: &str, key: &str) -> String {
    if section.is_empty() {
        key.to_owned()
    } else {
        format!("{section}.{key}")
    }
}
