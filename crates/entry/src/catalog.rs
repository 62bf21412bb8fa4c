//! The configuration in force, indexed for requests.

use std::collections::BTreeMap;

use config::deployment::Account;
use config::deployment::Deployment;
use config::deployment::Grant;
use config::snapshot::Snapshot;
use config::snapshot::hash_key;
use policy::account;
use policy::pool;
use smol_str::SmolStr;

/// The configuration in force.
///
/// Keys are looked up by their SHA-256, which tells a guesser nothing of how close a guess was.
#[derive(Debug, Default)]
pub struct Catalog {
    snapshot: Snapshot,
    by_key_hash: BTreeMap<SmolStr, usize>,
    by_deployment: BTreeMap<SmolStr, usize>,
    /// By deployment and account.
    by_grant: BTreeMap<SmolStr, BTreeMap<SmolStr, usize>>,
    /// Kept over versions, so that a key always stands for the same account.
    accounts: BTreeMap<SmolStr, account::Key>,
    /// Kept over versions, so that a key always stands for the same pool.
    pools: BTreeMap<SmolStr, pool::Key>,
}

impl Catalog {
    /// Replaces the configuration; versions only rise, an older one is ignored.
    ///
    /// Guards against a revert: a late answer of the store or a stale peer shows as a lower version.
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

    /// The configuration as it stands.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The version in force; 0 before there is any.
    pub fn version(&self) -> u64 {
        self.snapshot.version
    }

    /// The account that a bearer key belongs to.
    pub fn account_by_key(&self, key: &str) -> Option<&Account> {
        let index = *self.by_key_hash.get(&hash_key(key))?;
        self.snapshot.accounts.get(index)
    }

    /// The deployment of that name.
    pub fn deployment(&self, name: &str) -> Option<&Deployment> {
        let index = *self.by_deployment.get(name)?;
        self.snapshot.deployments.get(index)
    }

    /// What a deployment promised an account.
    pub fn grant(&self, deployment: &str, account: &str) -> Option<&Grant> {
        let index = self.by_grant.get(deployment)?.get(account)?;
        self.deployment(deployment)?.grants.get(*index)
    }

    /// The scheduler's key of an account.
    pub fn account_key(&self, name: &str) -> Option<account::Key> {
        self.accounts.get(name).copied()
    }

    /// Accounts with their keys, for the scheduler.
    pub fn account_specs(&self) -> Vec<(account::Key, account::Spec)> {
        let accounts = self.snapshot.accounts.iter();
        accounts
            .filter_map(|account| {
                let key = self.account_key(&account.name)?;
                Some((key, spec_of(account)))
            })
            .collect()
    }

    /// The scheduler's key of a pool.
    pub fn intern_pool_key(&mut self, name: &SmolStr) -> pool::Key {
        let next = pool::Key(self.pools.len() as u32);
        *self.pools.entry(name.clone()).or_insert(next)
    }

    /// The scheduler's key of a pool that is known.
    pub fn known_pool_key(&self, name: &str) -> Option<pool::Key> {
        self.pools.get(name).copied()
    }
}

/// An account as the scheduler wants it.
fn spec_of(account: &Account) -> account::Spec {
    account::Spec {
        name: account.name.clone(),
        weight: account.weight.max(1),
        priority: account.priority,
        tokens_per_second: account.tokens_per_second,
        concurrent: account.concurrent,
    }
}
