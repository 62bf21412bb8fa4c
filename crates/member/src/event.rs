//! Inputs and outputs of [`crate::membership::Membership`].

use lease::holder;
use lease::holding::Holding;
use lease::view::View;
use smol_str::SmolStr;
use store::call;
use store::call::Call;
use store::call::Outcome;

use crate::digest::Digest;
use crate::digest::Item;

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Wake,
    /// A store call has ended.
    Store {
        /// The call.
        id: call::Id,
        /// Its outcome.
        outcome: Outcome,
    },
    /// A peer sent a digest.
    Digest(Digest),
    /// This entry has applied a configuration version.
    Applied(u64),
    /// The load of this entry has changed, 0 to 255.
    Load(u8),
    /// Whether the table service doesn't answer this entry.
    StoreLost(bool),
    /// Whether this entry reaches no backend server.
    ServersLost(bool),
    /// This entry accepts no new requests from now on.
    Drain,
    /// This entry has stopped; `heir` holds its ledger.
    Leave {
        /// The entry that took over its ledger, if any.
        heir: Option<holder::Id>,
    },
    /// All members should be read as soon as possible.
    ReadAll,
    /// According to the instance list, this member's instance is gone for good.
    InstanceGone(holder::Id),
    /// The addresses for callers of all entries in the instance list.
    InstancesListed(Vec<SmolStr>),
    /// An item of this entry, to be published to all.
    Publish(Item),
}

/// An action for the embedder.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make a store call.
    Store {
        /// Returned with its outcome.
        id: call::Id,
        /// The call.
        call: Call,
    },
    /// Send a digest to a member; it may be lost.
    Send {
        /// The member, see [`crate::membership::Membership::peer_address`].
        to: holder::Id,
        /// The digest.
        digest: Digest,
    },
    /// Send a digest to a seed address, while no members are known.
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
    /// According to its heartbeat, a member has applied a version.
    Applied {
        /// The member.
        member: holder::Id,
        /// The version.
        version: u64,
    },
    /// An item that was not known here.
    Item(Item),
    /// The set of present members has changed.
    Peers(Vec<holder::Id>),
    /// The table service has stored that this entry left.
    Left,
}
