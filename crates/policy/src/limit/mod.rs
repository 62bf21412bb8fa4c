//! Account limits that hold over all entries, without a coordinator.
//!
//! Load pattern: an account with a limit sends through several entries, or all through one. Limits kept
//! by each entry alone let it have eight times its limit, or an eighth.
//!
//! Entries tell each other in digests what each account asked of them, and what part of its limit they
//! claim. Shares follow that demand. What keeps the sum within the limit:
//! - A share is lowered at once, but raised only one period after the raise was told, and only as far as
//!   the claims heard meanwhile leave room. Two entries that raise at the same time have by then heard of
//!   each other, if news takes less than half a period.
//! - A peer that isn't heard for [`Config::peer_timeout`] is counted with at least its equal part; an entry
//!   that hears nobody for so long falls back to just that.
//! - An entry that claims nothing keeps a floor, so that an account's first request is not refused.
//!   A limit on open requests that is smaller than the number of entries leaves no floor: there the
//!   first request at an entry is told to come back two periods later, when the claim is in force.
//!
//! Jobs that an account holds open when its share falls stay open: until they end they are part of the
//! claim.

mod account;
mod digest;

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::account::Key;
use crate::account::Spec;
use crate::configs::limit::Config;
use crate::fair::Cost;
use crate::limit::account::Account;

pub use crate::limit::digest::Claim;
pub use crate::limit::digest::Digest;

/// Share of a period from which on a digest counts as the next period's: timers are a little off.
const EARLY: f64 = 0.8;

/// The limits of one entry.
#[derive(Debug)]
pub struct Limits {
    settings: Config,
    entries: u32,
    accounts: BTreeMap<u64, Account>,
    names: BTreeMap<Key, u64>,
    peers: BTreeMap<u64, Peer>,
    told: Digest,
    reviewed: Time,
}

/// What a peer told last.
#[derive(Debug)]
struct Peer {
    heard: Time,
    claims: BTreeMap<u64, Claim>,
}

/// What peers claim of one account's limit, added up.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Others {
    /// Entries whose news is fresh, without this one.
    pub fresh: u32,
    /// Tokens a second asked of the fresh ones.
    pub demand: f64,
    /// Requests open or wanted at the fresh ones.
    pub wanted: f64,
    /// Tokens a second that all others may use, silent ones included.
    pub tokens: f64,
    /// Open requests that all others may hold, silent ones included.
    pub open: u32,
}

impl Limits {
    /// Limits without accounts and peers.
    pub fn new(settings: Config) -> Limits {
        Limits {
            settings,
            entries: settings.entries.max(1),
            accounts: BTreeMap::new(),
            names: BTreeMap::new(),
            peers: BTreeMap::new(),
            told: Digest::default(),
            reviewed: Time::ZERO,
        }
    }

    /// How many entries share each limit, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Adds an account or changes it.
    pub fn set_account(&mut self, key: Key, spec: &Spec) {
        let name = xxh3_64(spec.name.as_bytes());
        self.names.insert(key, name);
        if spec.tokens_per_second == 0 && spec.concurrent == 0 {
            self.accounts.remove(&name);
            return;
        }
        let entries = self.entries;
        self.accounts
            .entry(name)
            .or_insert_with(|| Account::new(spec, entries))
            .set_spec(spec, entries);
    }

    /// Admits a job of that cost, or says when to come back.
    pub fn admit(&mut self, now: Time, key: Key, cost: Cost) -> Result<(), Span> {
        let settings = self.settings;
        if !settings.enabled {
            return Ok(());
        }
        match self.account(key) {
            Some(account) => account.admit(&settings, now, cost),
            None => Ok(()),
        }
    }

    /// A job was taken over from another entry, which had admitted it.
    pub fn take_over(&mut self, key: Key, cost: Cost) {
        if let Some(account) = self.account(key) {
            account.hold(cost);
        }
    }

    /// A job ended that had been admitted at `estimated`.
    pub fn release(&mut self, key: Key, estimated: Cost, actual: Cost) {
        if let Some(account) = self.account(key) {
            account.release(estimated, actual);
        }
    }

    /// What to tell the peers; call it once a [`Config::period`], or in between for the same again.
    pub fn digest(&mut self, now: Time) -> Digest {
        if now.since(self.reviewed) < self.settings.period.scaled(EARLY) {
            return self.told.clone();
        }
        self.reviewed = now;
        let others: BTreeMap<u64, Others> = self
            .accounts
            .keys()
            .map(|name| (*name, self.others(now, *name)))
            .collect();
        let mut claims = Vec::new();
        for (name, account) in &mut self.accounts {
            let told = self.told.find(*name).is_some();
            account.review(&self.settings, self.entries, &others[name], told);
            claims.extend(account.claim(*name));
        }
        self.told = Digest::bounded(claims, self.settings.max_claims);
        self.told.clone()
    }

    /// Takes in what a peer told.
    pub fn merge(&mut self, now: Time, peer: u64, digest: &Digest) {
        let claims = digest
            .claims
            .iter()
            .map(|claim| (claim.name, *claim))
            .collect();
        self.peers.insert(peer, Peer { heard: now, claims });
        let forget = self.settings.peer_timeout.times(2);
        self.peers.retain(|_, peer| now.since(peer.heard) < forget);
    }

    /// Tokens a second and open requests that this entry may give the account now.
    pub fn share(&self, key: Key) -> Option<(f64, u32)> {
        let account = self.accounts.get(self.names.get(&key)?)?;
        Some(account.share())
    }

    fn account(&mut self, key: Key) -> Option<&mut Account> {
        self.accounts.get_mut(self.names.get(&key)?)
    }

    /// Adds up the claims on one account.
    fn others(&self, now: Time, name: u64) -> Others {
        let Some(account) = self.accounts.get(&name) else {
            return Others::default();
        };
        let equal = account.equal(self.entries);
        let floor = account.floor(&self.settings, self.entries);
        let mut others = Others::default();
        for peer in self.peers.values() {
            let claim = peer.claims.get(&name);
            let mut least = floor;
            if now.since(peer.heard) < self.settings.peer_timeout {
                others.fresh += 1;
                others.demand += claim.map_or(0.0, |claim| claim.demand);
                others.wanted += claim.map_or(0.0, |claim| claim.wanted);
            } else {
                least = equal;
            }
            others.tokens += claim.map_or(0.0, |claim| claim.tokens).max(least.0);
            others.open += claim.map_or(0, |claim| claim.open).max(least.1);
        }
        let unknown = (self.entries - 1).saturating_sub(self.peers.len() as u32);
        others.tokens += equal.0 * f64::from(unknown);
        others.open += equal.1 * unknown;
        others
    }
}
