//! A small JSON reader and writer for the bodies of the stand-ins.

use std::collections::BTreeMap;
use std::fmt;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Map(BTreeMap<String, Value>),
}

impl Value {
    /// Returns a field of a map, or null.
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Map(fields) => fields.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    /// Returns the text, or an empty one.
    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    /// Returns the number as an integer, or 0.
    pub fn number(&self) -> u64 {
        match self {
            Value::Number(number) => *number as u64,
            _ => 0,
        }
    }

    /// Returns the entries of a list, or none.
    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(entries) => entries,
            _ => &[],
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Null => write!(formatter, "null"),
            Value::Bool(value) => write!(formatter, "{value}"),
            Value::Number(number) => write!(formatter, "{number}"),
            Value::Text(text) => write!(formatter, "{}", quoted(text)),
            Value::List(entries) => {
                let entries: Vec<String> = entries.iter().map(Value::to_string).collect();
                write!(formatter, "[{}]", entries.join(","))
            }
            Value::Map(fields) => {
                let fields = fields.iter();
                let fields: Vec<String> = fields
                    .map(|(name, value)| format!("{}:{value}", quoted(name)))
                    .collect();
                write!(formatter, "{{{}}}", fields.join(","))
            }
        }
    }
}

/// Returns text as a JSON string.
pub fn quoted(text: &str) -> String {
    let escaped = text.replace('\\', "\\\\").replace('"', "\\\"");
    format!("\"{}\"", escaped.replace('\n', "\\n"))
}

/// Parses a document; `None` if it is malformed.
pub fn parse(text: &str) -> Option<Value> {
    let mut reader = Reader {
        bytes: text.as_bytes(),
        at: 0,
    };
    reader.value()
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, wanted: u8) -> Option<()> {
        (self.peek()? == wanted).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        found.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => self.map(),
            b'[' => self.list(),
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn map(&mut self) -> Option<Value> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        while self.peek()? != b'}' {
            let name = self.string()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Value::Map(fields))
    }

    fn list(&mut self) -> Option<Value> {
        self.take(b'[')?;
        let mut entries = Vec::new();
        while self.peek()? != b']' {
            entries.push(self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Value::List(entries))
    }

    fn number(&mut self) -> Option<Value> {
        let rest = &self.bytes[self.at..];
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        let length = rest.iter().take_while(|byte| is_part(byte)).count();
        let text = std::str::from_utf8(&rest[..length]).ok()?;
        self.at += length;
        text.parse().ok().map(Value::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => self.escape(&mut text)?,
                byte => text.push(byte),
            }
        }
    }

    fn escape(&mut self, text: &mut Vec<u8>) -> Option<()> {
        let byte = *self.bytes.get(self.at)?;
        self.at += 1;
        match byte {
            b'n' => text.push(b'\n'),
            b't' => text.push(b'\t'),
            b'r' => text.push(b'\r'),
            b'u' => {
                let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                self.at += 4;
                let code = u32::from_str_radix(digits, 16).ok()?;
                let character = char::from_u32(code)?;
                text.extend_from_slice(character.to_string().as_bytes());
            }
            other => text.push(other),
        }
        Some(())
    }
}

/// Returns bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            let is_padding = place > chunk.len();
            text.push(if is_padding { '=' } else { char::from(digit) });
        }
    }
    text
}
