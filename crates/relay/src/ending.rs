//! Whether an answer that only the end of its connection marks is whole.
//!
//! A server that is killed ends its connections like one that has sent everything. The answer counts as whole only if the
//! process that sent it still runs after its end.

use std::rc::Rc;

use clock::Time;
use gateway::attempt::End;
use gateway::effect::Start;

use crate::pool::Connection;
use crate::pool::Kept;
use crate::reach;
use crate::reach::Finding;
use crate::shared::Shared;

/// Returns how an attempt ends whose answer was read up to the end of its connection; `None` if the answer is whole.
///
/// A new connection shows that a process runs. It may be another one, which has taken the place of the one that was sent
/// the request at `sent_at`. A connection kept since then would have ended with that process; without one, only a restart
/// during a pause of this entry can go unnoticed.
pub async fn examine(
    shared: &Rc<Shared>,
    start: &Start,
    connection: &Connection,
    sent_at: Time,
) -> Option<End> {
    let finding = reach::examine(shared, &start.endpoint, connection.proxy()).await;
    // Lets the tasks of kept connections notice their ends.
    tokio::task::yield_now().await;
    let is_same = match shared.pool.kept_since(&start.endpoint, sent_at) {
        Kept::Open => true,
        Kept::Ended => false,
        Kept::None => !shared.pulse.has_paused_since(shared.clock.now(), sent_at),
    };
    let is_whole = finding != Finding::Unreached && is_same;
    log::debug!(
        event = "undelimited_answer",
        replica = start.endpoint.incarnation.as_str(),
        reached = finding != Finding::Unreached,
        same_process = is_same;
        ""
    );
    (!is_whole).then_some(End::Broken { alive: false })
}
