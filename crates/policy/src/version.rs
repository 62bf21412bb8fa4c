//! Software versions of replicas.
//!
//! Load pattern: replicas of several versions serve one pool side by side, while a new version is released or for
//! long. What two versions generate for one request doesn't fit together, and neither do their KV caches. A stream
//! that has begun therefore continues, moves and fetches only within its version; without that, callers read
//! answers pieced together of two.

/// Identifies a software version within one scheduler; embedders without versions use the default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);
