//! A stream of tokens: its progress and its readers.

use std::cell::Cell;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::tokens::Plan;

/// One stream of tokens.
pub struct Stream {
    /// Tokens to generate.
    pub plan: Plan,
    /// Priority in the batch queue; 0 is served first.
    pub priority: u8,
    /// Prompt tokens in the KV cache of this stream.
    pub prompt_tokens: u64,
    produced: Cell<u32>,
    phase: Cell<Phase>,
    readers: Cell<u32>,
    departures: Cell<u64>,
    changed: Notify,
}

/// Phase of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waiting for a slot or generating.
    Running,
    /// Exported or imported, and not running.
    Parked,
    /// Completely generated.
    Finished,
    /// Cancelled by the entry or after the resume window.
    Cancelled,
}

/// Form in which a stream is transferred between engines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    plan: Plan,
    priority: u8,
    prompt_tokens: u64,
    produced: u32,
}

impl Stream {
    /// Creates a stream without generated tokens.
    pub fn new(plan: Plan, priority: u8, prompt_tokens: u64) -> Stream {
        Stream {
            plan,
            priority,
            prompt_tokens,
            produced: Cell::new(0),
            phase: Cell::new(Phase::Running),
            readers: Cell::new(0),
            departures: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// Creates a parked stream from an export.
    pub fn import(snapshot: Snapshot) -> Stream {
        let stream = Stream::new(snapshot.plan, snapshot.priority, snapshot.prompt_tokens);
        stream.produced.set(snapshot.produced);
        stream.phase.set(Phase::Parked);
        stream
    }

    /// Parks the stream and returns its export.
    pub fn export(&self) -> Snapshot {
        if self.phase.get() == Phase::Running {
            self.set_phase(Phase::Parked);
        }
        Snapshot {
            plan: self.plan,
            priority: self.priority,
            prompt_tokens: self.prompt_tokens,
            produced: self.produced.get(),
        }
    }

    /// Returns the number of generated tokens.
    pub fn produced(&self) -> u32 {
        self.produced.get()
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Enters a phase and notifies the readers.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.changed.notify_waiters();
    }

    /// Adds a token and finishes the stream if it was the last one.
    pub fn advance(&self) {
        self.produced.set(self.produced.get() + 1);
        self.finish_if_complete();
        self.changed.notify_waiters();
    }

    /// Finishes the stream if all tokens are generated.
    pub fn finish_if_complete(&self) {
        if self.phase.get() == Phase::Running && self.produced.get() >= self.plan.new {
            self.set_phase(Phase::Finished);
        }
    }

    /// Waits for the next change. A change between a caller's check and this call can't be missed, because
    /// all tasks share one thread and nothing is awaited in between.
    pub async fn wait_for_change(&self) {
        self.changed.notified().await;
    }

    /// Adds a reader.
    pub fn add_reader(&self) {
        self.readers.set(self.readers.get() + 1);
    }

    /// Removes a reader and returns the number of departures so far.
    pub fn remove_reader(&self) -> u64 {
        self.readers.set(self.readers.get() - 1);
        self.departures.set(self.departures.get() + 1);
        self.departures.get()
    }

    /// Returns whether no reader has joined or left since `departures` departures.
    pub fn is_abandoned_since(&self, departures: u64) -> bool {
        self.readers.get() == 0 && self.departures.get() == departures
    }

    /// Returns the tokens held in the KV cache.
    pub fn held_tokens(&self) -> u64 {
        self.prompt_tokens + u64::from(self.produced.get())
    }
}
