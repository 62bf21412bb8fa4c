//! Sealed words: text that callers carry between entries and can neither read into nor change.
//!
//! Without a seal a caller could forge the word of another account's stream and read its answer.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;

/// Purpose of resume words.
pub const RESUME_PURPOSE: &str = "resume";

/// Purpose of tickets.
pub const TICKET_PURPOSE: &str = "ticket";

/// Bytes of the authentication code that are kept.
const CODE_BYTES: usize = 16;

/// Seals and opens words under a key that all entries share.
#[derive(Clone)]
pub struct Signer {
    key: Vec<u8>,
}

impl Signer {
    /// A seal under the entries' shared key, for one purpose.
    ///
    /// Words sealed for one purpose don't open for another.
    pub fn new(shared_key: &str, purpose: &str) -> Signer {
        Signer {
            key: [purpose.as_bytes(), b"\0", shared_key.as_bytes()].concat(),
        }
    }

    /// The sealed form of a word: hexadecimal, safe in a header.
    pub fn sign<T: Serialize>(&self, word: &T) -> String {
        let body = serde_json::to_vec(word).unwrap_or_default();
        let mut text = encode_hex(&self.code(&body));
        text.push_str(&encode_hex(&body));
        text
    }

    /// The word, if the seal is whole and of the same key and purpose.
    pub fn verify<T: DeserializeOwned>(&self, text: &str) -> Option<T> {
        let bytes = decode_hex(text)?;
        if bytes.len() < CODE_BYTES {
            return None;
        }
        let (code, body) = bytes.split_at(CODE_BYTES);
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).ok()?;
        mac.update(body);
        mac.verify_truncated_left(code).ok()?;
        serde_json::from_slice(body).ok()
    }

    /// The truncated authentication code of a body.
    fn code(&self, body: &[u8]) -> [u8; CODE_BYTES] {
        let mut code = [0; CODE_BYTES];
        if let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&self.key) {
            mac.update(body);
            code.copy_from_slice(&mac.finalize().into_bytes()[..CODE_BYTES]);
        }
        code
    }
}

/// Lower-case hexadecimal of some bytes.
fn encode_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 15)]));
    }
    text
}

/// The bytes of a hexadecimal text.
fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}
