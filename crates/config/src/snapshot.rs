//! One immutable version of the whole configuration.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;

use crate::deployment::Account;
use crate::deployment::Deployment;

/// The configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Snapshot {
    /// Rises by one with each committed change; 0 is the empty configuration.
    pub version: u64,
    /// All client accounts, sorted by name.
    pub accounts: Vec<Account>,
    /// All deployments, sorted by name.
    pub deployments: Vec<Deployment>,
}

impl Snapshot {
    /// Returns the account with this name.
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.accounts.iter().find(|account| account.name == name)
    }

    /// Returns the deployment with this name.
    pub fn deployment(&self, name: &str) -> Option<&Deployment> {
        self.deployments.iter().find(|item| item.name == name)
    }
}

/// Returns the SHA-256 of a key as lower-case hexadecimal, the only form in which keys are stored.
pub fn hash_key(key: &str) -> SmolStr {
    let digest = Sha256::digest(key.as_bytes());
    let mut text = String::with_capacity(64);
    for byte in digest.iter() {
        text.push_str(&format!("{byte:02x}"));
    }
    SmolStr::from(text)
}
