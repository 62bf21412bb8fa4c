//! Explains one option, for `dogwoodspurd --explain OPTION`.

use std::fmt::Write;

use serde_json::Value;

use crate::Loaded;
use crate::check;
use crate::expect;
use crate::schema;

/// Returns the meaning, accepted values and default of an option, or an error if it doesn't exist.
///
/// `loaded` adds the effective value and where it was set. The name of a section explains all of its
/// options.
pub fn explain(name: &str, loaded: Option<&Loaded>) -> Result<String, String> {
    let schema = schema::schema();
    let known = schema::options(&schema);
    let mut text = String::new();
    for option in known.iter().filter(|option| is_within(option, name)) {
        if !text.is_empty() {
            text.push('\n');
        }
        write_option(&mut text, &schema, option, loaded);
    }
    if !text.is_empty() {
        return Ok(text);
    }
    let suggestion = check::nearest(name, known.iter().map(String::as_str));
    let hint = suggestion.map_or(String::new(), |suggestion| {
        format!("; did you mean '{suggestion}'?")
    });
    Err(format!("no setting '{name}'{hint}"))
}

/// Returns whether the option is the named one or belongs to the named section.
fn is_within(option: &str, name: &str) -> bool {
    option == name
        || option
            .strip_prefix(name)
            .is_some_and(|rest| rest.starts_with('.'))
}

/// Appends the explanation of one option.
fn write_option(text: &mut String, schema: &Value, option: &str, loaded: Option<&Loaded>) {
    let Some(part) = schema::option(schema, option) else {
        return;
    };
    let _ = writeln!(text, "{option}");
    let _ = writeln!(text, "  {}", schema::description(part));
    let _ = writeln!(text, "  takes:   {}", expect::accepted(part));
    let _ = writeln!(text, "  default: {}", schema::default(part));
    let Some(loaded) = loaded else {
        return;
    };
    let values = serde_json::to_value(&loaded.settings).unwrap_or_default();
    let pointer = format!("/{}", option.replace('.', "/"));
    let value = values.pointer(&pointer).unwrap_or(&Value::Null);
    let _ = writeln!(text, "  is:      {value} ({})", loaded.origin(option));
}
