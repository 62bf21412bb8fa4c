//! One stream: what is generated of it, and how its readers wait for more.

use std::cell::Cell;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::tokens::Plan;

/// One stream of tokens.
pub struct Stream {
    /// What is generated.
    pub plan: Plan,
    /// Its place in the queue of the batch; 0 is served first.
    pub priority: u8,
    /// Tokens that the KV cache of this stream stands for, without those generated.
    pub prompt_tokens: u64,
    produced: Cell<u32>,
    phase: Cell<Phase>,
    readers: Cell<u32>,
    left: Cell<u64>,
    changed: Notify,
}

/// How far a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits or generates.
    Running,
    /// It was exported or imported and stands still.
    Parked,
    /// All tokens are there.
    Finished,
    /// It was cancelled.
    Cancelled,
}

/// The form in which a stream travels between engines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Blob {
    plan: Plan,
    priority: u8,
    prompt_tokens: u64,
    produced: u32,
}

impl Stream {
    /// A stream of which nothing is generated.
    pub fn new(plan: Plan, priority: u8, prompt_tokens: u64) -> Stream {
        Stream {
            plan,
            priority,
            prompt_tokens,
            produced: Cell::new(0),
            phase: Cell::new(Phase::Running),
            readers: Cell::new(0),
            left: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// A parked stream out of its travelling form.
    pub fn import(blob: Blob) -> Stream {
        let stream = Stream::new(blob.plan, blob.priority, blob.prompt_tokens);
        stream.produced.set(blob.produced);
        stream.phase.set(Phase::Parked);
        stream
    }

    /// Parks it and gives its travelling form.
    pub fn export(&self) -> Blob {
        if self.phase.get() == Phase::Running {
            self.set_phase(Phase::Parked);
        }
        Blob {
            plan: self.plan,
            priority: self.priority,
            prompt_tokens: self.prompt_tokens,
            produced: self.produced.get(),
        }
    }

    /// Tokens generated.
    pub fn produced(&self) -> u32 {
        self.produced.get()
    }

    /// How far it is.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Goes to another phase and tells the readers.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.changed.notify_waiters();
    }

    /// One token more; finishes with the last.
    pub fn advance(&self) {
        self.produced.set(self.produced.get() + 1);
        self.finish_if_whole();
        self.changed.notify_waiters();
    }

    /// Finishes it if nothing is left to generate.
    pub fn finish_if_whole(&self) {
        if self.phase.get() == Phase::Running && self.produced.get() >= self.plan.new {
            self.set_phase(Phase::Finished);
        }
    }

    /// Returns after the next change. No change is missed between a look and this call, because
    /// everything runs on one thread and nothing is awaited in between.
    pub async fn change(&self) {
        self.changed.notified().await;
    }

    /// A reader came.
    pub fn enter(&self) {
        self.readers.set(self.readers.get() + 1);
    }

    /// A reader went; returns how often that happened, to tell a later one from this one.
    pub fn leave(&self) -> u64 {
        self.readers.set(self.readers.get() - 1);
        self.left.set(self.left.get() + 1);
        self.left.get()
    }

    /// Whether no reader came or went since the departure that had this count.
    pub fn is_deserted_since(&self, departure: u64) -> bool {
        self.readers.get() == 0 && self.left.get() == departure
    }

    /// Tokens held in memory.
    pub fn held_tokens(&self) -> u64 {
        self.prompt_tokens + u64::from(self.produced.get())
    }
}
