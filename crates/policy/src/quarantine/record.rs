//! What is held against one fingerprint.

use clock::Time;

/// Most identities kept of each kind: two decide, the rest absorbs late news.
const MOST: usize = 4;

/// Evidence for and against one fingerprint.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Incarnations that crashed under it; distinct, oldest first.
    pub crashes: Vec<u64>,
    /// Incarnations it was cleared of; distinct.
    pub acquitted: Vec<u64>,
    /// It isn't judged before: news of the peers may be on the way.
    pub settled: Time,
    /// When it is forgotten, or released on parole.
    pub expires: Time,
    /// Rises with every change over all records, for digests.
    pub changed: u64,
}

impl Record {
    /// A record without evidence.
    pub fn new(settled: Time, expires: Time) -> Record {
        Record {
            crashes: Vec::new(),
            acquitted: Vec::new(),
            settled,
            expires,
            changed: 0,
        }
    }

    /// Crashes that still count.
    pub fn blame(&self) -> usize {
        self.crashes
            .iter()
            .filter(|crash| !self.acquitted.contains(crash))
            .count()
    }

    /// Adds identities; true if one was new.
    pub fn accuse(&mut self, crashes: &[u64]) -> bool {
        add(&mut self.crashes, crashes)
    }

    /// Keeps only the latest crash: one more is enough.
    pub fn keep_last(&mut self) {
        let last = self.crashes.len().saturating_sub(1);
        self.crashes.drain(..last);
    }

    /// Forgets these crashes: they blame nobody.
    pub fn forget(&mut self, lost: &[u64]) {
        self.crashes.retain(|crash| !lost.contains(crash));
    }

    /// Clears it of these crashes; true if one was new.
    pub fn acquit(&mut self, crashes: &[u64]) -> bool {
        add(&mut self.acquitted, crashes)
    }
}

/// Adds what is new, dropping the oldest beyond the bound.
fn add(to: &mut Vec<u64>, from: &[u64]) -> bool {
    let before = to.len();
    let new: Vec<u64> = from
        .iter()
        .filter(|item| !to.contains(item))
        .copied()
        .collect();
    to.extend(&new);
    let changed = to.len() != before;
    if to.len() > MOST {
        to.drain(..to.len() - MOST);
    }
    changed
}
