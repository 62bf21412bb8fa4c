//! Inputs and outputs of [`crate::agreement::Agreement`].

use std::sync::Arc;

use clock::Time;
use lease::holder;
use lease::holding::Holding;
use lease::view::View;
use store::call;
use store::call::Call;
use store::call::Outcome;

use crate::change::Answer;
use crate::change::Change;
use crate::change::Operation;
use crate::message::Message;
use crate::snapshot::Snapshot;

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Wake,
    /// A store call has completed.
    Store {
        /// Identifier of the call.
        id: call::Id,
        /// Outcome of the call.
        outcome: Outcome,
    },
    /// An operator submits a change.
    Submit {
        /// Identifier to return with the answer.
        operation: Operation,
        /// Change to commit.
        change: Change,
        /// Latest time of the answer.
        deadline: Time,
    },
    /// The members were read from the table service.
    View(View),
    /// Reachable peers, used while no members are known.
    Peers(Vec<holder::Id>),
    /// This entry's own lease was gained or renewed.
    Lease(Holding),
    /// A peer is reported to have applied a version.
    Applied {
        /// Incarnation of the peer.
        member: holder::Id,
        /// Version that it applied.
        version: u64,
    },
    /// A peer sent a message.
    Peer {
        /// Incarnation of the peer.
        from: holder::Id,
        /// Message received.
        message: Message,
    },
}

/// Action that the embedder must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make a store call.
    Store {
        /// Identifier to return with the outcome.
        id: call::Id,
        /// Call to make.
        call: Call,
    },
    /// Send a message to a peer; it may be lost.
    Send {
        /// Incarnation of the peer.
        to: holder::Id,
        /// Message to send.
        message: Message,
    },
    /// Read the members again and report them as [`Event::View`].
    ReadMembers,
    /// Put this configuration in force at this entry.
    Apply(Arc<Snapshot>),
    /// Announce to the members that this version has been applied here. It follows [`Effect::Apply`] at
    /// once, or later if votes given before must expire first.
    Announce(u64),
    /// Answer an operator.
    Answer {
        /// Identifier of the call.
        operation: Operation,
        /// Answer to send.
        answer: Answer,
    },
}
