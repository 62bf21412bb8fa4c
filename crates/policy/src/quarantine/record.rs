//! Evidence on one fingerprint.

use clock::Time;

/// Maximum number of replicas in each list: two are enough to decide, the rest absorbs late
/// digests.
const MAX_REPLICAS: usize = 4;

/// Evidence for and against one fingerprint.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Incarnations that crashed while it ran there; distinct, oldest first.
    pub crashes: Vec<u64>,
    /// Incarnations of whose crashes it was acquitted; distinct.
    pub acquitted: Vec<u64>,
    /// It isn't judged before this time, because evidence from peers may be in transit.
    pub settled: Time,
    /// When it is dropped, or released on parole.
    pub expires: Time,
    /// Sequence number of the last change among all records, for digests.
    pub changed: u64,
}

impl Record {
    /// Creates a record without evidence.
    pub fn new(settled: Time, expires: Time) -> Record {
        Record {
            crashes: Vec::new(),
            acquitted: Vec::new(),
            settled,
            expires,
            changed: 0,
        }
    }

    /// Returns the number of crashes that still count.
    pub fn blame(&self) -> usize {
        self.crashes
            .iter()
            .filter(|crash| !self.acquitted.contains(crash))
            .count()
    }

    /// Adds crashes; returns whether any was new.
    pub fn accuse(&mut self, crashes: &[u64]) -> bool {
        add(&mut self.crashes, crashes)
    }

    /// Keeps only the latest crash, so that one more is enough.
    pub fn keep_last(&mut self) {
        let last = self.crashes.len().saturating_sub(1);
        self.crashes.drain(..last);
    }

    /// Drops forgiven crashes, which blame no request.
    pub fn forgive(&mut self, lost: &[u64]) {
        self.crashes.retain(|crash| !lost.contains(crash));
    }

    /// Acquits it of crashes; returns whether any was new.
    pub fn acquit(&mut self, crashes: &[u64]) -> bool {
        add(&mut self.acquitted, crashes)
    }
}

/// Adds new items and drops the oldest beyond the bound.
fn add(to: &mut Vec<u64>, from: &[u64]) -> bool {
    let before = to.len();
    let new: Vec<u64> = from
        .iter()
        .filter(|item| !to.contains(item))
        .copied()
        .collect();
    to.extend(&new);
    let changed = to.len() != before;
    if to.len() > MAX_REPLICAS {
        to.drain(..to.len() - MAX_REPLICAS);
    }
    changed
}
