//! Slots of the running batch, granted by priority and then in order of arrival.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::oneshot;

/// The running batch and its queue.
pub struct Batch {
    inner: RefCell<Inner>,
}

struct Inner {
    free: usize,
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<Slot>>,
}

/// A slot of the batch, released when dropped.
pub struct Slot {
    batch: Rc<Batch>,
}

impl Batch {
    /// Creates a batch with `slots` slots.
    pub fn new(slots: usize) -> Rc<Batch> {
        let inner = Inner {
            free: slots,
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
        };
        Rc::new(Batch {
            inner: RefCell::new(inner),
        })
    }

    /// Waits for a slot; priority 0 is served first.
    pub async fn acquire(self: &Rc<Batch>, priority: u8) -> Option<Slot> {
        let receiver = {
            let mut inner = self.inner.borrow_mut();
            if inner.free > 0 {
                inner.free -= 1;
                inner.running += 1;
                return Some(Slot {
                    batch: Rc::clone(self),
                });
            }
            inner.arrivals += 1;
            let queue_key = (priority, inner.arrivals);
            let (sender, receiver) = oneshot::channel();
            inner.waiting.insert(queue_key, sender);
            receiver
        };
        receiver.await.ok()
    }

    /// Returns the number of sequences that run.
    pub fn running(&self) -> usize {
        self.inner.borrow().running
    }

    /// Returns the queue depth.
    pub fn waiting(&self) -> usize {
        let inner = self.inner.borrow();
        let is_waiting = |sender: &&oneshot::Sender<Slot>| !sender.is_closed();
        inner.waiting.values().filter(is_waiting).count()
    }

    fn next_waiter(&self) -> Option<oneshot::Sender<Slot>> {
        let mut inner = self.inner.borrow_mut();
        inner.running -= 1;
        while let Some((_, sender)) = inner.waiting.pop_first() {
            if !sender.is_closed() {
                inner.running += 1;
                return Some(sender);
            }
        }
        inner.free += 1;
        None
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(sender) = self.batch.next_waiter() {
            // A slot whose receiver was dropped meanwhile is dropped too, and so goes to the next waiter.
            let _ = sender.send(Slot {
                batch: Rc::clone(&self.batch),
            });
        }
    }
}
