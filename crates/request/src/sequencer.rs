//! Position in a caller's stream: passes on each offset once and in order, from one attempt at a time.
//!
//! Guards against duplicated or reordered tokens. Chunks of an older attempt may arrive after a request
//! moved; they are recognized by their attempt number and dropped. Chunks that a resumed stream repeats
//! have an offset below the next one and are dropped. An offset above the next one is a gap and ends the
//! attempt, because passing it on would lose tokens. The next offset only rises, so no offset is passed on
//! twice.

/// Decision on a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Pass the chunk on to the caller.
    Emit,
    /// Discard the chunk: it was passed on before or belongs to an older attempt.
    Drop,
    /// End the attempt: earlier chunks are missing.
    Gap,
}

/// Position in one caller's stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sequencer {
    /// Offset that the caller gets next; it only rises.
    next_offset: u64,
    /// Attempt whose chunks are accepted; it only rises.
    attempt: u32,
    /// Caller's offset of the attempt's first token.
    base_offset: u64,
}

impl Sequencer {
    /// Creates a sequencer for a caller that expects the offset `next`.
    pub fn starting_at(next: u64) -> Sequencer {
        Sequencer {
            next_offset: next,
            attempt: 0,
            base_offset: 0,
        }
    }

    /// Returns the offset that the caller gets next.
    pub fn next(&self) -> u64 {
        self.next_offset
    }

    /// Accepts chunks of `attempt` from now on; its first token has the caller's offset `base`.
    pub fn begin_attempt(&mut self, attempt: u32, base: u64) {
        if attempt >= self.attempt {
            self.attempt = attempt;
            self.base_offset = base;
        }
    }

    /// Decides on a chunk by its attempt and its offset within the engine's stream.
    pub fn accept(&mut self, attempt: u32, engine_offset: u64) -> Decision {
        if attempt != self.attempt {
            return Decision::Drop;
        }
        let offset = self.base_offset + engine_offset;
        if offset < self.next_offset {
            return Decision::Drop;
        }
        if offset > self.next_offset {
            return Decision::Gap;
        }
        self.next_offset += 1;
        Decision::Emit
    }
}
