//! Opens the call's stream at an engine: starts, resumes or moves it.

use back::engine::Engine;
use back::events::Events;
use back::failure::Failure;
use bytes::Bytes;
use entry::attempt::Endpoint;
use policy::decision::Transfer;
use request::id::Stream;
use smol_str::SmolStr;

use crate::flight::Attempt;
use crate::flight::Flight;
use crate::flight::Opened;
use crate::flight::Phase;
use crate::flight::Source;

impl Flight {
    /// Starts a stream that continues after the tokens already forwarded.
    pub(super) fn start(
        &mut self,
        stream: Stream,
        endpoint: Endpoint,
        priority: u8,
        account: SmolStr,
    ) {
        let base = self.sequencer.next();
        self.sequencer.begin_attempt(stream.attempt, base);
        self.running = Some(Attempt {
            attempt: stream.attempt,
            stream,
            endpoint: endpoint.clone(),
            account,
            base,
            source: Source::Fresh,
        });
        let body = self.body();
        let client = self.shared.client.clone();
        self.phase = Phase::Opening(Box::pin(async move {
            let engine = Engine::new(&client, &endpoint.address);
            let events = engine.start(stream, priority, body).await;
            Opened {
                events,
                moved: None,
            }
        }));
    }

    /// Resumes reading a stream that an engine holds.
    pub(super) fn attach(&mut self, running: Attempt) {
        self.sequencer.begin_attempt(running.attempt, running.base);
        let offset = self.sequencer.next().saturating_sub(running.base);
        let stream = running.stream;
        let address = running.endpoint.address.clone();
        let client = self.shared.client.clone();
        self.running = Some(running);
        self.phase = Phase::Opening(Box::pin(async move {
            let events = Engine::new(&client, &address).resume(stream, offset).await;
            Opened {
                events,
                moved: None,
            }
        }));
    }

    /// Moves the running stream by transferring its KV cache or by rerunning it.
    pub(super) fn move_to(&mut self, stream: Stream, endpoint: Endpoint, transfer: Transfer) {
        let Some(old) = self.running.clone() else {
            return;
        };
        let base = old.base;
        let offset = self.sequencer.next().saturating_sub(base);
        self.sequencer.begin_attempt(stream.attempt, base);
        self.running = Some(Attempt {
            attempt: stream.attempt,
            stream,
            endpoint: endpoint.clone(),
            account: old.account,
            base,
            source: Source::Fresh,
        });
        let client = self.shared.client.clone();
        self.phase = Phase::Opening(Box::pin(async move {
            let from = Engine::new(&client, &old.endpoint.address);
            let to = Engine::new(&client, &endpoint.address);
            let events = match transfer {
                Transfer::Kv => transfer_kv(&from, old.stream, &to, stream, offset).await,
                Transfer::Rerun => Err(Failure::NotSent),
            };
            if events.is_err() {
                // The call is about to be rerun, so neither engine may continue the stream.
                let _ = from.cancel(old.stream).await;
                let _ = to.cancel(stream).await;
            }
            Opened {
                events,
                moved: Some(transfer),
            }
        }));
    }

    /// Returns the request body: the caller's own, or one that continues after the forwarded tokens.
    fn body(&self) -> Bytes {
        if self.forwarded == 0 {
            return self.chat.body.clone();
        }
        let mut text = self.chat.text_so_far.clone().unwrap_or_default();
        text.push_str(&self.output.text());
        self.chat.continued_body(&text, self.forwarded)
    }
}

/// Transfers a stream's KV cache to another engine and resumes reading there.
async fn transfer_kv(
    from: &Engine<'_>,
    old: Stream,
    to: &Engine<'_>,
    new: Stream,
    offset: u64,
) -> Result<Events, Failure> {
    let blob = from.export(old).await?;
    to.import(new, blob).await?;
    to.resume(new, offset).await
}
