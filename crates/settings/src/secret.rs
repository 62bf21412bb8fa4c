//! A key that is never shown in logs or printed settings.

use std::borrow::Cow;
use std::fmt;

use schemars::JsonSchema;
use schemars::Schema;
use schemars::SchemaGenerator;
use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use smol_str::SmolStr;

/// Placeholder shown instead of a key.
const HIDDEN: &str = "(hidden)";

/// A key. Formatting or serializing it shows only whether one is set.
#[derive(Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(SmolStr);

impl Secret {
    /// Wraps a key.
    pub fn new(key: impl Into<SmolStr>) -> Secret {
        Secret(key.into())
    }

    /// Returns the key itself.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns whether no key is set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the placeholder if a key is set.
    fn redacted(&self) -> &'static str {
        if self.is_empty() { "" } else { HIDDEN }
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.redacted())
    }
}

impl Serialize for Secret {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.redacted())
    }
}

impl JsonSchema for Secret {
    fn inline_schema() -> bool {
        true
    }

    fn schema_name() -> Cow<'static, str> {
        Cow::Borrowed("Secret")
    }

    fn json_schema(generator: &mut SchemaGenerator) -> Schema {
        String::json_schema(generator)
    }
}
