//! Members whose instances are gone for good, by the instance list.
//!
//! Guards against changes that are never accepted: entries that died without a word stay members,
//! and with as many of them as of live ones no majority comes together. The list lags, so a member
//! must be missing from it for a while; one whose address a live member has is gone at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use smol_str::SmolStr;

use crate::membership::Membership;

/// A lapsed member that is missing from the instance list for so long is gone for good.
const UNLISTED_TIMEOUT: Span = Span::from_seconds(15);

impl Membership {
    /// Notes which lapsed members' instances are gone for good.
    pub(super) fn note_listed_instances(&mut self, now: Time, addresses: &[SmolStr]) {
        if !addresses.contains(&self.registration.row().address) {
            return;
        }
        let live: BTreeSet<&SmolStr> = self
            .roster
            .members()
            .filter(|(_, lapsed)| !lapsed)
            .map(|(row, _)| &row.address)
            .collect();
        let mut missing = BTreeMap::new();
        for (row, _) in self.roster.members().filter(|(_, lapsed)| *lapsed) {
            let since = self.unlisted_since.get(&row.id).copied().unwrap_or(now);
            if live.contains(&row.address) {
                self.known_gone.insert(row.id);
            } else if !addresses.contains(&row.address) {
                missing.insert(row.id, since);
            }
        }
        let expired = missing
            .iter()
            .filter(|(_, since)| now.since(**since) >= UNLISTED_TIMEOUT);
        self.known_gone.extend(expired.map(|(id, _)| *id));
        self.unlisted_since = missing;
    }
}
