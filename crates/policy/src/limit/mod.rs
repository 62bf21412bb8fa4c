//! Account limits that hold over all entries, without a coordinator.
//!
//! Guards against an account that sends through several entries, or only through one: limits kept
//! by each entry alone would grant it eight times its limit, or an eighth of it.
//!
//! Entries exchange digests of each account's demand and of the part of its limit that they claim.
//! Shares follow that demand. The sum stays within the limit because of these rules:
//! - A share is lowered immediately, but raised only one period after the raise was published, and
//!   only as far as the claims received meanwhile leave room. Two entries that raise at the same
//!   time have received each other's claim by then, if a digest takes less than half a period to
//!   arrive.
//! - A peer without a digest for [`Config::peer_timeout`] is counted with at least its equal share;
//!   an entry that has received no digest for as long falls back to its own equal share.
//! - An entry without a claim keeps a floor, so that an account's first request isn't refused. A
//!   limit on open requests that is smaller than the number of entries leaves no floor: there the
//!   first request at an entry is asked to retry two periods later, when the claim is in force.
//!
//! Jobs that an account has open when its share falls stay open, and are part of the claim until
//! they end.

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

/// Fraction of a period after which a digest counts as the next period's, since timers are
/// imprecise.
const EARLY_FRACTION: f64 = 0.8;

/// Account limits at one entry.
#[derive(Debug)]
pub struct Limits {
    settings: Config,
    entries: u32,
    accounts: BTreeMap<u64, Account>,
    names: BTreeMap<Key, u64>,
    peers: BTreeMap<u64, Peer>,
    published: Digest,
    reviewed_at: Time,
}

/// Latest digest of a peer.
#[derive(Debug)]
struct Peer {
    received_at: Time,
    claims: BTreeMap<u64, Claim>,
}

/// Sum of the peers' claims on one account.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Others {
    /// Number of peers with a recent digest.
    pub fresh: u32,
    /// Tokens per second offered to the peers with a recent digest.
    pub demand: f64,
    /// Requests open or refused at the peers with a recent digest.
    pub wanted: f64,
    /// Tokens per second that all other entries may grant, stale ones included.
    pub tokens: f64,
    /// Open requests that all other entries may hold, stale ones included.
    pub open: u32,
}

impl Limits {
    /// Creates limits without accounts and peers.
    pub fn new(settings: Config) -> Limits {
        Limits {
            settings,
            entries: settings.entries.max(1),
            accounts: BTreeMap::new(),
            names: BTreeMap::new(),
            peers: BTreeMap::new(),
            published: Digest::default(),
            reviewed_at: Time::ZERO,
        }
    }

    /// Sets how many entries share each limit, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Adds or updates an account.
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

    /// Admits a job of that cost, or returns the time after which to retry.
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

    /// Counts a job that was taken over from another entry, which had admitted it.
    pub fn take_over(&mut self, key: Key, cost: Cost) {
        if let Some(account) = self.account(key) {
            account.hold(cost);
        }
    }

    /// Releases a job that was admitted at the cost `estimated`.
    pub fn release(&mut self, key: Key, estimated: Cost, actual: Cost) {
        if let Some(account) = self.account(key) {
            account.release(estimated, actual);
        }
    }

    /// Returns the digest to send to the peers. It changes at most once per [`Config::period`].
    pub fn digest(&mut self, now: Time) -> Digest {
        if now.since(self.reviewed_at) < self.settings.period.scaled(EARLY_FRACTION) {
            return self.published.clone();
        }
        self.reviewed_at = now;
        let others: BTreeMap<u64, Others> = self
            .accounts
            .keys()
            .map(|name| (*name, self.others(now, *name)))
            .collect();
        let mut claims = Vec::new();
        for (name, account) in &mut self.accounts {
            let published = self.published.find(*name).is_some();
            account.review(&self.settings, self.entries, &others[name], published);
            claims.extend(account.claim(*name));
        }
        self.published = Digest::bounded(claims, self.settings.max_claims);
        self.published.clone()
    }

    /// Merges a peer's digest.
    pub fn merge(&mut self, now: Time, peer: u64, digest: &Digest) {
        let claims = digest
            .claims
            .iter()
            .map(|claim| (claim.name, *claim))
            .collect();
        self.peers.insert(
            peer,
            Peer {
                received_at: now,
                claims,
            },
        );
        let expiry = self.settings.peer_timeout.times(2);
        self.peers
            .retain(|_, peer| now.since(peer.received_at) < expiry);
    }

    /// Returns the tokens per second and the open requests that this entry may grant the account
    /// now.
    pub fn share(&self, key: Key) -> Option<(f64, u32)> {
        let account = self.accounts.get(self.names.get(&key)?)?;
        Some(account.share())
    }

    fn account(&mut self, key: Key) -> Option<&mut Account> {
        self.accounts.get_mut(self.names.get(&key)?)
    }

    /// Sums the peers' claims on one account.
    fn others(&self, now: Time, name: u64) -> Others {
        let Some(account) = self.accounts.get(&name) else {
            return Others::default();
        };
        let equal = account.equal_share(self.entries);
        let floor = account.floor(&self.settings, self.entries);
        let mut others = Others::default();
        for peer in self.peers.values() {
            let claim = peer.claims.get(&name);
            let mut minimum = floor;
            if now.since(peer.received_at) < self.settings.peer_timeout {
                others.fresh += 1;
                others.demand += claim.map_or(0.0, |claim| claim.demand);
                others.wanted += claim.map_or(0.0, |claim| claim.wanted);
            } else {
                minimum = equal;
            }
            others.tokens += claim.map_or(0.0, |claim| claim.tokens).max(minimum.0);
            others.open += claim.map_or(0, |claim| claim.open).max(minimum.1);
        }
        let unknown = (self.entries - 1).saturating_sub(self.peers.len() as u32);
        others.tokens += equal.0 * f64::from(unknown);
        others.open += equal.1 * unknown;
        others
    }
}
