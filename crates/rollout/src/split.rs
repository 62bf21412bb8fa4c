//! One entry's part: which requests try a version.

use clock::Span;
use clock::Time;
use smol_str::SmolStr;

use crate::order::Order;
use crate::stage::Phase;
use crate::stage::Stage;

/// Word of the leader that is older counts as none: a version may have been found bad since.
const FRESH: Span = Span::from_millis(2_500);

/// What one entry knows of one service's roll-out.
#[derive(Clone, Debug)]
pub struct Split {
    order: Order,
    stage: Stage,
    /// Orders the leader's words.
    word: u64,
    /// When its last word was given, by our clock.
    heard: Option<Time>,
}

/// Where a new request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// To the version in use.
    Old,
    /// To the ordered one.
    New,
}

impl Split {
    /// An order without a word of the leader.
    pub fn new(order: Order) -> Split {
        let stage = Stage {
            order: order.revision,
            to: order.to.clone(),
            ..Stage::default()
        };
        Split {
            order,
            stage,
            word: 0,
            heard: None,
        }
    }

    /// The order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// What becomes of new requests.
    pub fn phase(&self) -> Phase {
        self.stage.phase
    }

    /// Takes in the leader's word, which is `age` old; whether the phase changed.
    pub fn heard(&mut self, now: Time, word: u64, age: Span, stage: &Stage) -> bool {
        let other = stage.order != self.order.revision || stage.to != self.order.to;
        if other || word <= self.word {
            return false;
        }
        let changed = stage.phase != self.stage.phase;
        self.word = word;
        self.heard = Some(Time::from_millis(
            now.as_millis().saturating_sub(age.as_millis()),
        ));
        self.stage = stage.clone();
        changed
    }

    /// Where a new request of a route goes; `drawn` is drawn evenly from 0 to 1.
    ///
    /// Without fresh word nothing tries the version: were an entry cut off from the leader to go on, it would send requests
    /// to a version that all others have given up.
    pub fn side(&self, now: Time, route: &SmolStr, drawn: f64) -> Side {
        let fresh = self.heard.is_some_and(|heard| now.since(heard) <= FRESH);
        let new = match self.stage.phase {
            Phase::Trial => fresh && drawn < self.stage.shares.get(route).copied().unwrap_or(0.0),
            Phase::Moving | Phase::Completed => true,
            Phase::RolledBack => false,
        };
        match new {
            true => Side::New,
            false => Side::Old,
        }
    }
}
