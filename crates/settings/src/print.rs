//! Prints effective settings, for `dogwoodspurd --print`.

use std::fmt::Write;

use serde_json::Value;

use crate::Loaded;
use crate::schema;

/// Formats the effective settings as JSON with comments: each option with its description and origin.
///
/// Keys show only whether they are set, so that the text can be shared.
pub fn effective(loaded: &Loaded) -> String {
    let schema = schema::schema();
    let values = serde_json::to_value(&loaded.settings).unwrap_or_default();
    let mut text = String::from("{\n");
    for (section, section_schema) in properties(&schema) {
        let _ = writeln!(text, "  \"{section}\": {{");
        for (key, option_schema) in properties(section_schema) {
            let option = schema::join(section, key);
            let value = values
                .pointer(&format!("/{section}/{key}"))
                .unwrap_or(&Value::Null);
            let origin = loaded.origin(&option);
            let _ = writeln!(
                text,
                "    // {} ({origin})",
                schema::description(option_schema)
            );
            let _ = writeln!(text, "    \"{key}\": {value},");
        }
        text.push_str("  },\n");
    }
    text.push_str("}\n");
    text
}

/// Returns the properties of a part of the schema.
fn properties(schema: &Value) -> impl Iterator<Item = (&String, &Value)> {
    schema
        .get("properties")
        .and_then(Value::as_object)
        .into_iter()
        .flatten()
}
