//! The object store: stores bytes by key.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::platform::State;
use crate::server;
use crate::server::Answer;

/// Stored objects.
#[derive(Default)]
pub struct Objects {
    objects: BTreeMap<String, Bytes>,
}

/// Handles one request.
pub async fn handle(
    state: &RefCell<State>,
    path: &str,
    request: Request<Incoming>,
) -> io::Result<Answer> {
    let key = server::percent_decode(path.trim_start_matches("/objects/"));
    match *request.method() {
        Method::PUT => {
            let bytes = server::read_body(request).await?;
            state.borrow_mut().objects.objects.insert(key, bytes);
            Ok(server::empty(StatusCode::OK))
        }
        Method::GET => {
            let found = state.borrow().objects.objects.get(&key).cloned();
            Ok(found.map_or_else(
                || server::empty(StatusCode::NOT_FOUND),
                |bytes| server::plain(StatusCode::OK, bytes),
            ))
        }
        _ => Ok(server::empty(StatusCode::METHOD_NOT_ALLOWED)),
    }
}
