//! Which member owns a key, by the highest hash of member and key.
//!
//! Any two entries that know the same members name the same owner without a word between them, and
//! when a member goes, only the keys it owned move.

use lease::holder;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The rank of a member for a key; the highest owns it.
pub fn rank(key: u64, member: holder::Id) -> u64 {
    xxh3_64_with_seed(&member.0.to_le_bytes(), key)
}

/// The owner of a key among `members`.
pub fn owner(key: u64, members: impl Iterator<Item = holder::Id>) -> Option<holder::Id> {
    members.max_by_key(|member| (rank(key, *member), *member))
}
