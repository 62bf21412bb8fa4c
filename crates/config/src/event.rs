//! What [`crate::agreement::Agreement`] is told and what it asks for.

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
    /// An operator asks for a change.
    Submit {
        /// Names the answer.
        operation: Operation,
        /// The change.
        change: Change,
        /// When it wants to be answered at the latest.
        deadline: Time,
    },
    /// The members were read from the table service.
    View(View),
    /// Peers that can be reached; used while no members are known.
    Peers(Vec<holder::Id>),
    /// This entry's own lease was gained or renewed.
    Lease(Holding),
    /// A peer is heard to have applied a version.
    Applied {
        /// Which peer, by incarnation.
        member: holder::Id,
        /// The version.
        version: u64,
    },
    /// A peer sent a message.
    Peer {
        /// Which peer, by incarnation.
        from: holder::Id,
        /// What it said.
        message: Message,
    },
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
    /// Send a message to a peer; it may get lost.
    Send {
        /// Which peer, by incarnation.
        to: holder::Id,
        /// The message.
        message: Message,
    },
    /// Read the members again and report them as [`Event::View`].
    ReadMembers,
    /// From now on this configuration is in force here.
    Apply(Arc<Snapshot>),
    /// Tell the members that this version has been applied here. Comes at once or, after words to
    /// others, some time after [`Effect::Apply`].
    Announce(u64),
    /// Answer an operator.
    Answer {
        /// Which call.
        operation: Operation,
        /// The answer.
        answer: Answer,
    },
}
