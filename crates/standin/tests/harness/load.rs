//! Continuous load by callers.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use client::Client;
use client::call::Delivery;

use crate::harness::caller::Reader;
use crate::harness::caller::receipt;

/// Callers that stream answers and send receipts until they are stopped.
pub struct Load {
    /// Streams that were received completely.
    pub finished_streams: Rc<Cell<usize>>,
    stop: Rc<Cell<bool>>,
    receipts: Rc<RefCell<Vec<String>>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    const STREAM_CALLERS: usize = 4;
    const RECEIPT_CALLERS: usize = 2;

    /// Starts the callers.
    pub fn start(caller: &Client) -> Load {
        let mut load = Load {
            finished_streams: Rc::default(),
            stop: Rc::default(),
            receipts: Rc::default(),
            tasks: Vec::new(),
        };
        for number in 0..Load::STREAM_CALLERS {
            let (caller, finished_streams, stop) = load.shared(caller);
            load.tasks.push(tokio::task::spawn_local(async move {
                while !stop.get() {
                    let question = format!("streamer {number}, {}", finished_streams.get());
                    let mut reader = Reader::new(&caller, &question, 60).await;
                    reader.finish().await;
                    assert_eq!(reader.stream.reconnects(), 0, "a planned stop cut a stream");
                    finished_streams.set(finished_streams.get() + 1);
                }
            }));
        }
        for number in 0..Load::RECEIPT_CALLERS {
            let (caller, _, stop) = load.shared(caller);
            let receipts = Rc::clone(&load.receipts);
            load.tasks.push(tokio::task::spawn_local(async move {
                while !stop.get() {
                    let body = format!("filer-{number}-{}", receipts.borrow().len());
                    caller
                        .call(&receipt(&body, Delivery::Ticket))
                        .await
                        .unwrap();
                    receipts.borrow_mut().push(body);
                    tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                }
            }));
        }
        load
    }

    fn shared(&self, caller: &Client) -> (Client, Rc<Cell<usize>>, Rc<Cell<bool>>) {
        (
            caller.clone(),
            Rc::clone(&self.finished_streams),
            Rc::clone(&self.stop),
        )
    }

    /// Waits for the current request of each caller and returns the receipts that were answered.
    pub async fn stop(self) -> Vec<String> {
        self.stop.set(true);
        for task in self.tasks {
            task.await.unwrap();
        }
        self.receipts.take()
    }
}
