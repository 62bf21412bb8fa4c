//! Which process answers on a connection.
//!
//! A server may come back under its id and address at another software version, and take connections before the list of
//! servers tells so. A connection leads to one process for as long as it lasts, so one question on it settles which.

use std::rc::Rc;
use std::time::Duration;

use gateway::attempt::End;
use gateway::attempt::Endpoint;
use http_body_util::Full;

use crate::body;
use crate::pool::Connection;
use crate::reach;
use crate::shared::Shared;

/// Longest wait for the answer, which needs no slot at the server; the request is sent without one.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest answer: it lists a server's runs.
const MAX_ANSWER_BYTES: usize = 256 << 10;

/// What a server says of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// It is the one in the list.
    Listed,
    /// It is another one.
    Other,
    /// A process answered, but not which one it is, or the list doesn't state that of the server.
    Unstated,
    /// Nothing answered.
    Unknown,
}

/// Makes sure that a connection doesn't lead to another process than the listed one, as far as the server says; returns it,
/// or a new one where the server closed it.
pub async fn confirm(
    shared: &Rc<Shared>,
    endpoint: &Endpoint,
    mut connection: Connection,
) -> Result<Connection, End> {
    while !connection.identified && shared.codec.states_process(endpoint) {
        if identify(shared, endpoint, &mut connection).await == Identity::Other {
            return Err(End::Replaced);
        }
        if connection.sender.is_ready() {
            break;
        }
        // An idle connection may have ended with its process, so the next one is asked too. A server that closes a new one
        // wouldn't answer on another one either.
        let was_new = !connection.used;
        let next = reach::connect(shared, endpoint).await;
        connection = next.map_err(|_| End::NotSent)?;
        connection.identified = was_new;
    }
    Ok(connection)
}

/// Asks the server on a connection whether it is the listed process. One whose row doesn't state a process may prove by its
/// answer that one runs.
pub async fn identify(
    shared: &Rc<Shared>,
    endpoint: &Endpoint,
    connection: &mut Connection,
) -> Identity {
    connection.identified = true;
    let asking = tokio::time::timeout(TIMEOUT, ask(shared, endpoint, connection));
    let identity = asking.await.unwrap_or(Identity::Unknown);
    if identity != Identity::Listed {
        log::info!(
            event = "process_not_confirmed",
            replica = endpoint.incarnation.as_str(),
            identity = identity.as_str();
            ""
        );
    }
    identity
}

impl Identity {
    /// Returns the form used in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Identity::Listed => "listed",
            Identity::Other => "other",
            Identity::Unstated => "unstated",
            Identity::Unknown => "unknown",
        }
    }
}

/// Asks the server whether it is the listed process.
async fn ask(shared: &Rc<Shared>, endpoint: &Endpoint, connection: &mut Connection) -> Identity {
    let request = shared.codec.report_request();
    let asking = connection.sender.send_request(request.map(Full::new));
    let Ok(response) = asking.await else {
        return Identity::Unknown;
    };
    let (head, body) = response.into_parts();
    let answers = &shared.intake.answers;
    let body = body::collect(body, &connection.meter, answers, MAX_ANSWER_BYTES).await;
    let Ok(body) = body else {
        return Identity::Unknown;
    };
    let is_listed = shared.codec.is_listed_process(endpoint, head.status, &body);
    // Ready once the library has seen the end of the answer; an error shows at the next request.
    let _ = connection.sender.ready().await;
    match is_listed {
        Some(true) => Identity::Listed,
        Some(false) => Identity::Other,
        None => Identity::Unstated,
    }
}
