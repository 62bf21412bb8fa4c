//! Gossip digests: messages of bounded size that entries send to a few peers in each round.

use clock::Span;
use lease::holder;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::row::Row;

/// Size of a heartbeat on the wire, bytes: id 8, count 4, version 4, load 1, framing.
pub const BEAT_BYTES: usize = 20;
/// Size of a digest without its parts, bytes.
pub const HEAD_BYTES: usize = 32;

/// A message to one peer. Tolerates loss, duplication, delay and reordering.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's own heartbeat.
    pub own: Beat,
    /// Latest heartbeats of others that the sender knows.
    pub beats: Vec<Beat>,
    /// Records of members.
    pub records: Vec<Record>,
    /// Items on other topics.
    pub items: Vec<Item>,
    /// Whether the sender knows no peers yet and asks for a snapshot of all members.
    pub greeting: bool,
}

/// A member's heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The member.
    pub id: holder::Id,
    /// Increases while the member runs.
    pub count: u64,
    /// The configuration version that it has applied; never decreases.
    pub applied: u64,
    /// How loaded it is, 0 to 255.
    pub load: u8,
    /// Whether the table service doesn't answer it.
    pub store_lost: bool,
    /// Whether it reaches no backend server.
    pub servers_lost: bool,
}

/// A member's row as others know it. Records of a member are ordered by its count of renewals.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The row.
    pub row: Row,
    /// Whether its lease lapsed or its row was removed; a higher count of renewals refutes that.
    pub gone: bool,
}

/// The topic of an item. It determines the meaning of the item's key and version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// A backend server incarnation, named by the key, is leaving. Never revoked.
    Leaving,
    /// A quarantined fingerprint of a request that crashes backend servers.
    Quarantine,
    /// The heir of the ledger of an entry that left; the key names that entry.
    Heir,
    /// Accounts' demand at one entry; the key names the entry.
    Demand,
    /// One entry's counts; the key names the entry.
    Count,
    /// The row of a backend server incarnation, named by the key, ended; the version is the list's
    /// revision then.
    Ended,
    /// One entry's report on the list of backend servers; the key names the entry.
    List,
    /// The holder of a lease, named by the key, resigned; the version is its fencing token.
    Resigned,
    /// The holder of a lease, named by the key, renewed it; the version is its row's revision, the
    /// payload the row.
    Renewed,
    /// The stage of a service's roll-out, from its leader; the key names the service.
    Rollout,
    /// A member, named by the key, is suspected to have failed; the version is the count of its last
    /// heartbeat. A later heartbeat refutes it.
    Silent,
}

impl Topic {
    /// Returns how long items of this topic are kept and passed on. Calls and backend servers that they
    /// refer to are gone before that.
    pub const fn lifetime(self) -> Span {
        match self {
            Topic::Demand | Topic::Count | Topic::List | Topic::Renewed | Topic::Silent => {
                Span::from_seconds(15)
            }
            // An entry that reads the list itself doesn't need them any more.
            Topic::Ended | Topic::Resigned | Topic::Rollout => Span::from_seconds(60),
            Topic::Quarantine => Span::from_seconds(900),
            Topic::Leaving | Topic::Heir => Span::from_seconds(3_600),
        }
    }

    /// Returns whether items are sent in urgent rounds.
    pub const fn is_urgent(self) -> bool {
        !matches!(
            self,
            Topic::Demand | Topic::Count | Topic::List | Topic::Renewed
        )
    }

    /// Returns whether peers pass items on; the others come only from their own entry.
    pub const fn is_passed_on(self) -> bool {
        !matches!(self, Topic::Count | Topic::List | Topic::Renewed)
    }
}

/// An item of gossip. Of several with the same topic and key, the highest version counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its topic.
    pub topic: Topic,
    /// Identifies the subject within the topic.
    pub key: SmolStr,
    /// Orders items on the same subject.
    pub version: u64,
    /// Age, summed over all entries that held it, so that no clocks are compared.
    pub age_ms: u64,
    /// Its contents, interpreted by the topic's own module.
    pub payload: Vec<u8>,
}

impl Digest {
    /// Returns the approximate size on the wire, bytes.
    pub fn size(&self) -> usize {
        let records: usize = self.records.iter().map(Record::size).sum();
        let items: usize = self.items.iter().map(Item::size).sum();
        HEAD_BYTES + BEAT_BYTES * self.beats.len() + records + items
    }
}

impl Record {
    /// Returns the approximate size on the wire, bytes.
    pub fn size(&self) -> usize {
        const FIXED: usize = 48;
        FIXED + self.row.zone.len() + self.row.address.len() + self.row.peer_address.len()
    }
}

impl Item {
    /// Returns the approximate size on the wire, bytes.
    pub fn size(&self) -> usize {
        const FIXED: usize = 24;
        FIXED + self.key.len() + self.payload.len()
    }
}
