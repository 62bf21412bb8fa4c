//! Generates the settings page and the schema for editors from the structs.

use std::fmt::Write;

use serde_json::Value;

use crate::expect;
use crate::schema;

/// Returns the schema file for editors.
pub fn schema_file() -> String {
    let schema = schema::schema();
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}

/// Returns the settings page.
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

/// Introduction of the settings page.
const INTRODUCTION: &str = "# Settings of an entry

`dogwoodspurd --settings FILE` reads one file of JSON with comments and trailing commas. All faults are
reported at once, each with its file, line and expected value; a file with faults prevents the start.
An unknown name is a warning at start, so that an older version starts with a newer file, and a fault
for `--check`. `--print` prints the effective settings and their origins; `--explain OPTION` explains
one option or section. Keys are never printed.

Editors complete and check options by [settings.schema.json](settings.schema.json): put
`\"$schema\": \"PATH/settings.schema.json\"` at the top of the file.

This page is generated from `crates/settings/src/configs` by `cargo run -p settings --example document`;
a test checks that it is up to date.
";
