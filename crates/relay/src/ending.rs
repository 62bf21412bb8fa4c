//! Whether an answer that only the end of its connection marks is whole.
//!
//! A server that is killed ends its connections like one that has sent everything. The answer counts as whole only if the
//! process that sent it still runs after its end.

use std::rc::Rc;
use std::time::Duration;

use clock::Time;
use gateway::attempt::End;
use gateway::effect::Start;

use crate::pool::Connection;
use crate::pool::Kept;
use crate::process;
use crate::process::Identity;
use crate::pulse;
use crate::reach;
use crate::shared::Shared;

/// Time after which the end of a process would have reached connections that are kept.
const END_DELAY: Duration = Duration::from_millis(50);
/// The same where the server takes connections, which the end of its process would soon end.
const REACHED_END_DELAY: Duration = Duration::from_millis(10);

/// Tells whether the end of an answer is noticed as soon as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// When the request was sent, or earlier.
    sent_at: Time,
    /// When the entry last stopped to read.
    paused_at: Time,
    /// Whether the answer was left unread for so long that its server may have been restarted.
    was_paused: bool,
}

impl Reading {
    /// Starts with a request that was sent at `sent_at`, or later.
    pub fn new(sent_at: Time) -> Reading {
        Reading {
            sent_at,
            paused_at: sent_at,
            was_paused: false,
        }
    }

    /// Records that the entry stops to read, for instance while its caller is slow.
    pub fn pause(&mut self, now: Time) {
        self.paused_at = now;
    }

    /// Records that the entry reads on.
    pub fn resume(&mut self, now: Time) {
        self.was_paused |= now.since(self.paused_at) >= pulse::MIN_RESTART_TIME;
    }

    /// Returns whether a restart of the server would have been noticed.
    fn is_prompt(&self, shared: &Shared) -> bool {
        let now = shared.clock.now();
        !self.was_paused && !shared.pulse.has_paused_since(now, self.sent_at)
    }
}

/// Returns how an attempt ends whose answer was read up to the end of its connection; `None` if the answer is whole.
///
/// An engine is asked for a report on a new connection. That one alone shows little: the kernel, or something in front of the
/// server, may have taken it, or another process in the place of the one that was sent the request. A connection kept since
/// then would have ended with that process, so one is kept from now on. Where the server answers but doesn't state its
/// process, or can't be asked, and none was kept, the end must have been noticed sooner than a server restarts.
pub async fn examine(
    shared: &Rc<Shared>,
    start: &Start,
    connection: &Connection,
    reading: Reading,
) -> Option<End> {
    shared.pool.reserve_idle(&start.endpoint);
    let (_, new) = reach::try_ways(shared, &start.endpoint, connection.proxy()).await;
    // A server that takes no new connections, such as one that is leaving, may run nevertheless.
    let delay = match new.is_some() {
        true => REACHED_END_DELAY,
        false => END_DELAY,
    };
    tokio::time::sleep(delay).await;
    let is_prompt = reading.is_prompt(shared);
    let identity = match new.filter(Connection::is_open) {
        Some(new) => identify(shared, start, new).await,
        None => Identity::Unknown,
    };
    let kept = shared.pool.kept_since(&start.endpoint, reading.sent_at);
    let is_whole = match (identity, kept) {
        _ if shared.pool.is_succeeded(&start.endpoint) => false,
        (Identity::Other, _) | (_, Kept::Ended) => false,
        (Identity::Listed, _) | (_, Kept::Open) => true,
        (Identity::Unstated, Kept::None) => is_prompt,
        (Identity::Unknown, Kept::None) => false,
    };
    log::debug!(
        event = "answer_ended_with_connection",
        replica = start.endpoint.incarnation.as_str(),
        kept:? = kept,
        identity:? = identity,
        whole = is_whole;
        ""
    );
    (!is_whole).then_some(End::Broken { alive: false })
}

/// Returns what an engine says of its process on a new connection. Plain services can't be asked.
async fn identify(shared: &Rc<Shared>, start: &Start, mut new: Connection) -> Identity {
    let identity = match start.is_model_call {
        true => process::identify(shared, &start.endpoint, &mut new).await,
        false => Identity::Unstated,
    };
    reach::keep(shared, &start.endpoint, new).await;
    identity
}
