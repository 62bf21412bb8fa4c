//! Room for answers that callers have yet to read.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use clock::Clock;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::budget::Budget;
use crate::budget::Hold;
use crate::connections::Connections;
use crate::stats::Action;
use crate::stats::Stats;

/// Answers and parts of them up to this size aren't counted.
const UNCOUNTED_BYTES: usize = 4 << 10;
/// Part of the room that is reserved for small answers, as a divisor.
const SMALL_DIVISOR: usize = 4;
/// Interval at which a part that waits for room looks for callers that don't read.
const EVICTION_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for room.
const ROOM_TIMEOUT: Duration = Duration::from_secs(10);

/// The error for an answer that finds no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// The reason why an answer can't be collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is longer than the limit.
    TooLarge,
    /// There is no room for it.
    NoRoom,
}

/// An answer that is being read whole. Its parts are copied, since each would keep the buffer that it was read into.
pub struct Collector<'a> {
    answers: &'a Answers,
    hold: Hold,
    buffer: BytesMut,
    limit: usize,
}

/// Room for answers, over the whole process.
#[derive(Clone)]
pub struct Answers {
    clock: Clock,
    budget: Budget,
    callers: Rc<Connections>,
    stats: Stats,
}

impl Answers {
    /// Creates the room for answers to the callers of a port.
    pub fn new(clock: Clock, size: usize, callers: Rc<Connections>, stats: Stats) -> Answers {
        Answers {
            clock,
            budget: Budget::new(size, size / SMALL_DIVISOR),
            callers,
            stats,
        }
    }

    /// Returns the budget.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Starts to collect an answer of at most `limit` bytes.
    pub fn collector(&self, limit: usize) -> Collector<'_> {
        Collector {
            answers: self,
            hold: self.budget.hold(),
            buffer: BytesMut::new(),
            limit,
        }
    }

    /// Makes a hold cover this many bytes. Waits for room, and closes connections whose callers don't read.
    async fn cover(&self, hold: &mut Hold, bytes: usize) -> Result<(), NoRoom> {
        let missing = bytes.saturating_sub(hold.bytes());
        if bytes <= UNCOUNTED_BYTES || hold.try_grow(missing) {
            return Ok(());
        }
        let ends = Instant::now() + ROOM_TIMEOUT;
        while Instant::now() < ends {
            let freed = self.budget.freed();
            if hold.try_grow(missing) {
                return Ok(());
            }
            if self.callers.evict_unread(self.clock.now()) {
                self.stats.record(Action::UnreadEvicted);
            }
            let _ = timeout(EVICTION_INTERVAL, freed).await;
        }
        self.stats.record(Action::AnswerDropped);
        Err(NoRoom)
    }

    /// Counts a part of an answer until the caller has it.
    pub async fn hold(&self, part: Bytes) -> Result<Bytes, NoRoom> {
        let mut hold = self.budget.hold();
        self.cover(&mut hold, part.len()).await?;
        Ok(hold.attach(part))
    }
}

impl Collector<'_> {
    /// Appends a part; waits until there is room for it.
    pub async fn push(&mut self, part: &[u8]) -> Result<(), Fault> {
        let size = self.buffer.len() + part.len();
        if size > self.limit {
            return Err(Fault::TooLarge);
        }
        let capacity = self.buffer.capacity();
        if size > capacity {
            let capacity = (2 * capacity).min(self.limit).max(size);
            let covered = self.answers.cover(&mut self.hold, capacity).await;
            covered.map_err(|NoRoom| Fault::NoRoom)?;
            self.buffer.reserve(capacity - self.buffer.len());
        }
        self.buffer.extend_from_slice(part);
        Ok(())
    }

    /// Returns the answer, which stays counted until its last part is dropped.
    pub fn finish(self) -> Bytes {
        self.hold.attach(self.buffer.freeze())
    }
}
