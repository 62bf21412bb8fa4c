//! A fake model engine: continuous batching with chunked prefill and a prefix cache.
//!
//! Work goes in steps. A step computes at most one chunk of prompt tokens and gives each sequence
//! whose prompt is done one token; it takes longer the more of both it holds.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use policy::job;

/// What an engine can do; times in microseconds.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Sequences that run at once.
    pub slots: usize,
    /// Fixed part of a step.
    pub step_us: u64,
    /// Added for each sequence that gets a token.
    pub sequence_us: u64,
    /// Added for each prompt token computed.
    pub prompt_token_us: u64,
    /// Most prompt tokens in one step.
    pub chunk: u32,
    /// Tokens of prefixes that the cache holds.
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

/// A request as the engine holds it.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Which entry sent it.
    pub entry: usize,
    /// Under which name.
    pub id: job::Id,
    /// Prompt tokens still to compute.
    pub prompt_left: u32,
    /// Prompt tokens (and earlier output) in all.
    pub prompt: u32,
    /// Hash of the shared prefix.
    pub prefix: u64,
    /// Tokens of the prompt that the prefix covers.
    pub shared: u32,
    /// Output tokens made over all attempts.
    pub made: u32,
    /// Output tokens at which the answer is whole.
    pub wanted: u32,
    /// Content hash, for killers.
    pub fingerprint: u64,
    /// Prompt and output tokens computed in this attempt.
    pub computed: u64,
}

/// What a step brought about.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// One more token of that sequence; whether it was the last.
    Token(usize, job::Id, bool),
}

/// A prefix was stored or evicted.
#[derive(Clone, Copy, Debug)]
pub struct CacheEvent {
    /// Rises by one with each event of an engine.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it is held now.
    pub stored: bool,
}

/// Health of a fake engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// As its shape says.
    Well,
    /// Every step takes this many times longer.
    Slow(f64),
    /// Accepts work, never gets on.
    Frozen,
    /// Fails every request at once.
    FailsFast,
    /// Says at once that it did not start the request.
    Declines,
    /// The process is gone.
    Dead,
}

/// One incarnation.
#[derive(Clone, Debug)]
pub struct Engine {
    shape: Shape,
    /// How it does.
    pub health: Health,
    /// Being computed.
    pub running: Vec<Sequence>,
    /// Waiting inside the engine, in order of arrival.
    pub waiting: VecDeque<Sequence>,
    /// Prefixes held, least recently used first, with their lengths.
    cache: VecDeque<(u64, u32)>,
    /// What became of the cache since somebody asked.
    events: Vec<CacheEvent>,
    /// Events so far.
    sequence: u64,
    /// Whether a step is in progress.
    pub stepping: bool,
    /// Prompt and output tokens computed so far.
    pub computed: u64,
    /// Microseconds of steps done.
    pub busy_us: u64,
    /// Fingerprints that crash it.
    pub killers: BTreeSet<u64>,
}

impl Engine {
    /// An idle engine with an empty cache.
    pub fn new(shape: Shape) -> Engine {
        Engine {
            shape,
            health: Health::Well,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            events: Vec::new(),
            sequence: 0,
            stepping: false,
            computed: 0,
            busy_us: 0,
            killers: BTreeSet::new(),
        }
    }

    /// Puts a sequence in the engine's own queue.
    pub fn submit(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    /// Takes a sequence out, with its state.
    pub fn remove(&mut self, entry: usize, id: job::Id) -> Option<Sequence> {
        let matches = |held: &Sequence| held.entry == entry && held.id == id;
        if let Some(at) = self.running.iter().position(matches) {
            return Some(self.running.remove(at));
        }
        let at = self.waiting.iter().position(matches)?;
        self.waiting.remove(at)
    }

    /// Everything it held; the cache is lost.
    pub fn crash(&mut self) -> Vec<Sequence> {
        self.health = Health::Dead;
        self.cache.clear();
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.waiting.drain(..));
        lost
    }

    /// Whether it holds a request that crashes it once it runs.
    pub fn holds_killer(&self) -> bool {
        self.running
            .iter()
            .any(|held| self.killers.contains(&held.fingerprint))
    }

    /// Begins a step; its length in microseconds, or none if there is nothing to do.
    pub fn begin(&mut self) -> Option<u64> {
        if matches!(self.health, Health::Frozen | Health::Dead) {
            return None;
        }
        self.fill();
        if self.running.is_empty() {
            return None;
        }
        let decoding = self
            .running
            .iter()
            .filter(|held| held.prompt_left == 0)
            .count() as u64;
        let pending: u64 = self
            .running
            .iter()
            .map(|held| u64::from(held.prompt_left))
            .sum();
        let prompt = pending.min(u64::from(self.shape.chunk));
        let plain = self.shape.step_us
            + decoding * self.shape.sequence_us
            + prompt * self.shape.prompt_token_us;
        self.stepping = true;
        self.busy_us += plain;
        Some(match self.health {
            Health::Slow(factor) => (plain as f64 * factor) as u64,
            _ => plain,
        })
    }

    /// Ends the step begun last.
    pub fn finish(&mut self) -> Vec<Output> {
        self.stepping = false;
        let mut outputs = Vec::new();
        let mut budget = self.shape.chunk;
        let mut warmed = Vec::new();
        for held in &mut self.running {
            if held.prompt_left == 0 {
                held.made += 1;
                held.computed += 1;
                self.computed += 1;
                outputs.push(Output::Token(held.entry, held.id, held.made >= held.wanted));
                continue;
            }
            let done = held.prompt_left.min(budget);
            held.prompt_left -= done;
            budget -= done;
            held.computed += u64::from(done);
            self.computed += u64::from(done);
            if done > 0 && held.prompt_left == 0 {
                warmed.push((held.prefix, held.shared));
            }
        }
        self.running.retain(|held| held.made < held.wanted);
        for (prefix, shared) in warmed {
            self.remember(prefix, shared);
        }
        outputs
    }

    /// Sequences running and waiting.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Moves waiting sequences into free slots; a cached prefix needs no computing.
    fn fill(&mut self) {
        while self.running.len() < self.shape.slots {
            let Some(mut next) = self.waiting.pop_front() else {
                return;
            };
            let hit = next.prompt_left == next.prompt
                && self.cache.iter().any(|(prefix, _)| *prefix == next.prefix);
            if hit {
                next.prompt_left -= next.shared.min(next.prompt_left - 1);
                self.remember(next.prefix, next.shared);
            }
            self.running.push(next);
        }
    }

    /// What became of the cache since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn note(&mut self, prefix: u64, stored: bool) {
        self.sequence += 1;
        self.events.push(CacheEvent {
            sequence: self.sequence,
            prefix,
            stored,
        });
    }

    /// Notes a prefix as used just now and drops the oldest beyond the cache's size.
    fn remember(&mut self, prefix: u64, shared: u32) {
        let held = self.cache.len();
        self.cache.retain(|(held, _)| *held != prefix);
        if self.cache.len() == held {
            self.note(prefix, true);
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
            self.note(evicted, false);
            size -= u64::from(tokens);
        }
    }
}
