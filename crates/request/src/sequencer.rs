//! The caller's position in its stream: each offset is passed on once, in order, from one attempt.
//!
//! Guards against a doubled or reordered answer. Words of an older attempt can arrive after a move;
//! they show as an old attempt number and are dropped. Words that a resumed stream repeats show as an
//! offset below the next one and are dropped. A gap shows as an offset above the next one and ends the
//! attempt, because passing it on would lose tokens. `next` only rises, so no offset passes twice.

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Give it to the caller.
    Emit,
    /// It was given before, or belongs to an older attempt.
    Drop,
    /// Chunks before it are missing: end this attempt.
    Gap,
}

/// The position of one caller's stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sequencer {
    /// The offset that the caller gets next; only rises.
    next: u64,
    /// The attempt whose words count; only rises.
    attempt: u32,
    /// The caller's offset of that attempt's first token.
    base: u64,
}

impl Sequencer {
    /// A caller that wants `next` first.
    pub fn starting_at(next: u64) -> Sequencer {
        Sequencer {
            next,
            attempt: 0,
            base: 0,
        }
    }

    /// The offset that the caller gets next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Words of `attempt` count from now on; its first token has the caller's offset `base`.
    pub fn begin_attempt(&mut self, attempt: u32, base: u64) {
        if attempt >= self.attempt {
            self.attempt = attempt;
            self.base = base;
        }
    }

    /// Judges a chunk by its attempt and its offset within the engine's stream.
    pub fn accept(&mut self, attempt: u32, engine_offset: u64) -> Decision {
        if attempt != self.attempt {
            return Decision::Drop;
        }
        let offset = self.base + engine_offset;
        if offset < self.next {
            return Decision::Drop;
        }
        if offset > self.next {
            return Decision::Gap;
        }
        self.next += 1;
        Decision::Emit
    }
}
