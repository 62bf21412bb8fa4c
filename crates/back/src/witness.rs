//! Whether a body that only the end of its connection marks is whole.
//!
//! A server that is killed ends its connections like one that has sent everything. A second connection, opened while the
//! answer is read, ends with the server's process as well: the body counts as whole only if that one stays open.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::header::TRANSFER_ENCODING;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::failure::Failure;
use crate::http_client::CONNECT_TIMEOUT;

/// Time after which the end of a process would have reached its other connections.
const END_DELAY: Duration = Duration::from_millis(50);

/// A second connection to the server of an answer; none for an answer that states its end itself.
#[derive(Debug)]
pub(crate) struct Witness(Option<TcpStream>);

impl Witness {
    /// Opens the connection if the answer needs it. A server that takes none can't show that it still runs.
    pub async fn summon(address: &str, response: &Response<Incoming>) -> Result<Witness, Failure> {
        if is_delimited(response) {
            return Ok(Witness(None));
        }
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => Ok(Witness(Some(stream))),
            Ok(Err(_)) | Err(_) => Err(undelimited(address)),
        }
    }

    /// Checks after the end of the body that the server's process still runs.
    pub async fn confirm(self) -> Result<(), Failure> {
        let Witness(Some(stream)) = self else {
            return Ok(());
        };
        match timeout(END_DELAY, stream.peek(&mut [0])).await {
            Err(_) | Ok(Ok(1..)) => Ok(()),
            Ok(Ok(0) | Err(_)) => {
                let address = stream.peer_addr().map(|address| address.to_string());
                Err(undelimited(&address.unwrap_or_default()))
            }
        }
    }
}

/// Returns whether a length or a last chunk marks the end of the body.
fn is_delimited(response: &Response<Incoming>) -> bool {
    let codings = response.headers().get_all(TRANSFER_ENCODING);
    let last = codings.iter().next_back().map(HeaderValue::as_bytes);
    let chunked = b"chunked".as_slice();
    let is_chunked = last.is_some_and(|last| last.to_ascii_lowercase().ends_with(chunked));
    is_chunked || response.body().size_hint().exact().is_some()
}

/// Logs that the end of an answer isn't known.
fn undelimited(address: &str) -> Failure {
    log::info!(event = "answer_without_proven_end", address = address; "");
    Failure::Broken
}
