//! The order of a stream's events, over all attempts that bring a part of it.
//!
//! Guards against a complete answer in which an event is missing, comes twice or belongs to another run. The ids of a
//! run's events are numbers that rise. The step between them isn't stated: they may count events, tokens or bytes. So
//! a number that a run leaves out is no gap, and one between two runs is a gap only if all steps before were equal.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use smol_str::SmolStr;

use crate::events::Event;

/// Equal steps that show the numbering of a stream. A single one may be chance where numbers count tokens or bytes.
const STEPS_SHOWN: u32 = 2;

/// The place of a block in its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// It follows what the caller has.
    Next,
    /// The caller has it already.
    Duplicate,
    /// Events are missing before it, or it is of another run than those before.
    Misplaced,
}

/// The events that the caller received of a stream.
#[derive(Clone, Debug, Default)]
pub struct Sequence {
    /// Id after which the caller takes up a stream.
    requested: Option<SmolStr>,
    /// Id of the last event with data that the caller received, whether here or from an earlier answer.
    last: Option<SmolStr>,
    /// Hash of that event's data; `None` if it came in an earlier answer.
    last_data: Option<u64>,
    /// Number of the event before, in the current attempt.
    previous: Option<u64>,
    step: Step,
}

/// The step between the numbers of two events.
#[derive(Clone, Copy, Debug, Default)]
enum Step {
    /// No two events came one after the other.
    #[default]
    Unknown,
    /// All steps so far were equal.
    Even { size: u64, count: u32 },
    /// Steps differ, or blocks without data have numbers of their own.
    Uneven,
}

impl Sequence {
    /// Creates the sequence of a request whose caller names the id of the last event that it has.
    pub fn new(requested: Option<SmolStr>) -> Sequence {
        Sequence {
            requested,
            ..Sequence::default()
        }
    }

    /// Returns the id of the last event that the caller has.
    pub fn last(&self) -> Option<&SmolStr> {
        self.last.as_ref()
    }

    /// Begins an attempt. Only a stream that may be resumed goes on after the id that its caller names.
    pub fn begin_attempt(&mut self, is_resumable: bool) {
        self.previous = None;
        let requested = self.requested.take_if(|_| is_resumable);
        if let Some(id) = requested.filter(|id| number(id).is_some()) {
            self.last.get_or_insert(id);
        }
    }

    /// Returns whether another run can go on where the caller's stream broke off. Without a number, nothing tells its
    /// events from those that the caller has.
    pub fn is_numbered(&self) -> bool {
        self.last_number().is_some()
    }

    /// Returns whether the current attempt got as far as the caller is, and no further.
    pub fn is_caught_up(&self) -> bool {
        self.previous.is_some() && self.previous == self.last_number()
    }

    /// Returns the place of an event with data.
    pub fn place_event(&mut self, event: &Event) -> Place {
        let Some(id) = &event.id else {
            return Place::Next;
        };
        let data = hash(event);
        let Some(number) = number(id) else {
            let is_repeated = self.last.as_ref() == Some(id) && self.last_data == Some(data);
            return match is_repeated {
                true => Place::Duplicate,
                false => self.follow(id, data),
            };
        };
        let before = self.previous.replace(number);
        if before.is_some_and(|before| number < before) {
            return Place::Misplaced;
        }
        if let Some(before) = before {
            self.step = self.step.after(number - before);
        }
        let Some(last) = self.last_number() else {
            return self.follow(id, data);
        };
        if number < last {
            return Place::Duplicate;
        }
        if number == last {
            return match self.last_data.is_none_or(|last_data| last_data == data) {
                true => Place::Duplicate,
                false => Place::Misplaced,
            };
        }
        let is_misplaced = match before {
            // A run that begins before the caller's last event has that event too.
            Some(before) => before < last,
            None => self.step.leaves_gap(number - last),
        };
        match is_misplaced {
            true => Place::Misplaced,
            false => self.follow(id, data),
        }
    }

    /// Returns the place of a block without data. The caller takes the id of such a block for that of its last event, so
    /// one with a lower number must not reach it. The stream isn't resumed after it: the number may be that of an event
    /// to come.
    pub fn place_dataless(&mut self, block: &Event) -> Place {
        let Some(number) = block.id.as_deref().and_then(number) else {
            return Place::Next;
        };
        let last = self.last_number();
        if last.is_some_and(|last| number < last) {
            return Place::Duplicate;
        }
        if last != Some(number) {
            self.step = Step::Uneven;
        }
        Place::Next
    }

    fn last_number(&self) -> Option<u64> {
        self.last.as_deref().and_then(number)
    }

    fn follow(&mut self, id: &SmolStr, data: u64) -> Place {
        self.last = Some(id.clone());
        self.last_data = Some(data);
        Place::Next
    }
}

impl Step {
    fn after(self, next: u64) -> Step {
        match self {
            _ if next == 0 => self,
            Step::Unknown => Step::Even {
                size: next,
                count: 1,
            },
            Step::Even { size, count } if size == next => Step::Even {
                size,
                count: count.saturating_add(1),
            },
            Step::Even { .. } | Step::Uneven => Step::Uneven,
        }
    }

    /// Returns whether events are missing where two numbers are so far apart.
    fn leaves_gap(self, distance: u64) -> bool {
        matches!(self, Step::Even { size, count } if count >= STEPS_SHOWN && distance > size)
    }
}

/// Returns the number that an id is.
fn number(id: &str) -> Option<u64> {
    id.parse().ok()
}

/// Returns a hash of an event's lines of data.
fn hash(event: &Event) -> u64 {
    let mut hasher = DefaultHasher::new();
    for line in event.data_lines() {
        line.hash(&mut hasher);
    }
    hasher.finish()
}
