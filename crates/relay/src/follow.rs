//! Follows a table: reads all rows, then their changes, and all rows again after a gap.
//!
//! A feed can lose its history, leave a request unanswered or fall silent. The entry would then work with an
//! outdated configuration or send requests to servers that are gone, and consider itself current. So every
//! wait has a timeout, and a full read follows every failure.

use std::rc::Rc;
use std::time::Duration;

use clock::Span;
use tokio::sync::Notify;

use crate::adapter::Changes;
use crate::adapter::Fault;
use crate::adapter::Feed;
use crate::adapter::Pending;
use crate::adapter::Rows;

/// Backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff, within the time in which a new configuration must take effect.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Applies what is read from a table.
pub trait Consumer {
    /// Records that a read begins, whose answer may lack what happens from now on.
    fn mark_requested(&self);

    /// Replaces everything that is known by these rows.
    fn replace(&self, rows: Rows);

    /// Applies changes, which are empty if a long poll timed out.
    fn apply(&self, changes: Changes);

    /// Waits until this entry has to read; others may read for it.
    fn wait_for_turn(&self) -> Pending<'_, ()>;

    /// Returns the revision up to which this entry is current, including what other entries reported.
    fn known_revision(&self) -> u64;

    /// Returns the timeout of a long poll for changes.
    fn poll_timeout(&self) -> Span;

    /// Returns the pause after changes, which coalesces changes in quick succession into one answer.
    fn pause(&self) -> Duration;

    /// Records that what was read so far is current.
    fn mark_current(&self);

    /// Records that the table can't be read.
    fn mark_lost(&self, fault: Fault);
}

/// Follows a table until the future is dropped; `refresh` requests an immediate full read.
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
        consumer.mark_requested();
        match feed.read().await {
            Ok(rows) => {
                backoff = INITIAL_BACKOFF;
                let revision = rows.revision;
                consumer.mark_current();
                consumer.replace(rows);
                let fault = tokio::select! {
                    fault = poll_changes(&feed, &consumer, revision) => Some(fault),
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

/// Polls for changes until a poll fails.
async fn poll_changes(
    feed: &Rc<dyn Feed>,
    consumer: &Rc<dyn Consumer>,
    mut revision: u64,
) -> Fault {
    loop {
        consumer.wait_for_turn().await;
        revision = revision.max(consumer.known_revision());
        consumer.mark_requested();
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
