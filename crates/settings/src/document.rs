//! The page of settings and the schema for editors, drawn from the structs.

use std::fmt::Write;

use serde_json::Value;

use crate::expect;
use crate::schema;

/// The schema as it is committed for editors.
pub fn schema_file() -> String {
    let schema = schema::schema();
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}

/// The page of settings.
pub fn page() -> String {
    let schema = schema::schema();
    let mut text = String::from(INTRODUCTION);
    let sections = schema.get("properties").and_then(Value::as_object);
    for (section, part) in sections.into_iter().flatten() {
        let _ = writeln!(text, "\n## {section}\n\n{}\n", schema::description(part));
        text.push_str("| option | takes | default | description |\n| --- | --- | --- | --- |\n");
        let options = part.get("properties").and_then(Value::as_object);
        for (option, schema) in options.into_iter().flatten() {
            let _ = writeln!(
                text,
                "| `{section}.{option}` | {} | {} | {} |",
                expect::accepted(schema),
                schema::default(schema),
                schema::description(schema)
            );
        }
    }
    text
}

/// What the page says before the tables.
const INTRODUCTION: &str = "# Settings of an entry

`dogwoodspurd --settings FILE` reads one file of JSON with comments (and trailing commas). Every fault
is reported at once, with file, line and what was expected; with a fault the entry doesn't start. An
unknown name is a warning at start, so that an older version starts with a newer file, and a fault for
`--check`. `--print` shows the effective settings and where each was set; `explain SETTING` explains
one option or a section. Keys are never shown.

Editors offer names and values from [settings.schema.json](settings.schema.json): put
`\"$schema\": \"PATH/settings.schema.json\"` at the head of the file.

This page is drawn from `crates/settings/src/configs` by `cargo run -p settings --example document`;
a test compares them.
";
