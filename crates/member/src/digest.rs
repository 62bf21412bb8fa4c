//! What one entry tells a few others now and then, bounded in size.

use clock::Span;
use lease::holder;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::row::Row;

/// What a heartbeat takes on the wire, bytes: id 8, count 4, version 4, load 1, framing.
pub const BEAT_BYTES: usize = 20;
/// What a digest takes besides its parts, bytes.
pub const HEAD_BYTES: usize = 32;

/// One message to one peer. Loss, repetition, delay and any order do no harm.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's own heartbeat.
    pub own: Beat,
    /// Heartbeats of others as the sender heard them.
    pub beats: Vec<Beat>,
    /// News of members.
    pub records: Vec<Record>,
    /// Other news.
    pub items: Vec<Item>,
    /// The sender knows no peers yet and asks for an answer with all members.
    pub greeting: bool,
}

/// A member's heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Whose.
    pub id: holder::Id,
    /// Rises while the member runs.
    pub count: u64,
    /// The configuration version it has applied; never falls.
    pub applied: u64,
    /// How full it is, 0 to 255.
    pub load: u8,
    /// Whether the table service doesn't answer it.
    pub store_lost: bool,
}

/// A member's row as far as others know it. The member's own count of renewals orders records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The row.
    pub row: Row,
    /// Its lease was seen to lapse, or its row is gone; a higher count of renewals refutes that.
    pub gone: bool,
}

/// What a piece of news is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// A backend server incarnation that is leaving; the key names it. Sticky.
    Leaving,
    /// A quarantined fingerprint of a request that crashes backend servers.
    Quarantine,
    /// Who holds the ledger of an entry that left; the key names the entry.
    Heir,
    /// What accounts ask for at one entry; the key names the entry.
    Demand,
    /// What one entry has counted; the key names the entry.
    Count,
    /// A backend server incarnation whose row ended; the key names it, the version is the list's revision then.
    Ended,
    /// What one entry knows of the list of backend servers; the key names the entry.
    List,
    /// A holder of a lease gave up; the key names the lease, the version is its fencing number.
    Resigned,
    /// A holder renewed a lease; the key names the lease, the version is its row's revision, and the row is in it.
    Renewed,
    /// How far a service's roll-out is, by its leader; the key names the service.
    Rollout,
    /// A member is suspected to have failed; the key names it, the version is the count of its last heartbeat. A later
    /// heartbeat refutes it.
    Silent,
}

impl Topic {
    /// How long news of this topic is kept and passed on. It outlives the matter: calls and backend
    /// servers that it speaks of are gone by then.
    pub const fn lifetime(self) -> Span {
        match self {
            Topic::Demand | Topic::Count | Topic::List | Topic::Renewed | Topic::Silent => {
                Span::from_seconds(15)
            }
            // Whoever can read the list itself needs it no more.
            Topic::Ended | Topic::Resigned | Topic::Rollout => Span::from_seconds(60),
            Topic::Quarantine => Span::from_seconds(900),
            Topic::Leaving | Topic::Heir => Span::from_seconds(3_600),
        }
    }

    /// Whether it is told at once and not with the next round.
    pub const fn is_urgent(self) -> bool {
        !matches!(
            self,
            Topic::Demand | Topic::Count | Topic::List | Topic::Renewed
        )
    }

    /// Whether others pass it on; what isn't comes from its own entry each time.
    pub const fn is_passed_on(self) -> bool {
        !matches!(self, Topic::Count | Topic::List | Topic::Renewed)
    }
}

/// One piece of news. Among pieces of equal topic and key the highest version counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// What it is about.
    pub topic: Topic,
    /// Names the subject within its topic.
    pub key: SmolStr,
    /// Orders pieces on the same subject.
    pub version: u64,
    /// How long it has been under way, summed over all who held it; no clocks are compared.
    pub age_ms: u64,
    /// Meaning left to the topic's own module.
    pub payload: Vec<u8>,
}

impl Digest {
    /// About what it takes on the wire, bytes.
    pub fn size(&self) -> usize {
        let records: usize = self.records.iter().map(Record::size).sum();
        let items: usize = self.items.iter().map(Item::size).sum();
        HEAD_BYTES + BEAT_BYTES * self.beats.len() + records + items
    }
}

impl Record {
    /// About what it takes on the wire, bytes.
    pub fn size(&self) -> usize {
        const FIXED: usize = 48;
        FIXED + self.row.zone.len() + self.row.address.len() + self.row.peer_address.len()
    }
}

impl Item {
    /// About what it takes on the wire, bytes.
    pub fn size(&self) -> usize {
        const FIXED: usize = 24;
        FIXED + self.key.len() + self.payload.len()
    }
}
