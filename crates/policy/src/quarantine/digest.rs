//! What entries tell each other of killer requests.

use clock::Span;

/// Bounded news; an entry sends it about once a second, and at once when
/// [`super::Quarantine::take_urgent`] says so.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// Suspects and quarantined requests.
    pub items: Vec<Item>,
    /// Crashes seen lately.
    pub crashes: Vec<Crash>,
    /// Suspects that run alone at the sender.
    pub claims: Vec<Claim>,
}

impl Digest {
    /// The same after it was that long under way; without it a relayed digest would last longer than
    /// its sender meant, and crashes at different times would look like the loss of a zone.
    pub fn aged(mut self, by: Span) -> Digest {
        for item in &mut self.items {
            item.remaining = item.remaining - by;
        }
        for crash in &mut self.crashes {
            crash.age = crash.age + by;
        }
        self
    }
}

/// What is held against one fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Hash of the request's content.
    pub fingerprint: u64,
    /// Identities of the replicas that crashed while it ran there.
    pub crashes: Vec<u64>,
    /// Those of which it was cleared later, since it ran to its end.
    pub acquitted: Vec<u64>,
    /// Whether the sender quarantines it already, so that no more news need be awaited.
    pub judged: bool,
    /// How long this holds, counted from the sending: clocks aren't compared.
    pub remaining: Span,
}

/// A replica that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Its identity.
    pub replica: u64,
    /// Hash of its zone's name.
    pub zone: u64,
    /// How long ago.
    pub age: Span,
}

/// A suspect that runs alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The suspect.
    pub fingerprint: u64,
    /// The replica kept free of other work for it.
    pub replica: u64,
}
