//! Holds work up while a part is frozen.

use tokio::sync::watch;

/// Open, or shut while the part is frozen.
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
    /// Shuts or opens it.
    pub fn set_frozen(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// A pass that waits while the gate is shut.
    pub fn pass(&self) -> Pass {
        Pass {
            frozen: self.frozen.subscribe(),
        }
    }
}

/// Waits at a gate.
pub struct Pass {
    frozen: watch::Receiver<bool>,
}

impl Pass {
    /// Returns once the gate is open.
    pub async fn wait(&mut self) {
        if self.frozen.wait_for(|frozen| !frozen).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
