//! Orders: which model, adapter and version to hold, and in which role.

use std::cell::RefCell;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// An order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of who gives it.
    pub fence: u64,
    /// The state to reach.
    pub target: Target,
}

/// The state that an engine is ordered to reach.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Target {
    /// Base model.
    pub model: SmolStr,
    /// Adapter; empty for none.
    pub adapter: SmolStr,
    /// Version of both.
    pub version: SmolStr,
    /// `serve` takes requests, everything else doesn't; empty is as `serve`.
    pub role: SmolStr,
}

/// What the engine answers about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The state last ordered.
    pub target: Target,
    /// Whether that state is reached.
    pub loaded: bool,
    /// The highest fencing number seen.
    pub fence: u64,
}

/// Carries orders out.
pub struct Orders {
    standing: RefCell<Standing>,
    checks_fencing: bool,
}

impl Orders {
    /// No order yet; what is asked for counts as loaded.
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

    /// Takes an order, or refuses it with the higher fencing number.
    pub fn take(&self, order: &Order) -> Result<(), u64> {
        let mut standing = self.standing.borrow_mut();
        if self.checks_fencing && order.fence < standing.fence {
            return Err(standing.fence);
        }
        standing.fence = standing.fence.max(order.fence);
        // The first order names what the engine was started with.
        let held = standing.target == order.target || standing.target == Target::default();
        standing.loaded = standing.loaded && held;
        standing.target = order.target.clone();
        Ok(())
    }

    /// Reaches the state of `order`, unless another order came in the meantime.
    pub async fn carry_out(&self, order: &Order, time: Duration) {
        tokio::time::sleep(time).await;
        let mut standing = self.standing.borrow_mut();
        if standing.target == order.target {
            standing.loaded = true;
        }
    }

    /// What the engine answers about itself.
    pub fn standing(&self) -> Standing {
        self.standing.borrow().clone()
    }

    /// Whether requests are taken.
    pub fn serves(&self) -> bool {
        let standing = self.standing.borrow();
        let role = standing.target.role.as_str();
        standing.loaded && (role.is_empty() || role == "serve")
    }
}
