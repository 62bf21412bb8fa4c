//! One immutable version of the whole configuration.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use crate::deployment::Account;
use crate::deployment::Deployment;
use crate::deployment::Grant;

/// The configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Snapshot {
    /// Rises by one with each accepted change; 0 is the empty configuration.
    pub version: u64,
    /// All client accounts, by name.
    pub accounts: Vec<Account>,
    /// All deployments, by name.
    pub deployments: Vec<Deployment>,
}

impl Snapshot {
    /// The account whose key this is.
    ///
    /// Compares every hash in constant time, so that the time taken tells nothing of a key.
    pub fn account_by_key(&self, key: &str) -> Option<&Account> {
        let hash = hash_key(key);
        let mut found = None;
        for account in &self.accounts {
            for known in &account.key_hashes {
                if bool::from(known.as_bytes().ct_eq(hash.as_bytes())) {
                    found = Some(account);
                }
            }
        }
        found
    }

    /// The account of that name.
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.accounts.iter().find(|account| account.name == name)
    }

    /// The deployment of that name.
    pub fn deployment(&self, name: &str) -> Option<&Deployment> {
        self.deployments.iter().find(|item| item.name == name)
    }

    /// What `deployment` promised `account`, if it may call it at all.
    pub fn grant(&self, deployment: &str, account: &str) -> Option<&Grant> {
        let deployment = self.deployment(deployment)?;
        deployment
            .grants
            .iter()
            .find(|grant| grant.account == account)
    }
}

/// SHA-256 of a key as lower-case hexadecimal: the only form in which a key is kept.
pub fn hash_key(key: &str) -> SmolStr {
    let digest = Sha256::digest(key.as_bytes());
    let mut text = String::with_capacity(64);
    for byte in digest.iter() {
        text.push_str(&format!("{byte:02x}"));
    }
    SmolStr::from(text)
}
