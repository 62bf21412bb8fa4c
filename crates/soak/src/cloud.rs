//! In-memory stand-in of the platform's API: takes the calls of duty holders and checks their fencing.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Result;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mirror::cloud;
use mirror::cloud::Call;
use mirror::cloud::Order;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::environment::Environment;
use crate::server;
use crate::server::Body;
use crate::server::Disconnected;
use crate::stall;
use crate::stall::Part;

/// The stand-in of the API.
pub struct Cloud {
    environment: Rc<Environment>,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    /// Highest fencing token and its holder, by subject.
    fences: BTreeMap<SmolStr, (u64, SmolStr)>,
    /// First accepted usage report of each window.
    usage: BTreeMap<u64, BTreeMap<SmolStr, u64>>,
}

impl Cloud {
    /// Binds `address` and serves calls.
    pub async fn serve(environment: Rc<Environment>, address: SocketAddr) -> Result<Rc<Cloud>> {
        let listener = server::bind(address).await?;
        let cloud = Rc::new(Cloud {
            environment,
            state: RefCell::default(),
        });
        let serving = Rc::clone(&cloud);
        stall::spawn(Part::Platform, async move {
            while let Ok((socket, _)) = listener.accept().await {
                let call = server::serve(socket, Rc::clone(&serving), answer);
                stall::spawn(Part::Platform, call);
            }
        });
        Ok(cloud)
    }

    /// Returns the number of windows whose usage was reported.
    pub fn usage_windows(&self) -> usize {
        self.state.borrow().usage.len()
    }

    /// Records a call; returns false if its fencing token is stale.
    fn accept_call(&self, call: &Call) -> bool {
        let subject = match &call.order {
            Order::Usage { .. } => SmolStr::new_static("usage"),
            Order::Replicas { service, zone, .. } => format_smolstr!("{service} in {zone}"),
        };
        let mut state = self.state.borrow_mut();
        let seen = state.fences.get(&subject).cloned();
        if seen.as_ref().is_some_and(|(fence, _)| call.fence < *fence) {
            return false;
        }
        let other = seen.filter(|(fence, holder)| call.fence == *fence && *holder != call.holder);
        if let Some((fence, holder)) = other {
            let detail = format!(
                "{holder} and {} both hold fencing token {fence} for {subject}",
                call.holder
            );
            self.record_breach("a duty has one holder", detail);
        }
        state
            .fences
            .insert(subject, (call.fence, call.holder.clone()));
        if let Order::Usage { window, counts } = &call.order {
            let first = state.usage.entry(*window).or_insert_with(|| counts.clone());
            if first != counts {
                let detail = format!("window {window}: {first:?}, then {counts:?}");
                self.record_breach("a window of usage has one count", detail);
            }
        }
        true
    }

    fn record_breach(&self, promise: &'static str, detail: String) {
        let now = self.environment.clock.now();
        self.environment
            .ledger
            .borrow_mut()
            .record_breach(promise, now, detail);
    }
}

async fn answer(
    cloud: Rc<Cloud>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Disconnected> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Disconnected)?.to_bytes();
    let response = match cloud::call(&head, &body) {
        Some(call) if cloud.accept_call(&call) => cloud::done(),
        Some(_) => cloud::fenced(),
        None => cloud::refused(),
    };
    Ok(server::complete(response))
}
