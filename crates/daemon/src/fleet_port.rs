//! Carries a leader's orders to engines and its wishes to the cloud.
//!
//! A lease is checked again where the effect leaves: an order that waited in this process past the end
//! of its lease is dropped.

use std::rc::Rc;

use back::cloud::Cloud;
use back::cloud::LaunchRequest;
use back::engine;
use back::engine::Engine;
use back::failure::Failure;
use back::http_client::HttpClient;
use clock::Clock;
use clock::Span;
use clock::Time;
use entry::event::Event;
use fleet::event::Event as FleetEvent;
use lease::order::Target;
use policy::mix::Kind;
use policy::mix::Market;
use smol_str::SmolStr;

use crate::link::Link;

/// HTTP status by which the cloud says that it has none.
const NO_CAPACITY: u16 = 409;

/// HTTP status by which an engine refuses an old fencing number.
const OLD_FENCE: u16 = 409;

/// The way to engines' orders and the cloud.
#[derive(Clone)]
pub struct FleetPort {
    /// For answers.
    pub link: Rc<Link>,
    /// To engines and the cloud.
    pub client: HttpClient,
    /// `host:port` of the cloud.
    pub cloud: SmolStr,
    /// The process's clock.
    pub clock: Clock,
}

impl FleetPort {
    /// Reads what an engine serves.
    pub fn read(&self, deployment: SmolStr, engine: SmolStr, address: SmolStr) {
        let port = self.clone();
        tokio::task::spawn_local(async move {
            let at = Engine::new(&port.client, &address);
            let (Ok(standing), Ok(load)) = (at.state().await, at.load().await) else {
                return;
            };
            let target = Target {
                model: standing.target.model,
                adapter: standing.target.adapter,
                version: standing.target.version,
                role: standing.target.role,
            };
            let running = load.running + load.waiting;
            port.tell(
                deployment,
                FleetEvent::EngineRead {
                    engine,
                    target,
                    running,
                },
            );
        });
    }

    /// Sends an order.
    pub fn order(
        &self,
        deployment: SmolStr,
        engine: SmolStr,
        address: SmolStr,
        fence: u64,
        target: Target,
        lease_end: Time,
    ) {
        let port = self.clone();
        tokio::task::spawn_local(async move {
            if port.clock.now() >= lease_end {
                return;
            }
            let target = engine::Target {
                model: target.model,
                adapter: target.adapter,
                version: target.version,
                role: target.role,
            };
            let at = Engine::new(&port.client, &address);
            if let Err(Failure::Answered { status, .. }) = at.order(fence, &target).await
                && status == OLD_FENCE
            {
                let higher = at
                    .state()
                    .await
                    .map_or(fence + 1, |standing| standing.fence);
                port.tell(
                    deployment,
                    FleetEvent::EngineRefused {
                        engine,
                        fence: higher,
                    },
                );
            }
        });
    }

    /// Asks the cloud for an instance. No answer is taken for neither: the wish is forgotten in time.
    pub fn start(
        &self,
        deployment: SmolStr,
        token: SmolStr,
        kind: Kind,
        pool: SmolStr,
        lease_end: Time,
    ) {
        let port = self.clone();
        tokio::task::spawn_local(async move {
            if port.clock.now() >= lease_end {
                return;
            }
            let wish = LaunchRequest {
                token: token.clone(),
                zone: kind.zone,
                class: kind.class,
                market: SmolStr::new_static(market_name(kind.market)),
                pool,
            };
            match Cloud::new(&port.client, &port.cloud).start(&wish).await {
                Ok(_) => port.tell(deployment, FleetEvent::Granted { token }),
                Err(Failure::Answered { status, .. }) if status == NO_CAPACITY => {
                    port.tell(deployment, FleetEvent::Refused { token });
                }
                Err(failure) => {
                    log::warn!(event = "wish_unanswered", failure = failure.as_str(); "");
                }
            }
        });
    }

    /// Gives an instance back once its work had time to end or move.
    pub fn stop(&self, id: SmolStr, delay: Span, lease_end: Time) {
        let port = self.clone();
        tokio::task::spawn_local(async move {
            if port.clock.now() >= lease_end {
                return;
            }
            tokio::time::sleep(delay.as_duration()).await;
            if Cloud::new(&port.client, &port.cloud)
                .stop(&id)
                .await
                .is_err()
            {
                log::warn!(event = "give_back_unanswered", instance = id.as_str(); "");
            }
        });
    }

    fn tell(&self, deployment: SmolStr, event: FleetEvent) {
        self.link.event(Event::Fleet { deployment, event });
    }
}

/// A market's name in the cloud's terms.
pub fn market_name(market: Market) -> &'static str {
    match market {
        Market::Reclaimable => "reclaimable",
        Market::OnDemand => "on-demand",
    }
}

/// The market of that name.
pub fn market_of(name: &str) -> Market {
    match name {
        "on-demand" => Market::OnDemand,
        _ => Market::Reclaimable,
    }
}
