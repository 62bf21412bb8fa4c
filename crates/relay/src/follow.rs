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
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after failures: within the time in which a new configuration must be in force.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Takes what is read.
pub trait Consumer {
    /// All rows.
    fn replace(&self, rows: Rows);

    /// What changed; nothing, if a question waited for its whole time.
    fn apply(&self, changes: Changes);

    /// Waits until this entry is to read; others may do so for it.
    fn wait_for_turn(&self) -> Pending<'_, ()>;

    /// Everything up to this revision is known here, also by others' word.
    fn known_revision(&self) -> u64;

    /// How long one question for changes may wait.
    fn poll_timeout(&self) -> Span;

    /// Pause after changes, so that those that follow at once come in one answer.
    fn pause(&self) -> Duration;

    /// What was read so far is current.
    fn mark_current(&self);

    /// The table can't be read for now.
    fn mark_lost(&self, fault: Fault);
}

/// Follows a table until the future is dropped; `hurry` asks for a whole read at once.
pub async fn follow(feed: Rc<dyn Feed>, consumer: Rc<dyn Consumer>, refresh: Rc<Notify>) {
    let mut backoff = INITIAL_BACKOFF;
    let mut read_now = true;
    loop {
        if !read_now {
            tokio::select! {
                () = consumer.wait_for_turn() => {}
                () = refresh.notified() => {}
            }
        }
        read_now = false;
        match feed.read().await {
            Ok(rows) => {
                backoff = INITIAL_BACKOFF;
                let revision = rows.revision;
                consumer.mark_current();
                consumer.replace(rows);
                let fault = tokio::select! {
                    fault = changes(&feed, &consumer, revision) => Some(fault),
                    () = refresh.notified() => None,
                };
                match fault {
                    Some(Fault::HistoryLost) | None => {
                        read_now = true;
                        continue;
                    }
                    Some(fault) => consumer.mark_lost(fault),
                }
            }
            Err(fault) => consumer.mark_lost(fault),
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Reads changes until that fails.
async fn changes(feed: &Rc<dyn Feed>, consumer: &Rc<dyn Consumer>, mut revision: u64) -> Fault {
    loop {
        consumer.wait_for_turn().await;
        revision = revision.max(consumer.known_revision());
        match feed.changes(revision, consumer.poll_timeout()).await {
            Ok(changes) => {
                revision = changes.revision.max(revision);
                consumer.mark_current();
                let nonempty = !changes.written.is_empty() || !changes.deleted.is_empty();
                consumer.apply(changes);
                if nonempty {
                    tokio::time::sleep(consumer.pause()).await;
                }
            }
            Err(fault) => return fault,
        }
    }
}
