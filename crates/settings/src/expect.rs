//! Checks single values against the schema and describes what it accepts.

use std::net::SocketAddr;

use serde_json::Value;

/// Describes what the schema expects instead of `value`; `None` if the value is valid.
pub fn expected(value: &Value, schema: &Value) -> Option<String> {
    let optional = types(schema).any(|kind| kind == "null");
    if value.is_null() && optional {
        return None;
    }
    if let Some(tags) = tags(schema) {
        return Some(format!("an object whose \"type\" is {}", tags.join(" or ")));
    }
    if let Some(values) = values(schema) {
        let valid = value.as_str().is_some_and(|value| values.contains(&value));
        return (!valid).then(|| format!("one of {}", values.join(", ")));
    }
    let kind = types(schema).find(|kind| *kind != "null").unwrap_or("");
    match kind {
        "integer" => integer(value, schema),
        "string" => string(value, schema),
        "boolean" => (!value.is_boolean()).then(|| "true or false".to_owned()),
        _ => None,
    }
}

/// Returns the types that the schema accepts.
fn types(schema: &Value) -> impl Iterator<Item = &str> {
    let kind = schema.get("type");
    let single = kind.and_then(Value::as_str);
    let multiple = kind.and_then(Value::as_array).into_iter().flatten();
    single.into_iter().chain(multiple.filter_map(Value::as_str))
}

/// Returns the tags of a tagged union.
fn tags(schema: &Value) -> Option<Vec<&str>> {
    let variants = schema.get("oneOf").and_then(Value::as_array)?;
    let tag = |variant: &'_ Value| variant.pointer("/properties/type/const").is_some();
    if !variants.iter().any(tag) {
        return None;
    }
    let tags = variants.iter();
    let tags = tags.filter_map(|variant| variant.pointer("/properties/type/const"));
    Some(tags.filter_map(Value::as_str).collect())
}

/// Returns the values of an enumeration.
pub fn values(schema: &Value) -> Option<Vec<&str>> {
    if let Some(values) = schema.get("enum").and_then(Value::as_array) {
        return Some(values.iter().filter_map(Value::as_str).collect());
    }
    let variants = schema.get("oneOf").and_then(Value::as_array)?;
    let values = variants.iter().filter_map(|variant| variant.get("const"));
    Some(values.filter_map(Value::as_str).collect())
}

/// Checks a whole number and its bounds.
fn integer(value: &Value, schema: &Value) -> Option<String> {
    let min = schema.get("minimum").and_then(Value::as_u64).unwrap_or(0);
    let max = schema.get("maximum").and_then(Value::as_u64);
    let max = max.unwrap_or_else(|| max_of_type(schema));
    let number = value.as_u64();
    if number.is_some_and(|number| (min..=max).contains(&number)) {
        return None;
    }
    Some(bounds(min, max))
}

/// Describes the bounds of a whole number.
fn bounds(min: u64, max: u64) -> String {
    if max == u64::MAX {
        return "a whole number".to_owned();
    }
    format!("a whole number from {min} to {max}")
}

/// Returns the largest number of the type.
fn max_of_type(schema: &Value) -> u64 {
    match schema.get("format").and_then(Value::as_str) {
        Some("uint32") => u64::from(u32::MAX),
        _ => u64::MAX,
    }
}

/// Checks the length and the format of a text.
fn string(value: &Value, schema: &Value) -> Option<String> {
    let Some(text) = value.as_str() else {
        return Some(format_name(schema).to_owned());
    };
    let min = schema.get("minLength").and_then(Value::as_u64).unwrap_or(0);
    let max = schema.get("maxLength").and_then(Value::as_u64);
    let max = max.unwrap_or(u64::MAX);
    if !(min..=max).contains(&(text.chars().count() as u64)) {
        return Some(format!("{min} to {max} characters"));
    }
    let valid = match schema.get("format").and_then(Value::as_str) {
        Some("socket-address") => text.parse::<SocketAddr>().is_ok(),
        Some("http-address") => is_http_address(text),
        Some("name") => is_name(text),
        _ => true,
    };
    (!valid).then(|| format_name(schema).to_owned())
}

/// Describes the values that an option accepts.
pub fn accepted(schema: &Value) -> String {
    if let Some(items) = schema.get("items") {
        return format!("a list, each {}", accepted(items));
    }
    let accepted = expected(&Value::Array(Vec::new()), schema).unwrap_or_default();
    if types(schema).any(|kind| kind == "null") {
        return format!("{accepted}, or null");
    }
    accepted
}

/// Describes the format that the schema expects of a text.
pub fn format_name(schema: &Value) -> &'static str {
    match schema.get("format").and_then(Value::as_str) {
        Some("socket-address") => "an address such as \"127.0.0.1:8000\" or \"[::1]:8000\"",
        Some("http-address") => "an address such as \"http://127.0.0.1:7000\"",
        Some("name") => "a name of 1 to 63 of a-z, 0-9 and -",
        _ => "a text",
    }
}

/// Returns whether the text is `http://IP:PORT`.
fn is_http_address(text: &str) -> bool {
    text.strip_prefix("http://")
        .is_some_and(|rest| rest.parse::<SocketAddr>().is_ok())
}

/// Returns whether the text is a valid name of an entry or a zone.
fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=63).contains(&text.len()) && text.bytes().all(is_allowed)
}
