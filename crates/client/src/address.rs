//! Which entries there are, and which one to use.

use std::collections::HashMap;

use clock::Span;
use clock::Time;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use smol_str::SmolStr;

/// Prefix keys whose answers are cached; beyond that the book forgets them all.
const MAX_CACHED_KEYS: usize = 256;

/// How long an entry that failed is passed over, if no new answer names it before.
const FAILURE_EXPIRY: Span = Span::from_seconds(5);

/// What an entry answers to `GET /v1/addresses`.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Addresses {
    /// The entries to use; with a key, the owner of the prefix comes first.
    pub addresses: Vec<Entry>,
    /// How long the answer may be cached.
    pub ttl_ms: u64,
    /// Tickets for non-idempotent calls.
    #[serde(default)]
    pub tickets: Vec<SmolStr>,
}

/// One entry of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Entry {
    /// Where it listens.
    pub address: SmolStr,
    /// Its availability zone.
    #[serde(default)]
    pub zone: SmolStr,
    /// Its share of the callers.
    #[serde(default)]
    pub weight: u32,
}

/// Answers that still hold, entries that failed, and unused tickets.
pub struct Book {
    /// Entries to ask: those of the settings and those of the newest answer.
    known: Vec<SmolStr>,
    /// Of the first so many of `known` the settings speak; they are never forgotten.
    configured: usize,
    /// By prefix key; the empty key is the answer without one.
    answers: HashMap<SmolStr, CachedAddresses>,
    failed: HashMap<SmolStr, Time>,
    tickets: Vec<Ticket>,
    random: Pcg64Mcg,
}

/// The right to run one non-idempotent call.
///
/// Only its minter can say whether it was used, so it is sent there; a minter that is gone for good
/// could only be answered with "may have run".
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Its text.
    pub text: SmolStr,
    /// The entry that minted it.
    pub minter: SmolStr,
    expires_at: Time,
}

struct CachedAddresses {
    entries: Vec<Entry>,
    expires_at: Time,
}

impl Book {
    /// Knows only the entries of the settings.
    pub fn new(entries: Vec<SmolStr>, random: Pcg64Mcg) -> Book {
        Book {
            configured: entries.len(),
            known: entries,
            answers: HashMap::new(),
            failed: HashMap::new(),
            tickets: Vec::new(),
            random,
        }
    }

    /// The entry to use now; none when the answer is missing, too old, or all of it failed.
    pub fn pick(&mut self, now: Time, key: &str) -> Option<SmolStr> {
        let cached = self.answers.get(key)?;
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

    /// Whom to ask for addresses, in this order: a random one first, failed ones last.
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

    /// Keeps an answer of the entry `from` for its time to live.
    pub fn insert(&mut self, now: Time, from: &str, key: &str, answer: Addresses) {
        let expires_at = now + Span::from_millis(answer.ttl_ms);
        self.tickets.retain(|ticket| now < ticket.expires_at);
        self.tickets
            .extend(answer.tickets.into_iter().map(|text| Ticket {
                text,
                minter: SmolStr::from(from),
                expires_at,
            }));
        self.known.truncate(self.configured);
        for entry in &answer.addresses {
            if !self.known.contains(&entry.address) {
                self.known.push(entry.address.clone());
            }
        }
        if self.answers.len() >= MAX_CACHED_KEYS {
            self.answers.clear();
        }
        let cached = CachedAddresses {
            entries: answer.addresses,
            expires_at,
        };
        self.answers.insert(SmolStr::from(key), cached);
    }

    /// Passes over an entry for a while, and forgets the tickets that it minted.
    pub fn mark_failed(&mut self, now: Time, address: &str) {
        self.tickets.retain(|ticket| ticket.minter != address);
        self.failed
            .insert(SmolStr::from(address), now + FAILURE_EXPIRY);
    }

    /// An entry answered.
    pub fn mark_reachable(&mut self, address: &str) {
        self.failed.remove(address);
    }

    /// An unused ticket; each is given out once.
    pub fn take_ticket(&mut self, now: Time) -> Option<Ticket> {
        self.tickets.retain(|ticket| now < ticket.expires_at);
        self.tickets.pop()
    }

    /// The source of jitter.
    pub fn random(&mut self) -> &mut Pcg64Mcg {
        &mut self.random
    }
}

fn is_failed(failed: &HashMap<SmolStr, Time>, now: Time, address: &str) -> bool {
    failed.get(address).is_some_and(|until| now < *until)
}

fn pick_weighted(entries: &[&Entry], random: &mut Pcg64Mcg) -> Option<SmolStr> {
    let total: u32 = entries.iter().map(|entry| entry.weight).sum();
    if total == 0 {
        return entries.first().map(|entry| entry.address.clone());
    }
    let mut left = random.random_range(0..total);
    for entry in entries {
        if left < entry.weight {
            return Some(entry.address.clone());
        }
        left -= entry.weight;
    }
    None
}
