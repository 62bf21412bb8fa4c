//! The configuration in force, indexed for request lookups.

use std::collections::BTreeMap;

use config::deployment::Account;
use config::deployment::Deployment;
use config::deployment::Grant;
use config::snapshot::Snapshot;
use config::snapshot::hash_key;
use policy::account;
use policy::pool;
use smol_str::SmolStr;

/// The configuration in force, with indexes.
///
/// Bearer keys are looked up by their SHA-256, so that lookup times reveal nothing about how close a
/// guessed key was.
#[derive(Debug, Default)]
pub struct Catalog {
    snapshot: Snapshot,
    by_key_hash: BTreeMap<SmolStr, usize>,
    by_deployment: BTreeMap<SmolStr, usize>,
    /// Index of a grant, by deployment and account.
    by_grant: BTreeMap<SmolStr, BTreeMap<SmolStr, usize>>,
    /// Kept across versions, so that a key always refers to the same account.
    accounts: BTreeMap<SmolStr, account::Key>,
    /// Kept across versions, so that a key always refers to the same pool.
    pools: BTreeMap<SmolStr, pool::Key>,
}

impl Catalog {
    /// Replaces the configuration; returns false and ignores it unless its version is newer.
    ///
    /// Prevents a revert by a late answer of the table service or by a stale peer.
    pub fn apply(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.version <= self.snapshot.version {
            return false;
        }
        self.by_key_hash.clear();
        self.by_deployment.clear();
        self.by_grant.clear();
        for (index, account) in snapshot.accounts.iter().enumerate() {
            for hash in &account.key_hashes {
                self.by_key_hash.insert(hash.clone(), index);
            }
            let next = account::Key(self.accounts.len() as u32);
            self.accounts.entry(account.name.clone()).or_insert(next);
        }
        for (index, deployment) in snapshot.deployments.iter().enumerate() {
            self.by_deployment.insert(deployment.name.clone(), index);
            let grants = deployment.grants.iter().enumerate();
            let grants = grants.map(|(index, grant)| (grant.account.clone(), index));
            self.by_grant
                .insert(deployment.name.clone(), grants.collect());
            self.intern_pool_key(&deployment.pool);
        }
        self.snapshot = snapshot;
        true
    }

    /// Returns the configuration in force.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the version in force, or 0 before the first.
    pub fn version(&self) -> u64 {
        self.snapshot.version
    }

    /// Returns the account of a bearer key.
    pub fn account_by_key(&self, key: &str) -> Option<&Account> {
        let index = *self.by_key_hash.get(&hash_key(key))?;
        self.snapshot.accounts.get(index)
    }

    /// Returns a deployment by name.
    pub fn deployment(&self, name: &str) -> Option<&Deployment> {
        let index = *self.by_deployment.get(name)?;
        self.snapshot.deployments.get(index)
    }

    /// Returns the grant of a deployment to an account.
    pub fn grant(&self, deployment: &str, account: &str) -> Option<&Grant> {
        let index = self.by_grant.get(deployment)?.get(account)?;
        self.deployment(deployment)?.grants.get(*index)
    }

    /// Returns an account's key in the scheduler.
    pub fn account_key(&self, name: &str) -> Option<account::Key> {
        self.accounts.get(name).copied()
    }

    /// Returns the keys and scheduler specs of all accounts.
    pub fn account_specs(&self) -> Vec<(account::Key, account::Spec)> {
        let accounts = self.snapshot.accounts.iter();
        accounts
            .filter_map(|account| {
                let key = self.account_key(&account.name)?;
                Some((key, spec_of(account)))
            })
            .collect()
    }

    /// Returns a pool's key in the scheduler, creating it if needed.
    pub fn intern_pool_key(&mut self, name: &SmolStr) -> pool::Key {
        let next = pool::Key(self.pools.len() as u32);
        *self.pools.entry(name.clone()).or_insert(next)
    }

    /// Returns the key of a known pool.
    pub fn known_pool_key(&self, name: &str) -> Option<pool::Key> {
        self.pools.get(name).copied()
    }
}

/// Converts an account to its scheduler spec.
fn spec_of(account: &Account) -> account::Spec {
    account::Spec {
        name: account.name.clone(),
        weight: account.weight.max(1),
        priority: account.priority,
        tokens_per_second: account.tokens_per_second,
        concurrent: account.concurrent,
    }
}
