//! The cloud API, the instance list and the control API that changes them.

use std::cell::RefCell;
use std::io;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;

use crate::platform::State;
use crate::platform::fault::Part;
use crate::platform::fleet::Instance;
use crate::platform::fleet::Lifecycle;
use crate::server;
use crate::server::Answer;

#[derive(Deserialize)]
struct Change {
    state: Lifecycle,
}

/// Handles one request.
pub async fn handle(
    state: &RefCell<State>,
    path: &str,
    request: Request<Incoming>,
) -> io::Result<Answer> {
    match (request.method(), path) {
        (&Method::GET, "/instances") => instances(&state.borrow()),
        (&Method::GET, "/notices") => {
            let after =
                server::query_parameter(&request, "after").and_then(|text| text.parse().ok());
            let notices = state.borrow().fleet.notices(after.unwrap_or(0));
            server::json(StatusCode::OK, &json!({ "notices": notices }))
        }
        (&Method::GET, "/cloud/prices") => server::json(StatusCode::OK, &prices()),
        (&Method::POST, "/cloud/instances") => match server::read_json(request).await? {
            Ok(order) => start_instance(&mut state.borrow_mut(), &order),
            Err(refusal) => Ok(refusal),
        },
        (&Method::DELETE, _) => {
            let id = path.trim_start_matches("/cloud/instances/");
            let known = state.borrow_mut().fleet.set_state(id, Lifecycle::Gone);
            Ok(server::empty(status_if_known(known)))
        }
        _ => Ok(server::empty(StatusCode::NOT_FOUND)),
    }
}

/// Handles one request to the control API.
pub async fn control(
    state: &RefCell<State>,
    path: &str,
    request: Request<Incoming>,
) -> io::Result<Answer> {
    match path {
        "instances" => match server::read_json(request).await? {
            Ok(instance) => created(state.borrow_mut().fleet.add(instance)),
            Err(refusal) => Ok(refusal),
        },
        "spares" => match server::read_json(request).await? {
            Ok(instance) => created(state.borrow_mut().fleet.add_spare(instance)),
            Err(refusal) => Ok(refusal),
        },
        "notice" => match server::read_json(request).await? {
            Ok(reclaim) => {
                let reclaimed = state.borrow_mut().fleet.reclaim(&reclaim);
                server::json(StatusCode::OK, &json!({ "instances": reclaimed }))
            }
            Err(refusal) => Ok(refusal),
        },
        _ => match server::read_json::<Change>(request).await? {
            Ok(change) => {
                let id = path.trim_start_matches("instances/");
                let known = state.borrow_mut().fleet.set_state(id, change.state);
                Ok(server::empty(status_if_known(known)))
            }
            Err(refusal) => Ok(refusal),
        },
    }
}

fn instances(state: &State) -> io::Result<Answer> {
    let lag = Duration::from_millis(state.faults.get(Part::Instances).lag_ms);
    let listed = state.fleet.listed(lag);
    server::json(StatusCode::OK, &json!({ "instances": listed }))
}

fn start_instance(state: &mut State, order: &Instance) -> io::Result<Answer> {
    if state.faults.get(Part::Cloud).refuse_start {
        return Ok(server::empty(StatusCode::CONFLICT));
    }
    match state.fleet.start(order) {
        Some(instance) => created(instance),
        None => Ok(server::empty(StatusCode::CONFLICT)),
    }
}

fn created(instance: Instance) -> io::Result<Answer> {
    server::json(StatusCode::CREATED, &instance)
}

fn status_if_known(known: bool) -> StatusCode {
    if known {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    }
}

/// Returns the prices of three zones; on-demand costs three times as much as reclaimable.
fn prices() -> serde_json::Value {
    let mut prices = Vec::new();
    for (zone, per_hour) in [("a", 0.9), ("b", 0.8), ("c", 1.1)] {
        for (market, factor) in [("reclaimable", 1.0), ("on-demand", 3.0)] {
            prices.push(json!({
                "zone": zone,
                "class": "g4",
                "market": market,
                "per_hour": per_hour * factor,
            }));
        }
    }
    json!({ "prices": prices })
}
