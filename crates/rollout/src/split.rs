//! Splits one entry's new requests between the old and the new version.

use clock::Span;
use clock::Time;
use smol_str::SmolStr;

use crate::order::Order;
use crate::stage::Phase;
use crate::stage::Stage;

/// An older announcement is ignored: the version may have been found bad since.
const MAX_ANNOUNCEMENT_AGE: Span = Span::from_millis(2_500);

/// One entry's view of one service's roll-out.
#[derive(Clone, Debug)]
pub struct Split {
    order: Order,
    stage: Stage,
    /// Number of the leader's latest announcement.
    announcement: u64,
    /// When it was made, by this entry's clock.
    announced_at: Option<Time>,
}

/// The version that a new request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The version in use.
    Old,
    /// The ordered version.
    New,
}

impl Split {
    /// Creates a split for an order that the leader hasn't announced yet.
    pub fn new(order: Order) -> Split {
        let stage = Stage {
            order: order.revision,
            to: order.to.clone(),
            ..Stage::default()
        };
        Split {
            order,
            stage,
            announcement: 0,
            announced_at: None,
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the stage that the leader last announced, if it has.
    pub fn announced_stage(&self) -> Option<&Stage> {
        self.announced_at.map(|_| &self.stage)
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.stage.phase
    }

    /// Applies the leader's announcement, which is `age` old; returns whether the phase changed.
    pub fn apply_stage(&mut self, now: Time, number: u64, age: Span, stage: &Stage) -> bool {
        let is_other_order = stage.order != self.order.revision || stage.to != self.order.to;
        if is_other_order || number <= self.announcement {
            return false;
        }
        let changed = stage.phase != self.stage.phase;
        self.announcement = number;
        self.announced_at = Some(Time::from_millis(
            now.as_millis().saturating_sub(age.as_millis()),
        ));
        self.stage = stage.clone();
        changed
    }

    /// Returns the version for a new request of a route; `draw` is uniform in [0, 1).
    ///
    /// Guards against an entry that is cut off from the leader: it would keep sending requests to a
    /// version that has been rolled back.
    pub fn side(&self, now: Time, route: &SmolStr, draw: f64) -> Side {
        let fresh = self
            .announced_at
            .is_some_and(|at| now.since(at) <= MAX_ANNOUNCEMENT_AGE);
        let new = match self.stage.phase {
            Phase::Canary => fresh && draw < self.stage.shares.get(route).copied().unwrap_or(0.0),
            Phase::Moving | Phase::Completed => true,
            Phase::RolledBack => false,
        };
        match new {
            true => Side::New,
            false => Side::Old,
        }
    }
}
