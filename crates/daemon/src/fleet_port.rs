//! Sends a leader's orders to engines and its instance requests to the cloud.
//!
//! The lease is checked again just before sending: an order that was queued past the end of its lease is
//! dropped.

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

/// HTTP status with which the cloud reports that it has no capacity.
const NO_CAPACITY_STATUS: u16 = 409;

/// HTTP status with which an engine rejects a stale fencing number.
const STALE_FENCE_STATUS: u16 = 409;

/// Client for engines' orders and the cloud.
#[derive(Clone)]
pub struct FleetPort {
    /// Channel to the event loop, for answers.
    pub link: Rc<Link>,
    /// HTTP client for engines and the cloud.
    pub client: HttpClient,
    /// `host:port` of the cloud.
    pub cloud: SmolStr,
    /// The process's clock.
    pub clock: Clock,
}

impl FleetPort {
    /// Reads an engine's current target and load.
    pub fn read_engine(&self, deployment: SmolStr, engine: SmolStr, address: SmolStr) {
        let port = self.clone();
        tokio::task::spawn_local(async move {
            let client = Engine::new(&port.client, &address);
            let (Ok(standing), Ok(load)) = (client.state().await, client.load().await) else {
                return;
            };
            let target = Target {
                model: standing.target.model,
                adapter: standing.target.adapter,
                version: standing.target.version,
                role: standing.target.role,
            };
            let running = load.running + load.waiting;
            port.notify(
                deployment,
                FleetEvent::EngineRead {
                    engine,
                    target,
                    running,
                },
            );
        });
    }

    /// Sends an order to an engine.
    pub fn order_engine(
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
            let client = Engine::new(&port.client, &address);
            if let Err(Failure::Answered { status, .. }) = client.order(fence, &target).await
                && status == STALE_FENCE_STATUS
            {
                let current = client
                    .state()
                    .await
                    .map_or(fence + 1, |standing| standing.fence);
                port.notify(
                    deployment,
                    FleetEvent::EngineRefused {
                        engine,
                        fence: current,
                    },
                );
            }
        });
    }

    /// Requests an instance. An unanswered request counts as neither granted nor refused; the
    /// reducer expires it.
    pub fn start_instance(
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
                Ok(_) => port.notify(deployment, FleetEvent::Granted { token }),
                Err(Failure::Answered { status, .. }) if status == NO_CAPACITY_STATUS => {
                    port.notify(deployment, FleetEvent::Refused { token });
                }
                Err(failure) => {
                    log::warn!(event = "wish_unanswered", failure = failure.as_str(); "");
                }
            }
        });
    }

    /// Releases an instance after a delay in which its work can finish or move.
    pub fn stop_instance(&self, id: SmolStr, delay: Span, lease_end: Time) {
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

    fn notify(&self, deployment: SmolStr, event: FleetEvent) {
        self.link.send_event(Event::Fleet { deployment, event });
    }
}

/// Returns the cloud API's name of a market.
pub fn market_name(market: Market) -> &'static str {
    match market {
        Market::Reclaimable => "reclaimable",
        Market::OnDemand => "on-demand",
    }
}

/// Parses the cloud API's name of a market; an unknown name means reclaimable.
pub fn market_of(name: &str) -> Market {
    match name {
        "on-demand" => Market::OnDemand,
        _ => Market::Reclaimable,
    }
}
