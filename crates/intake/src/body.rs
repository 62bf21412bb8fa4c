//! Reads bodies of requests into one buffer each, within the process's budget.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use clock::Span;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use verdict::Reason;
use verdict::Refusal;

use crate::budget::Hold;
use crate::intake::Intake;
use crate::receivers::Key;
use crate::stats::Action;

/// First size of the buffer for a body of unknown length.
const FIRST_BYTES: usize = 4 << 10;
/// Bytes that count as progress of a body.
const RECORDED_BYTES: usize = 512;
/// Longest wait for room. Bodies that stall give way sooner.
const ROOM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which a body that waits for room looks for others that stall.
const EVICTION_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a caller that found no room may come back.
const RETRY_AFTER: Span = Span::from_millis(1_000);

/// A body that is being received; removed when dropped.
struct Receiver<'a> {
    intake: &'a Intake,
    key: Key,
    evicted: Rc<Notify>,
}

impl<'a> Receiver<'a> {
    fn new(intake: &'a Intake) -> Receiver<'a> {
        let key = intake.receivers.borrow_mut().begin(intake.clock.now());
        let evicted = Rc::new(Notify::new());
        let mut evictions = intake.evictions.borrow_mut();
        evictions.insert(key, Rc::clone(&evicted));
        Receiver {
            intake,
            key,
            evicted,
        }
    }

    fn record(&self, bytes: usize) {
        let now = self.intake.clock.now();
        let mut receivers = self.intake.receivers.borrow_mut();
        receivers.record(self.key, now, bytes);
    }

    fn set_waiting(&self, waits: bool) {
        let now = self.intake.clock.now();
        let mut receivers = self.intake.receivers.borrow_mut();
        receivers.set_waiting(self.key, now, waits);
    }
}

impl Drop for Receiver<'_> {
    fn drop(&mut self) {
        self.intake.receivers.borrow_mut().end(self.key);
        self.intake.evictions.borrow_mut().remove(&self.key);
    }
}

impl Intake {
    /// Reads a whole body of at most `limit` bytes. The bytes stay counted until the last part of them is dropped.
    pub async fn read_body<B>(&self, body: B, limit: usize) -> Result<Bytes, Refusal>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let hint = body.size_hint();
        if hint.lower() > limit as u64 {
            return Err(too_large(limit));
        }
        let ends = Instant::now() + self.limits.body_time.as_duration();
        let receiver = Receiver::new(self);
        let evicted = Rc::clone(&receiver.evicted);
        tokio::select! {
            biased;
            read = timeout_at(ends, self.receive(body, limit, hint.exact(), &receiver)) => {
                read.unwrap_or_else(|_| {
                    self.stats.record(Action::BodyTimeout);
                    Err(too_slow("the body took too long to arrive"))
                })
            }
            () = evicted.notified() => {
                self.stats.record(Action::BodyEvicted);
                Err(too_slow("the body arrived too slowly while others waited"))
            }
        }
    }

    async fn receive<B>(
        &self,
        mut body: B,
        limit: usize,
        length: Option<u64>,
        receiver: &Receiver<'_>,
    ) -> Result<Bytes, Refusal>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut hold = self.requests.hold();
        let mut buffer = BytesMut::new();
        let mut unrecorded = 0;
        if let Some(length) = length {
            self.extend(&mut buffer, &mut hold, length as usize, receiver)
                .await?;
        }
        while let Some(frame) = body.frame().await {
            let unreadable = |_| Refusal::not_run(Reason::Malformed, "the body can't be read");
            // Trailers end a body and aren't forwarded.
            let Ok(part) = frame.map_err(unreadable)?.into_data() else {
                continue;
            };
            let size = buffer.len() + part.len();
            if size > limit {
                return Err(too_large(limit));
            }
            if size > buffer.capacity() {
                let doubled = (2 * buffer.capacity()).max(FIRST_BYTES).min(limit);
                self.extend(&mut buffer, &mut hold, doubled.max(size), receiver)
                    .await?;
            }
            // A copy, since each small part would keep the buffer that it was read into.
            buffer.extend_from_slice(&part);
            unrecorded += part.len();
            if unrecorded >= RECORDED_BYTES {
                receiver.record(std::mem::take(&mut unrecorded));
            }
        }
        Ok(hold.attach(buffer.freeze()))
    }

    /// Gives a buffer the capacity for this many bytes.
    async fn extend(
        &self,
        buffer: &mut BytesMut,
        hold: &mut Hold,
        capacity: usize,
        receiver: &Receiver<'_>,
    ) -> Result<(), Refusal> {
        let missing = capacity.saturating_sub(hold.bytes());
        if !hold.try_grow(missing) {
            receiver.set_waiting(true);
            let found = self.make_room(hold, missing).await;
            receiver.set_waiting(false);
            found?;
        }
        buffer.reserve(capacity - buffer.len());
        Ok(())
    }

    /// Takes further bytes; waits for room while bodies that stall give way.
    pub(crate) async fn make_room(&self, hold: &mut Hold, bytes: usize) -> Result<(), Refusal> {
        if hold.try_grow(bytes) {
            return Ok(());
        }
        if !self.requests.may_fit(hold.bytes() + bytes) {
            return Err(self.refuse());
        }
        let ends = Instant::now() + ROOM_TIMEOUT;
        loop {
            let freed = self.requests.freed();
            if hold.try_grow(bytes) {
                return Ok(());
            }
            if Instant::now() >= ends {
                return Err(self.refuse());
            }
            self.evict_slowest();
            let _ = timeout(EVICTION_INTERVAL, freed).await;
        }
    }

    fn evict_slowest(&self) {
        let slowest = self.receivers.borrow().slowest(self.clock.now());
        let Some(key) = slowest else {
            return;
        };
        self.receivers.borrow_mut().end(key);
        if let Some(evicted) = self.evictions.borrow().get(&key) {
            evicted.notify_one();
        }
    }

    /// Returns the refusal of a request that finds no room.
    fn refuse(&self) -> Refusal {
        self.stats.record(Action::RequestRefused);
        Refusal::not_run(Reason::Overloaded, "there is no room for the request")
            .with_retry_after(RETRY_AFTER)
    }
}

fn too_large(limit: usize) -> Refusal {
    let message = format!("the body is longer than {limit} bytes");
    Refusal::not_run(Reason::TooLarge, message)
}

fn too_slow(message: &'static str) -> Refusal {
    Refusal::not_run(Reason::TimedOut, message)
}
