//! Ownership of keys by rendezvous hashing.
//!
//! Any two entries that know the same members choose the same owner without communicating, and when a
//! member goes, only its own keys move.

use lease::holder;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rank of a member for a key; the highest owns it.
pub fn rank(key: u64, member: holder::Id) -> u64 {
    xxh3_64_with_seed(&member.0.to_le_bytes(), key)
}

/// Returns the owner of a key among `members`.
pub fn owner(key: u64, members: impl Iterator<Item = holder::Id>) -> Option<holder::Id> {
    members.max_by_key(|member| (rank(key, *member), *member))
}
