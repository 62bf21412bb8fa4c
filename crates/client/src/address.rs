//! Cache of entry addresses and the choice of an entry.

use std::collections::HashMap;

use clock::Span;
use clock::Time;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use smol_str::SmolStr;

/// Most prefix keys with cached addresses; the cache is cleared when it is full.
const MAX_CACHED_KEYS: usize = 256;

/// How long an entry is avoided after a failure, unless a successful response clears it earlier.
const FAILURE_EXPIRY: Span = Span::from_seconds(5);

/// Response of an entry to `GET /v1/addresses`.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Addresses {
    /// Entries to use; if the request had a prefix key, its owner comes first.
    pub addresses: Vec<Entry>,
    /// Time to live of the response, milliseconds.
    pub ttl_ms: u64,
    /// Tickets for non-idempotent calls.
    #[serde(default)]
    pub tickets: Vec<SmolStr>,
}

/// One entry in an address response.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Entry {
    /// Address on which it listens.
    pub address: SmolStr,
    /// Availability zone of the entry.
    #[serde(default)]
    pub zone: SmolStr,
    /// Relative share of callers that it should receive.
    #[serde(default)]
    pub weight: u32,
}

/// Cached addresses, failed entries and unused tickets.
pub struct Book {
    /// Entries to query: the configured ones, then those of the newest response.
    known: Vec<SmolStr>,
    /// Number of configured entries at the front of `known`; they are never removed.
    configured_count: usize,
    /// Cached responses by prefix key; the empty key holds the response without one.
    cached: HashMap<SmolStr, CachedAddresses>,
    /// Expiry of each failure by address.
    failed: HashMap<SmolStr, Time>,
    tickets: Vec<Ticket>,
    random: Pcg64Mcg,
}

/// Right to run one non-idempotent call.
///
/// Only the minter knows whether a ticket was used, so the call must go there. If the minter is gone for
/// good, a call with its ticket can only fail with "may have run".
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Text of the ticket.
    pub text: SmolStr,
    /// Address of the entry that minted it.
    pub minter: SmolStr,
    expires_at: Time,
}

/// Entries of a cached response.
struct CachedAddresses {
    entries: Vec<Entry>,
    expires_at: Time,
}

impl Book {
    /// Creates a book that knows only the configured entries.
    pub fn new(entries: Vec<SmolStr>, random: Pcg64Mcg) -> Book {
        Book {
            configured_count: entries.len(),
            known: entries,
            cached: HashMap::new(),
            failed: HashMap::new(),
            tickets: Vec::new(),
            random,
        }
    }

    /// Returns the entry to use, or none if no cached response is fresh or all its entries failed.
    pub fn pick(&mut self, now: Time, key: &str) -> Option<SmolStr> {
        let cached = self.cached.get(key)?;
        if now >= cached.expires_at {
            return None;
        }
        let failed = &self.failed;
        let usable = |entry: &&Entry| !is_failed(failed, now, &entry.address);
        let entries: Vec<&Entry> = cached.entries.iter().filter(usable).collect();
        if !key.is_empty() {
            return entries.first().map(|entry| entry.address.clone());
        }
        pick_weighted(&entries, &mut self.random)
    }

    /// Returns the entries to query for addresses: rotated at random, failed ones last.
    pub fn query_order(&mut self, now: Time) -> Vec<SmolStr> {
        let mut order = self.known.clone();
        if order.is_empty() {
            return order;
        }
        let start = self.random.random_range(0..order.len());
        order.rotate_left(start);
        order.sort_by_key(|address| is_failed(&self.failed, now, address));
        order
    }

    /// Caches a response of the entry `from` for its time to live.
    pub fn insert(&mut self, now: Time, from: &str, key: &str, response: Addresses) {
        let expires_at = now + Span::from_millis(response.ttl_ms);
        self.tickets.retain(|ticket| now < ticket.expires_at);
        self.tickets
            .extend(response.tickets.into_iter().map(|text| Ticket {
                text,
                minter: SmolStr::from(from),
                expires_at,
            }));
        self.known.truncate(self.configured_count);
        for entry in &response.addresses {
            if !self.known.contains(&entry.address) {
                self.known.push(entry.address.clone());
            }
        }
        if self.cached.len() >= MAX_CACHED_KEYS {
            self.cached.clear();
        }
        let cached_addresses = CachedAddresses {
            entries: response.addresses,
            expires_at,
        };
        self.cached.insert(SmolStr::from(key), cached_addresses);
    }

    /// Avoids an entry for a while and drops the tickets that it minted.
    pub fn mark_failed(&mut self, now: Time, address: &str) {
        self.tickets.retain(|ticket| ticket.minter != address);
        self.failed
            .insert(SmolStr::from(address), now + FAILURE_EXPIRY);
    }

    /// Clears the failure of an entry.
    pub fn mark_reachable(&mut self, address: &str) {
        self.failed.remove(address);
    }

    /// Takes an unused, unexpired ticket.
    pub fn take_ticket(&mut self, now: Time) -> Option<Ticket> {
        self.tickets.retain(|ticket| now < ticket.expires_at);
        self.tickets.pop()
    }

    /// Returns the random generator for jitter.
    pub fn random(&mut self) -> &mut Pcg64Mcg {
        &mut self.random
    }
}

fn is_failed(failed: &HashMap<SmolStr, Time>, now: Time, address: &str) -> bool {
    failed
        .get(address)
        .is_some_and(|expires_at| now < *expires_at)
}

/// Picks an entry at random in proportion to its weight; the first one if all weights are 0.
fn pick_weighted(entries: &[&Entry], random: &mut Pcg64Mcg) -> Option<SmolStr> {
    let total: u32 = entries.iter().map(|entry| entry.weight).sum();
    if total == 0 {
        return entries.first().map(|entry| entry.address.clone());
    }
    let mut remaining = random.random_range(0..total);
    for entry in entries {
        if remaining < entry.weight {
            return Some(entry.address.clone());
        }
        remaining -= entry.weight;
    }
    None
}
