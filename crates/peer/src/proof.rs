//! How an entry proves that it is one.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 16;

/// Which side a proof is of; a proof of one side is worth nothing for the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Caller,
    /// The side that accepted it.
    Callee,
}

/// The common key, for proofs.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// The key of the settings.
    pub fn new(text: &str) -> Key {
        Key(text.as_bytes().to_vec())
    }

    /// A side's proof over both nonces.
    pub fn prove(&self, side: Side, caller: &[u8], callee: &[u8]) -> Vec<u8> {
        match self.mac(side, caller, callee) {
            Some(mac) => mac.finalize().into_bytes().to_vec(),
            None => Vec::new(),
        }
    }

    /// Whether a proof is right; compared in constant time.
    pub fn check(&self, side: Side, caller: &[u8], callee: &[u8], proof: &[u8]) -> bool {
        self.mac(side, caller, callee)
            .is_some_and(|mac| mac.verify_slice(proof).is_ok())
    }

    /// The authentication code over side and nonces.
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

/// A nonce that was never used before.
pub fn nonce() -> Result<[u8; NONCE_BYTES], capnp::Error> {
    let mut bytes = [0; NONCE_BYTES];
    getrandom::fill(&mut bytes)
        .map_err(|error| capnp::Error::failed(format!("no randomness: {error}")))?;
    Ok(bytes)
}
