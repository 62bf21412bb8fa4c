//! What [`crate::membership::Membership`] is told and what it asks for.

use lease::holder;
use lease::holding::Holding;
use lease::view::View;
use smol_str::SmolStr;
use store::call;
use store::call::Call;
use store::call::Outcome;

use crate::digest::Digest;
use crate::digest::Item;

/// What happens to the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Wake,
    /// A store call has ended.
    Store {
        /// Which.
        id: call::Id,
        /// How.
        outcome: Outcome,
    },
    /// A peer sent a digest.
    Digest(Digest),
    /// This entry has applied a configuration version.
    Applied(u64),
    /// How full this entry is, 0 to 255.
    Load(u8),
    /// Whether the table service doesn't answer this entry.
    StoreLost(bool),
    /// This entry admits nothing new from now on.
    Drain,
    /// This entry has stopped; `heir` holds its ledger.
    Leave {
        /// The entry that took over its ledger, if one did.
        heir: Option<holder::Id>,
    },
    /// All members are to be read as soon as may be.
    ReadAll,
    /// The instance list says that this member's instance is gone for good.
    InstanceGone(holder::Id),
    /// The instance list names these entries, by the addresses that callers connect to.
    InstancesListed(Vec<SmolStr>),
    /// News from this entry itself, to be told to all.
    Publish(Item),
}

/// What the embedder is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make a store call.
    Store {
        /// Given back with its outcome.
        id: call::Id,
        /// The call.
        call: Call,
    },
    /// Send a digest to a member; it may get lost.
    Send {
        /// Which; [`crate::membership::Membership::peer_address`] tells where.
        to: holder::Id,
        /// The digest.
        digest: Digest,
    },
    /// Send a digest to an address of the settings, while no members are known.
    Greet {
        /// `host:port` that other entries connect to.
        address: SmolStr,
        /// The digest.
        digest: Digest,
    },
    /// Our own lease was gained, renewed or lost.
    Lease(Holding),
    /// All members were read.
    View(View),
    /// A member is heard to have applied a version.
    Applied {
        /// Which.
        member: holder::Id,
        /// The version.
        version: u64,
    },
    /// News that was not known here.
    Item(Item),
    /// The members that can be talked to have changed.
    Peers(Vec<holder::Id>),
    /// The service has it that we left.
    Left,
}
