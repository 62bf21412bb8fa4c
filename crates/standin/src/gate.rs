//! Blocks work while a component is frozen.

use tokio::sync::watch;

/// Blocks waiters while the component is frozen.
pub struct Gate {
    frozen: watch::Sender<bool>,
}

impl Default for Gate {
    fn default() -> Gate {
        Gate {
            frozen: watch::Sender::new(false),
        }
    }
}

impl Gate {
    /// Closes the gate if `frozen`, opens it otherwise.
    pub fn set_frozen(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Returns a handle that waits while the gate is closed.
    pub fn waiter(&self) -> Waiter {
        Waiter {
            frozen: self.frozen.subscribe(),
        }
    }
}

/// Waits for a gate to open.
pub struct Waiter {
    frozen: watch::Receiver<bool>,
}

impl Waiter {
    /// Returns as soon as the gate is open.
    pub async fn wait(&mut self) {
        if self.frozen.wait_for(|frozen| !frozen).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
