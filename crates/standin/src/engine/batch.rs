//! Slots of the running batch, given out by priority and then by arrival.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::oneshot;

/// The batch.
pub struct Batch {
    inner: RefCell<Inner>,
}

struct Inner {
    free: usize,
    running: usize,
    arrived: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<Slot>>,
}

/// A place in the batch, given back when it is dropped.
pub struct Slot {
    batch: Rc<Batch>,
}

impl Batch {
    /// A batch of `slots` places.
    pub fn new(slots: usize) -> Rc<Batch> {
        let inner = Inner {
            free: slots,
            running: 0,
            arrived: 0,
            waiting: BTreeMap::new(),
        };
        Rc::new(Batch {
            inner: RefCell::new(inner),
        })
    }

    /// A place; priority 0 is served first.
    pub async fn slot(self: &Rc<Batch>, priority: u8) -> Option<Slot> {
        let receiver = {
            let mut inner = self.inner.borrow_mut();
            if inner.free > 0 {
                inner.free -= 1;
                inner.running += 1;
                return Some(Slot {
                    batch: Rc::clone(self),
                });
            }
            inner.arrived += 1;
            let place = (priority, inner.arrived);
            let (sender, receiver) = oneshot::channel();
            inner.waiting.insert(place, sender);
            receiver
        };
        receiver.await.ok()
    }

    /// How many run.
    pub fn running(&self) -> usize {
        self.inner.borrow().running
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        let inner = self.inner.borrow();
        let waits = |sender: &&oneshot::Sender<Slot>| !sender.is_closed();
        inner.waiting.values().filter(waits).count()
    }

    fn next(&self) -> Option<oneshot::Sender<Slot>> {
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
        if let Some(sender) = self.batch.next() {
            // A receiver that went away in between drops the slot, which passes it on again.
            let _ = sender.send(Slot {
                batch: Rc::clone(&self.batch),
            });
        }
    }
}
