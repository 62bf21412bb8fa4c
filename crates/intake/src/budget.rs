//! A number of bytes that holders share.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Holds up to this size may also use the reserve.
pub const SMALL_BYTES: usize = 64 << 10;

/// A shared number of bytes. A part is reserved for small holds, so that large ones don't starve them.
#[derive(Clone, Debug)]
pub struct Budget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    size: usize,
    /// Part of the size that is reserved for small holds.
    reserve: usize,
    used: AtomicUsize,
    freed: Notify,
}

/// Bytes taken from a budget, given back when dropped.
#[derive(Debug)]
pub struct Hold {
    shared: Arc<Shared>,
    bytes: usize,
}

impl Budget {
    /// Creates a budget of `size` bytes, of which `reserve` are for small holds.
    pub fn new(size: usize, reserve: usize) -> Budget {
        Budget {
            shared: Arc::new(Shared {
                size,
                reserve,
                used: AtomicUsize::new(0),
                freed: Notify::new(),
            }),
        }
    }

    /// Returns a hold of no bytes.
    pub fn hold(&self) -> Hold {
        Hold {
            shared: Arc::clone(&self.shared),
            bytes: 0,
        }
    }

    /// Returns the bytes held now.
    pub fn used(&self) -> usize {
        self.shared.used.load(Ordering::Relaxed)
    }

    /// Returns whether a hold of this size fits while there is no other one.
    pub fn may_fit(&self, bytes: usize) -> bool {
        bytes <= self.shared.room(bytes)
    }

    /// Returns a future that resolves once bytes are given back after this call.
    pub fn freed(&self) -> Notified<'_> {
        self.shared.freed.notified()
    }
}

impl Shared {
    /// Returns the part of the budget that a hold of this size may use.
    fn room(&self, bytes: usize) -> usize {
        match bytes <= SMALL_BYTES {
            true => self.size,
            false => self.size - self.reserve,
        }
    }
}

impl Hold {
    /// Takes further bytes if there is room for them.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let room = self.shared.room(self.bytes + bytes);
        let grown = self
            .shared
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                (used + bytes <= room).then_some(used + bytes)
            });
        if grown.is_ok() {
            self.bytes += bytes;
        }
        grown.is_ok()
    }

    /// Returns the bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Ties the hold to a buffer: it is given back once the last part of the buffer is dropped.
    pub fn attach(self, buffer: Bytes) -> Bytes {
        if self.bytes == 0 {
            return buffer;
        }
        Bytes::from_owner(Held {
            buffer,
            _hold: self,
        })
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.shared.used.fetch_sub(self.bytes, Ordering::Relaxed);
            self.shared.freed.notify_waiters();
        }
    }
}

/// A buffer with its hold.
struct Held {
    buffer: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}
