//! Follows a table: all rows once, then their changes, and all rows again after any gap.
//!
//! Failures guarded against: a feed whose history was dropped, an answer that never comes, a connection
//! that falls silent. Each would show as an entry that goes on with an old configuration, or sends work
//! to servers that are gone, while it believes to be up to date. Every wait has a limit of its own, and
//! what follows a failure is a whole read.

use std::rc::Rc;
use std::time::Duration;

use clock::Span;
use tokio::sync::Notify;

use crate::adapter::Changes;
use crate::adapter::Fault;
use crate::adapter::Feed;
use crate::adapter::Pending;
use crate::adapter::Rows;

/// First pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failures: within the time in which a new configuration must be in force.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Takes what is read.
pub trait Reader {
    /// All rows.
    fn all(&self, rows: Rows);

    /// What changed; nothing, if a question waited for its whole time.
    fn changed(&self, changes: Changes);

    /// Waits until this entry is to read; others may do so for it.
    fn turn(&self) -> Pending<'_, ()>;

    /// Everything up to this revision is known here, also by others' word.
    fn known(&self) -> u64;

    /// How long one question for changes may wait.
    fn wait(&self) -> Span;

    /// Pause after changes, so that those that follow at once come in one answer.
    fn pace(&self) -> Duration;

    /// What was read so far is current.
    fn fresh(&self);

    /// The table can't be read for now.
    fn lost(&self, fault: Fault);
}

/// Follows a table until the future is dropped; `hurry` asks for a whole read at once.
pub async fn follow(feed: Rc<dyn Feed>, reader: Rc<dyn Reader>, hurry: Rc<Notify>) {
    let mut pause = FIRST_PAUSE;
    let mut asked = true;
    loop {
        if !asked {
            tokio::select! {
                () = reader.turn() => {}
                () = hurry.notified() => {}
            }
        }
        asked = false;
        match feed.read().await {
            Ok(rows) => {
                pause = FIRST_PAUSE;
                let revision = rows.revision;
                reader.fresh();
                reader.all(rows);
                let fault = tokio::select! {
                    fault = changes(&feed, &reader, revision) => Some(fault),
                    () = hurry.notified() => None,
                };
                match fault {
                    Some(Fault::HistoryLost) | None => {
                        asked = true;
                        continue;
                    }
                    Some(fault) => reader.lost(fault),
                }
            }
            Err(fault) => reader.lost(fault),
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Reads changes until that fails.
async fn changes(feed: &Rc<dyn Feed>, reader: &Rc<dyn Reader>, mut revision: u64) -> Fault {
    loop {
        reader.turn().await;
        revision = revision.max(reader.known());
        match feed.changes(revision, reader.wait()).await {
            Ok(changes) => {
                revision = changes.revision.max(revision);
                reader.fresh();
                let any = !changes.written.is_empty() || !changes.deleted.is_empty();
                reader.changed(changes);
                if any {
                    tokio::time::sleep(reader.pace()).await;
                }
            }
            Err(fault) => return fault,
        }
    }
}
