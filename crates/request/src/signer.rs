//! Signed tokens that callers carry between entries and can't change.
//!
//! Without a signature a caller could forge the token of another account's stream and read its answer.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;

/// Purpose of resume tokens.
pub const RESUME_PURPOSE: &str = "resume";

/// Purpose of tickets.
pub const TICKET_PURPOSE: &str = "ticket";

/// Number of bytes of the authentication code that are kept.
const MAC_BYTES: usize = 16;

/// Signs and verifies tokens with a key that all entries share.
#[derive(Clone)]
pub struct Signer {
    key: Vec<u8>,
}

impl Signer {
    /// Creates a signer with the entries' shared key for one purpose.
    ///
    /// Tokens signed for one purpose don't verify for another.
    pub fn new(shared_key: &str, purpose: &str) -> Signer {
        Signer {
            key: [purpose.as_bytes(), b"\0", shared_key.as_bytes()].concat(),
        }
    }

    /// Returns the signed token of a value, in hexadecimal and so safe in a header.
    pub fn sign<T: Serialize>(&self, value: &T) -> String {
        let body = serde_json::to_vec(value).unwrap_or_default();
        let mut text = encode_hex(&self.mac(&body));
        text.push_str(&encode_hex(&body));
        text
    }

    /// Returns the value of a token if it is intact and was signed with the same key and purpose.
    pub fn verify<T: DeserializeOwned>(&self, text: &str) -> Option<T> {
        let bytes = decode_hex(text)?;
        if bytes.len() < MAC_BYTES {
            return None;
        }
        let (mac_bytes, body) = bytes.split_at(MAC_BYTES);
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).ok()?;
        mac.update(body);
        mac.verify_truncated_left(mac_bytes).ok()?;
        serde_json::from_slice(body).ok()
    }

    /// Returns the truncated authentication code of a body.
    fn mac(&self, body: &[u8]) -> [u8; MAC_BYTES] {
        let mut truncated = [0; MAC_BYTES];
        if let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&self.key) {
            mac.update(body);
            truncated.copy_from_slice(&mac.finalize().into_bytes()[..MAC_BYTES]);
        }
        truncated
    }
}

/// Encodes bytes as lower-case hexadecimal.
fn encode_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 15)]));
    }
    text
}

/// Decodes hexadecimal text; `None` if it is malformed.
fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|index| u8::from_str_radix(&text[index..index + 2], 16).ok())
        .collect()
}
