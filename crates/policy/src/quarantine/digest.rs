//! Evidence of killer requests that entries exchange.

use clock::Span;

/// Evidence of one entry; bounded. It is sent about once a second, and immediately when
/// [`super::Quarantine::take_urgent`] returns true.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// Suspects and quarantined requests.
    pub items: Vec<Item>,
    /// Recent crashes.
    pub crashes: Vec<Crash>,
    /// Suspects that run alone at the sender.
    pub claims: Vec<Claim>,
    /// Parts of prompts on which replicas crashed.
    pub parts: Vec<PartItem>,
}

impl Digest {
    /// Returns the digest after `by` in transit. Without it a relayed digest would be valid for
    /// longer than its sender meant, and crashes at different times would look like the loss of a
    /// zone.
    pub fn aged(mut self, by: Span) -> Digest {
        for item in &mut self.items {
            item.remaining = item.remaining - by;
        }
        for crash in &mut self.crashes {
            crash.age = crash.age + by;
        }
        for item in &mut self.parts {
            for (_, age) in &mut item.crashes {
                *age = *age + by;
            }
            item.answered = item.answered.map(|age| age + by);
        }
        self
    }
}

/// Evidence on one fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Hash of the request's content.
    pub fingerprint: u64,
    /// Identities of the replicas that crashed while it ran there.
    pub crashes: Vec<u64>,
    /// The replicas of whose crashes it was acquitted since, because it ran to its end.
    pub acquitted: Vec<u64>,
    /// Whether the sender has quarantined it, so that no more evidence needs to be awaited.
    pub judged: bool,
    /// Remaining validity at the time of sending; relative, because clocks aren't compared.
    pub remaining: Span,
}

/// Evidence on one part of prompts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartItem {
    /// Hash of the part's name.
    pub part: u64,
    /// Identities of the replicas whose crashes count against it, and the times since these.
    pub crashes: Vec<(u64, Span)>,
    /// Time since a replica last answered a prompt with it, if one did.
    pub answered: Option<Span>,
}

/// A replica that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Identity of the replica.
    pub replica: u64,
    /// Hash of its zone's name.
    pub zone: u64,
    /// Time since the crash.
    pub age: Span,
}

/// A replica claimed for a suspect that runs alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Fingerprint of the suspect.
    pub fingerprint: u64,
    /// Identity of the replica, which is kept free of other work.
    pub replica: u64,
}
