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
pub struct Standing {
    /// Target of the last accepted order.
    pub target: Target,
    /// Whether the target is reached.
    pub loaded: bool,
    /// Highest fencing number accepted.
    pub fence: u64,
}

/// Accepts and executes orders.
pub struct Orders {
    standing: RefCell<Standing>,
    checks_fencing: bool,
}

impl Orders {
    /// Starts without a target; every model counts as loaded.
    pub fn new(checks_fencing: bool) -> Orders {
        let standing = Standing {
            loaded: true,
            ..Standing::default()
        };
        Orders {
            standing: RefCell::new(standing),
            checks_fencing,
        }
    }

    /// Accepts an order, or returns the higher fencing number that refuses it.
    pub fn take(&self, order: &Order) -> Result<(), u64> {
        let mut standing = self.standing.borrow_mut();
        if self.checks_fencing && order.fence < standing.fence {
            return Err(standing.fence);
        }
        standing.fence = standing.fence.max(order.fence);
        // The first order names the model that the engine was started with.
        let held = standing.target == order.target || standing.target == Target::default();
        standing.loaded = standing.loaded && held;
        standing.target = order.target.clone();
        Ok(())
    }

    /// Reaches the target of `order` after `time`, unless another order replaced it meanwhile.
    pub async fn carry_out(&self, order: &Order, time: Duration) {
        tokio::time::sleep(time).await;
        let mut standing = self.standing.borrow_mut();
        if standing.target == order.target {
            standing.loaded = true;
        }
    }

    /// Returns the engine's status.
    pub fn standing(&self) -> Standing {
        self.standing.borrow().clone()
    }

    /// Returns whether the engine takes requests.
    pub fn serves(&self) -> bool {
        let standing = self.standing.borrow();
        let role = standing.target.role.as_str();
        standing.loaded && (role.is_empty() || role == "serve")
    }
}
