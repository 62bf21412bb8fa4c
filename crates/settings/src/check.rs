//! Validates a settings file against the schema and reports every fault with its line.

use std::collections::BTreeMap;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ParseResult;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;
use serde_json::Value;

use crate::expect::expected;
use crate::fault::Fault;
use crate::schema::join;

/// Minimum Jaro-Winkler similarity for "did you mean", 0 to 1: the usual bound, which admits one or two wrong
/// letters in a name.
const MIN_SIMILARITY: f64 = 0.8;

/// Result of checking one file.
#[derive(Debug, Default)]
pub struct Findings {
    /// Faults that prevent a start.
    pub faults: Vec<Fault>,
    /// Unknown names; not faults, so that an older version starts with a newer file.
    pub warnings: Vec<Fault>,
    /// Line of each option that is set.
    pub lines: BTreeMap<String, usize>,
    /// The valid part of the settings.
    pub value: Value,
}

/// Parses JSON with comments and trailing commas, and no other extensions.
pub fn parse<'a>(file: &str, text: &'a str) -> Result<ParseResult<'a>, Fault> {
    let options = ParseOptions {
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
        ..ParseOptions::default()
    };
    parse_to_ast(text, &CollectOptions::default(), &options).map_err(|error| Fault {
        line: error.line_display(),
        ..Fault::whole(file, error.kind().to_string())
    })
}

/// Checks the parsed file against the schema.
pub fn check(file: &str, text: &str, root: Option<&ast::Value<'_>>, schema: &Value) -> Findings {
    let mut checker = Checker {
        file,
        text,
        findings: Findings::default(),
    };
    checker.findings.value = match root {
        Some(node) => checker.check_value(node, schema, "").unwrap_or_default(),
        None => Value::Object(serde_json::Map::new()),
    };
    checker.findings
}

/// State of one check.
struct Checker<'a> {
    file: &'a str,
    text: &'a str,
    findings: Findings,
}

impl Checker<'_> {
    /// Checks one value; returns it as JSON if it is valid.
    fn check_value(&mut self, node: &ast::Value<'_>, schema: &Value, name: &str) -> Option<Value> {
        let schema = variant(node, schema);
        if schema.get("properties").is_some() {
            return self.check_object(node, schema, name);
        }
        if let Some(subschema) = schema.get("items") {
            return self.check_list(node, subschema, name);
        }
        let value = to_json(node);
        match expected(&value, schema) {
            None => Some(value),
            Some(expected) => {
                let message = format!("expected {expected}, found {}", describe(node));
                self.add_fault(node.start(), name, message);
                None
            }
        }
    }

    /// Checks the properties of an object.
    fn check_object(&mut self, node: &ast::Value<'_>, schema: &Value, name: &str) -> Option<Value> {
        let ast::Value::Object(object) = node else {
            let message = format!("expected an object, found {}", describe(node));
            self.add_fault(node.start(), name, message);
            return None;
        };
        let known = schema.get("properties").and_then(Value::as_object)?;
        let mut valid = serde_json::Map::new();
        for property in &object.properties {
            let key = property.name.as_str();
            let option = join(name, key);
            let line = self.line_at(property.start());
            if key == "$schema" && name.is_empty() {
                continue;
            }
            let Some(subschema) = known.get(key) else {
                let suggestion = nearest(key, known.keys().map(String::as_str));
                self.add_warning(line, option, suggestion);
                continue;
            };
            if self.findings.lines.insert(option.clone(), line).is_some() {
                self.add_fault(property.start(), &option, "it is set twice".to_owned());
            }
            if let Some(value) = self.check_value(&property.value, subschema, &option) {
                valid.insert(key.to_owned(), value);
            }
        }
        for key in names(schema, "required") {
            let option = join(name, key);
            if object.get(key).is_none() {
                self.add_fault(node.start(), &option, "it must be set".to_owned());
            }
        }
        Some(Value::Object(valid))
    }

    /// Checks the elements of a list.
    fn check_list(
        &mut self,
        node: &ast::Value<'_>,
        subschema: &Value,
        name: &str,
    ) -> Option<Value> {
        let ast::Value::Array(array) = node else {
            let message = format!("expected a list, found {}", describe(node));
            self.add_fault(node.start(), name, message);
            return None;
        };
        let mut valid = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            let option = format!("{name}[{index}]");
            let line = self.line_at(element.start());
            self.findings.lines.insert(option.clone(), line);
            valid.extend(self.check_value(element, subschema, &option));
        }
        Some(Value::Array(valid))
    }

    /// Records a fault at a byte offset of the file.
    fn add_fault(&mut self, offset: usize, option: &str, message: String) {
        let fault = Fault {
            file: self.file.to_owned(),
            line: self.line_at(offset),
            option: option.to_owned(),
            message,
            did_you_mean: None,
        };
        self.findings.faults.push(fault);
    }

    /// Records an unknown name.
    fn add_warning(&mut self, line: usize, option: String, suggestion: Option<String>) {
        self.findings.warnings.push(Fault {
            file: self.file.to_owned(),
            line,
            option,
            message: "no such option".to_owned(),
            did_you_mean: suggestion,
        });
    }

    /// Returns the line of a byte offset, starting at 1.
    fn line_at(&self, offset: usize) -> usize {
        let before = self.text.as_bytes().iter().take(offset);
        1 + before.filter(|byte| **byte == b'\n').count()
    }
}

/// Returns the known name most similar to `name`, if one is similar enough.
pub fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    known
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate.to_owned())
}

/// Returns the variant of a tagged union that matches the value's `type`, or the schema itself.
fn variant<'s>(node: &ast::Value<'_>, schema: &'s Value) -> &'s Value {
    let Some(variants) = schema.get("oneOf").and_then(Value::as_array) else {
        return schema;
    };
    let object = node.as_object();
    let tag = object.and_then(|object| object.get_string("type"));
    let tag = tag.map(|tag| tag.value.as_ref());
    let named = |variant: &&Value| {
        let known = variant.pointer("/properties/type/const");
        known.is_some() && known.and_then(Value::as_str) == tag
    };
    variants.iter().find(named).unwrap_or(schema)
}

/// Returns a list of names in the schema.
fn names<'s>(schema: &'s Value, list: &str) -> impl Iterator<Item = &'s str> {
    let names = schema.get(list).and_then(Value::as_array);
    names.into_iter().flatten().filter_map(Value::as_str)
}

/// Converts the value to JSON.
fn to_json(node: &ast::Value<'_>) -> Value {
    match node {
        ast::Value::StringLit(text) => Value::String(text.value.clone().into_owned()),
        ast::Value::NumberLit(number) => number.value.parse().map_or(Value::Null, Value::Number),
        ast::Value::BooleanLit(flag) => Value::Bool(flag.value),
        ast::Value::Array(array) => Value::Array(array.elements.iter().map(to_json).collect()),
        ast::Value::Object(_) | ast::Value::NullKeyword(_) => Value::Null,
    }
}

/// Describes a value for a message. Texts aren't repeated, since one of them may be a key.
fn describe(node: &ast::Value<'_>) -> String {
    match node {
        ast::Value::StringLit(_) => "another text".to_owned(),
        ast::Value::NumberLit(number) => number.value.to_owned(),
        ast::Value::BooleanLit(flag) => flag.value.to_string(),
        ast::Value::Object(_) => "an object".to_owned(),
        ast::Value::Array(_) => "a list".to_owned(),
        ast::Value::NullKeyword(_) => "null".to_owned(),
    }
}
