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

const BUFFER: usize = 64;

/// Returns a response that streams the events from `offset` on.
pub fn answer(state: &Rc<State>, id: String, stream: Rc<Stream>, offset: u32) -> Answer {
    let (sender, answer) = server::events(BUFFER);
    stream.enter();
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        relay(&state, &stream, offset, &sender).await;
        drop(sender);
        let departure = stream.leave();
        forget_later(state, id, stream, departure).await;
    });
    answer
}

async fn relay(state: &State, stream: &Stream, mut offset: u32, sender: &mpsc::Sender<Piece>) {
    let mut gate = state.gate.pass();
    loop {
        gate.wait().await;
        while offset < stream.produced() {
            let piece = if takes_cut(state, offset) {
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
                let _ = sender.send(Ok(Frame::data(Bytes::from_static(DONE)))).await;
                return;
            }
        }
        tokio::select! {
            () = stream.change() => {}
            () = sender.closed() => return,
        }
    }
}

const DONE: &[u8] = b"data: [DONE]\n\n";

fn chunk(stream: &Stream, offset: u32) -> Bytes {
    let token = stream.plan.token(offset);
    let data = json!({ "choices": [{ "delta": { "content": token } }] });
    Bytes::from(format!("id: {offset}\ndata: {data}\n\n"))
}

fn takes_cut(state: &State, offset: u32) -> bool {
    let mut fault = state.fault.borrow_mut();
    let due = fault.cut_at.is_some_and(|at| offset >= at);
    if due {
        fault.cut_at = None;
    }
    due
}

/// Drops the stream if no reader returned within the resume window.
async fn forget_later(state: Rc<State>, id: String, stream: Rc<Stream>, departure: u64) {
    tokio::time::sleep(Duration::from_millis(state.config.resume_window_ms)).await;
    if !stream.is_deserted_since(departure) {
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
