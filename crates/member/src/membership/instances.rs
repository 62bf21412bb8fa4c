//! Detects members whose instances are gone for good, from the instance list.
//!
//! Guards against changes that are never accepted: entries that died without leaving remain members, and
//! if they are as many as the live ones there is no majority. The list lags, so a member counts as gone
//! only after it was missing for a while, but at once if a live member has its address.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use smol_str::SmolStr;

use crate::membership::Membership;

/// Time after which a lapsed member that is missing from the instance list is gone for good.
const UNLISTED_TIMEOUT: Span = Span::from_seconds(15);

impl Membership {
    /// Records which lapsed members' instances are gone for good.
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
