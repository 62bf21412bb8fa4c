//! Orders: the model, adapter and version to load, and the role to take.

use std::cell::RefCell;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// An order to reach a state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the sender.
    pub fence: u64,
    /// The state to reach.
    pub target: Target,
}

/// State that an engine is ordered to reach.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Target {
    /// Base model.
    pub model: SmolStr,
    /// Adapter; empty for none.
    pub adapter: SmolStr,
    /// Version of model and adapter.
    pub version: SmolStr,
    /// `serve` or empty takes requests, any other role doesn't.
    pub role: SmolStr,
}

/// Status that the engine reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Target of the last accepted order.
    pub target: Target,
    /// Whether the target is reached.
    pub loaded: bool,
    /// Highest fencing number accepted.
    pub fence: u64,
}

/// Accepts and executes orders.
pub struct Orders {
    status: RefCell<Status>,
    checks_fencing: bool,
}

impl Orders {
    /// Starts without a target; every model counts as loaded.
    pub fn new(checks_fencing: bool) -> Orders {
        let status = Status {
            loaded: true,
            ..Status::default()
        };
        Orders {
            status: RefCell::new(status),
            checks_fencing,
        }
    }

    /// Accepts an order, or returns the higher fencing number that refuses it.
    pub fn accept(&self, order: &Order) -> Result<(), u64> {
        let mut status = self.status.borrow_mut();
        if self.checks_fencing && order.fence < status.fence {
            return Err(status.fence);
        }
        status.fence = status.fence.max(order.fence);
        // The first order names the model that the engine was started with.
        let unchanged = status.target == order.target || status.target == Target::default();
        status.loaded = status.loaded && unchanged;
        status.target = order.target.clone();
        Ok(())
    }

    /// Reaches the target of `order` after `time`, unless another order replaced it meanwhile.
    pub async fn execute(&self, order: &Order, time: Duration) {
        tokio::time::sleep(time).await;
        let mut status = self.status.borrow_mut();
        if status.target == order.target {
            status.loaded = true;
        }
    }

    /// Returns the engine's status.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Returns whether the engine takes requests.
    pub fn serves(&self) -> bool {
        let status = self.status.borrow();
        let role = status.target.role.as_str();
        status.loaded && (role.is_empty() || role == "serve")
    }
}
