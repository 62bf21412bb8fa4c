//! Continuous load by callers.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use client::Client;
use client::call::Delivery;

use crate::harness::caller::Asked;
use crate::harness::caller::receipt;

/// Callers that stream answers and send receipts until they are stopped.
pub struct Load {
    /// Streams that were received completely.
    pub finished: Rc<Cell<usize>>,
    stop: Rc<Cell<bool>>,
    filed: Rc<RefCell<Vec<String>>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    const STREAMERS: usize = 4;
    const FILERS: usize = 2;

    /// Starts the callers.
    pub fn start(caller: &Client) -> Load {
        let mut load = Load {
            finished: Rc::default(),
            stop: Rc::default(),
            filed: Rc::default(),
            tasks: Vec::new(),
        };
        for number in 0..Load::STREAMERS {
            let (caller, finished, stop) = load.share(caller);
            load.tasks.push(tokio::task::spawn_local(async move {
                while !stop.get() {
                    let question = format!("streamer {number}, {}", finished.get());
                    let mut asked = Asked::new(&caller, &question, 60).await;
                    asked.finish().await;
                    assert_eq!(asked.stream.reconnects(), 0, "a planned stop cut a stream");
                    finished.set(finished.get() + 1);
                }
            }));
        }
        for number in 0..Load::FILERS {
            let (caller, _, stop) = load.share(caller);
            let filed = Rc::clone(&load.filed);
            load.tasks.push(tokio::task::spawn_local(async move {
                while !stop.get() {
                    let body = format!("filer-{number}-{}", filed.borrow().len());
                    caller
                        .call(&receipt(&body, Delivery::Ticket))
                        .await
                        .unwrap();
                    filed.borrow_mut().push(body);
                    tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                }
            }));
        }
        load
    }

    fn share(&self, caller: &Client) -> (Client, Rc<Cell<usize>>, Rc<Cell<bool>>) {
        (
            caller.clone(),
            Rc::clone(&self.finished),
            Rc::clone(&self.stop),
        )
    }

    /// Waits for the current request of each caller and returns the receipts that were answered.
    pub async fn stop(self) -> Vec<String> {
        self.stop.set(true);
        for task in self.tasks {
            task.await.unwrap();
        }
        self.filed.take()
    }
}
