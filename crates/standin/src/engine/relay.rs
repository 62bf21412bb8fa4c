//! Relays a stream to a reader as server-sent events.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use serde_json::json;
use tokio::sync::mpsc;

use crate::engine::state::State;
use crate::engine::stream::Phase;
use crate::engine::stream::Stream;
use crate::server;
use crate::server::Answer;
use crate::server::Piece;

const EVENT_BUFFER: usize = 64;

/// Returns a response that streams the events from `offset` on.
pub fn respond(state: &Rc<State>, id: String, stream: Rc<Stream>, offset: u32) -> Answer {
    let (sender, answer) = server::event_stream(EVENT_BUFFER);
    stream.add_reader();
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        relay(&state, &stream, offset, &sender).await;
        drop(sender);
        let departures = stream.remove_reader();
        drop_if_abandoned(state, id, stream, departures).await;
    });
    answer
}

async fn relay(state: &State, stream: &Stream, mut offset: u32, sender: &mpsc::Sender<Piece>) {
    let mut gate = state.gate.waiter();
    loop {
        gate.wait().await;
        while offset < stream.produced() {
            let piece = if take_cut(state, offset) {
                Err(io::Error::other("stream cut on order"))
            } else {
                Ok(Frame::data(chunk(stream, offset)))
            };
            let cut = piece.is_err();
            if sender.send(piece).await.is_err() || cut {
                return;
            }
            offset += 1;
        }
        match stream.phase() {
            Phase::Running => {}
            Phase::Parked | Phase::Cancelled => return,
            Phase::Finished => {
                let _ = sender
                    .send(Ok(Frame::data(Bytes::from_static(DONE_EVENT))))
                    .await;
                return;
            }
        }
        tokio::select! {
            () = stream.wait_for_change() => {}
            () = sender.closed() => return,
        }
    }
}

const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

fn chunk(stream: &Stream, offset: u32) -> Bytes {
    let token = stream.plan.token(offset);
    let data = json!({ "choices": [{ "delta": { "content": token } }] });
    Bytes::from(format!("id: {offset}\ndata: {data}\n\n"))
}

fn take_cut(state: &State, offset: u32) -> bool {
    let mut fault = state.fault.borrow_mut();
    let due = fault.cut_at.is_some_and(|at| offset >= at);
    if due {
        fault.cut_at = None;
    }
    due
}

/// Drops the stream if no reader returned within the resume window.
async fn drop_if_abandoned(state: Rc<State>, id: String, stream: Rc<Stream>, departures: u64) {
    tokio::time::sleep(Duration::from_millis(state.config.resume_window_ms)).await;
    if !stream.is_abandoned_since(departures) {
        return;
    }
    stream.set_phase(Phase::Cancelled);
    let mut streams = state.streams.borrow_mut();
    if streams
        .get(&id)
        .is_some_and(|known| Rc::ptr_eq(known, &stream))
    {
        streams.remove(&id);
    }
}
