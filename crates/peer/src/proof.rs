//! Mutual authentication of entries by HMAC over nonces.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

/// Size of a nonce in bytes.
pub const NONCE_BYTES: usize = 16;

/// Side of a connection; part of the proof, so that one side's proof can't be replayed by the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Caller,
    /// The side that accepted it.
    Callee,
}

/// Shared key of the entries.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// Creates the key from the text in the settings.
    pub fn new(text: &str) -> Key {
        Key(text.as_bytes().to_vec())
    }

    /// Computes a side's proof over both nonces.
    pub fn prove(&self, side: Side, caller: &[u8], callee: &[u8]) -> Vec<u8> {
        match self.mac(side, caller, callee) {
            Some(mac) => mac.finalize().into_bytes().to_vec(),
            None => Vec::new(),
        }
    }

    /// Verifies a proof in constant time.
    pub fn check(&self, side: Side, caller: &[u8], callee: &[u8], proof: &[u8]) -> bool {
        self.mac(side, caller, callee)
            .is_some_and(|mac| mac.verify_slice(proof).is_ok())
    }

    /// Computes the MAC over the side and both nonces.
    fn mac(&self, side: Side, caller: &[u8], callee: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        mac.update(match side {
            Side::Caller => b"caller",
            Side::Callee => b"callee",
        });
        mac.update(caller);
        mac.update(callee);
        Some(mac)
    }
}

/// Generates a random nonce.
pub fn nonce() -> Result<[u8; NONCE_BYTES], capnp::Error> {
    let mut bytes = [0; NONCE_BYTES];
    getrandom::fill(&mut bytes)
        .map_err(|error| capnp::Error::failed(format!("no randomness: {error}")))?;
    Ok(bytes)
}
