//! Simulated model engine: continuous batching with chunked prefill and a prefix cache.
//!
//! Work is done in steps. A step computes at most one chunk of prompt tokens and generates one
//! token for each sequence whose prompt is done; its duration grows with both.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use policy::job;

/// Capacity and speed of an engine; times in microseconds.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Maximum number of running sequences.
    pub slots: usize,
    /// Fixed part of a step.
    pub step_us: u64,
    /// Time added per sequence that gets a token.
    pub sequence_us: u64,
    /// Time added per computed prompt token.
    pub prompt_token_us: u64,
    /// Maximum number of prompt tokens in one step.
    pub chunk: u32,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            slots: 16,
            step_us: 10_000,
            sequence_us: 600,
            prompt_token_us: 100,
            chunk: 512,
            cache_tokens: 24_000,
        }
    }
}

/// A request in the engine.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Entry that sent it.
    pub entry: usize,
    /// Job id at that entry.
    pub id: job::Id,
    /// Prompt tokens still to compute.
    pub prompt_remaining: u32,
    /// All prompt tokens, with the output of earlier attempts.
    pub prompt: u32,
    /// Hash of the shared prefix.
    pub prefix: u64,
    /// Prompt tokens that the prefix covers.
    pub shared: u32,
    /// Output tokens generated in all attempts.
    pub generated: u32,
    /// Output tokens of the complete answer.
    pub output_tokens: u32,
    /// Content hash.
    pub fingerprint: u64,
    /// Prompt and output tokens computed in this attempt.
    pub computed: u64,
}

/// Output of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A token of a sequence, and whether it was the last.
    Token(usize, job::Id, bool),
}

/// Storage or eviction of a prefix.
#[derive(Clone, Copy, Debug)]
pub struct CacheEvent {
    /// Sequence number among the events of an engine.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix is in the cache now.
    pub stored: bool,
}

/// Health of a simulated engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// Runs at the speed of its shape.
    Healthy,
    /// Every step takes this many times longer.
    Slow(f64),
    /// Accepts work but makes no progress.
    Frozen,
    /// Fails every request at once.
    FailsFast,
    /// Declines every request at once, without starting it.
    Declines,
    /// The process is gone.
    Dead,
}

/// One incarnation of a replica.
#[derive(Clone, Debug)]
pub struct Engine {
    shape: Shape,
    /// Current health.
    pub health: Health,
    /// Sequences being computed.
    pub running: Vec<Sequence>,
    /// Sequences waiting inside the engine, in order of arrival.
    pub waiting: VecDeque<Sequence>,
    /// Cached prefixes with their lengths, least recently used first.
    cache: VecDeque<(u64, u32)>,
    /// Cache events since the last call of `take_events`.
    events: Vec<CacheEvent>,
    /// Number of cache events so far.
    sequence: u64,
    /// Whether a step is in progress.
    pub stepping: bool,
    /// Prompt and output tokens computed so far.
    pub computed: u64,
    /// Duration of all steps so far, in microseconds.
    pub busy_us: u64,
    /// Sequences submitted so far.
    pub submitted: u64,
    /// Submitted sequences that met no free slot.
    pub queued: u64,
    /// Most sequences at once beyond the slots.
    pub max_surplus: usize,
    /// Fingerprints that crash it.
    pub killers: BTreeSet<u64>,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(shape: Shape) -> Engine {
        Engine {
            shape,
            health: Health::Healthy,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            events: Vec::new(),
            sequence: 0,
            stepping: false,
            computed: 0,
            busy_us: 0,
            submitted: 0,
            queued: 0,
            max_surplus: 0,
            killers: BTreeSet::new(),
        }
    }

    /// Adds a sequence to the engine's own queue.
    pub fn submit(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
        let (running, waiting) = self.load();
        let surplus = (running + waiting).saturating_sub(self.shape.slots);
        self.submitted += 1;
        self.queued += u64::from(surplus > 0);
        self.max_surplus = self.max_surplus.max(surplus);
    }

    /// Removes a sequence with its state.
    pub fn remove(&mut self, entry: usize, id: job::Id) -> Option<Sequence> {
        let matches = |sequence: &Sequence| sequence.entry == entry && sequence.id == id;
        if let Some(index) = self.running.iter().position(matches) {
            return Some(self.running.remove(index));
        }
        let index = self.waiting.iter().position(matches)?;
        self.waiting.remove(index)
    }

    /// Crashes the engine and returns the sequences it held.
    pub fn crash(&mut self) -> Vec<Sequence> {
        self.health = Health::Dead;
        self.cache.clear();
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.waiting.drain(..));
        lost
    }

    /// Returns whether a request is running that crashes the engine.
    pub fn runs_killer(&self) -> bool {
        self.running
            .iter()
            .any(|sequence| self.killers.contains(&sequence.fingerprint))
    }

    /// Begins a step and returns its duration in microseconds; none if there is nothing to do.
    pub fn begin_step(&mut self) -> Option<u64> {
        if matches!(self.health, Health::Frozen | Health::Dead) {
            return None;
        }
        self.admit_waiting();
        if self.running.is_empty() {
            return None;
        }
        let decoding = self
            .running
            .iter()
            .filter(|sequence| sequence.prompt_remaining == 0)
            .count() as u64;
        let pending: u64 = self
            .running
            .iter()
            .map(|sequence| u64::from(sequence.prompt_remaining))
            .sum();
        let prompt = pending.min(u64::from(self.shape.chunk));
        let duration = self.shape.step_us
            + decoding * self.shape.sequence_us
            + prompt * self.shape.prompt_token_us;
        self.stepping = true;
        self.busy_us += duration;
        Some(match self.health {
            Health::Slow(factor) => (duration as f64 * factor) as u64,
            _ => duration,
        })
    }

    /// Ends the current step.
    pub fn finish_step(&mut self) -> Vec<Output> {
        self.stepping = false;
        let mut outputs = Vec::new();
        let mut budget = self.shape.chunk;
        let mut computed_prefixes = Vec::new();
        for sequence in &mut self.running {
            if sequence.prompt_remaining == 0 {
                sequence.generated += 1;
                sequence.computed += 1;
                self.computed += 1;
                outputs.push(Output::Token(
                    sequence.entry,
                    sequence.id,
                    sequence.generated >= sequence.output_tokens,
                ));
                continue;
            }
            let computed = sequence.prompt_remaining.min(budget);
            sequence.prompt_remaining -= computed;
            budget -= computed;
            sequence.computed += u64::from(computed);
            self.computed += u64::from(computed);
            if computed > 0 && sequence.prompt_remaining == 0 {
                computed_prefixes.push((sequence.prefix, sequence.shared));
            }
        }
        self.running
            .retain(|sequence| sequence.generated < sequence.output_tokens);
        for (prefix, shared) in computed_prefixes {
            self.touch_prefix(prefix, shared);
        }
        outputs
    }

    /// Returns the numbers of running and waiting sequences.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Moves waiting sequences into free slots; a cached prefix isn't computed again.
    fn admit_waiting(&mut self) {
        while self.running.len() < self.shape.slots {
            let Some(mut sequence) = self.waiting.pop_front() else {
                return;
            };
            let is_cached = sequence.prompt_remaining == sequence.prompt
                && self
                    .cache
                    .iter()
                    .any(|(prefix, _)| *prefix == sequence.prefix);
            if is_cached {
                sequence.prompt_remaining -= sequence.shared.min(sequence.prompt_remaining - 1);
                self.touch_prefix(sequence.prefix, sequence.shared);
            }
            self.running.push(sequence);
        }
    }

    /// Returns the cache events since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn record_event(&mut self, prefix: u64, stored: bool) {
        self.sequence += 1;
        self.events.push(CacheEvent {
            sequence: self.sequence,
            prefix,
            stored,
        });
    }

    /// Marks a prefix as most recently used and evicts the oldest beyond the cache's capacity.
    fn touch_prefix(&mut self, prefix: u64, shared: u32) {
        let previous_len = self.cache.len();
        self.cache.retain(|(cached, _)| *cached != prefix);
        if self.cache.len() == previous_len {
            self.record_event(prefix, true);
        }
        self.cache.push_back((prefix, shared));
        let mut size: u64 = self
            .cache
            .iter()
            .map(|(_, tokens)| u64::from(*tokens))
            .sum();
        while size > self.shape.cache_tokens {
            let Some((evicted, tokens)) = self.cache.pop_front() else {
                return;
            };
            self.record_event(evicted, false);
            size -= u64::from(tokens);
        }
    }
}
