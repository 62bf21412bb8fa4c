//! The client: addresses, tickets and the bookkeeping of retries.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use clock::Clock;
use clock::Time;
use http::Method;
use http::Request;
use http::StatusCode;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;
use verdict::Verdict;

use crate::address::Addresses;
use crate::address::Book;
use crate::address::Ticket;
use crate::configs;
use crate::error::Error;
use crate::error::Kind;
use crate::retry;
use crate::retry::Policy;
use crate::transport;
use crate::transport::Transport;

/// Client of the system for one client account; clones share their state.
#[derive(Clone)]
pub struct Client {
    pub(crate) shared: Arc<Shared>,
}

/// State shared by the clones of a client.
pub(crate) struct Shared {
    pub(crate) config: configs::Client,
    pub(crate) transport: Transport,
    clock: Clock,
    book: Mutex<Book>,
}

/// Attempts at one request.
pub(crate) struct Attempts {
    started_at: Time,
    failures: u32,
    policy: Policy,
}

impl Client {
    /// Creates a client; it sends nothing yet.
    pub fn new(config: configs::Client) -> Client {
        let seed = config
            .seed
            .unwrap_or_else(|| RandomState::new().hash_one(0));
        let random = Pcg64Mcg::seed_from_u64(seed);
        let shared = Shared {
            transport: Transport::new(
                config.key.clone(),
                config.connect_timeout,
                config.idle_timeout,
            ),
            clock: Clock::start(),
            book: Mutex::new(Book::new(config.entries.clone(), random)),
            config,
        };
        Client {
            shared: Arc::new(shared),
        }
    }

    /// Returns the entry for a request with this prefix key, which may be empty.
    pub async fn entry(&self, key: &str) -> Result<SmolStr, Error> {
        self.shared.entry(key).await
    }

    /// Queries the addresses again, bypassing the cache.
    pub async fn refresh(&self, key: &str) -> Result<Addresses, Error> {
        self.shared.refresh(key).await
    }
}

impl Shared {
    pub(crate) async fn entry(&self, key: &str) -> Result<SmolStr, Error> {
        if let Some(address) = self.pick(key) {
            return Ok(address);
        }
        self.refresh(key).await?;
        self.pick(key).ok_or_else(unreachable)
    }

    /// Takes a cached ticket, or fetches new ones if none is left.
    pub(crate) async fn ticket(&self) -> Result<Option<Ticket>, Error> {
        let now = self.clock.now();
        if let Some(ticket) = self.book().take_ticket(now) {
            return Ok(Some(ticket));
        }
        self.refresh("").await?;
        Ok(self.book().take_ticket(now))
    }

    pub(crate) fn mark_failed(&self, address: &str) {
        let now = self.clock.now();
        self.book().mark_failed(now, address);
    }

    pub(crate) fn mark_reachable(&self, address: &str) {
        self.book().mark_reachable(address);
    }

    pub(crate) fn attempts(&self, policy: Policy) -> Attempts {
        Attempts {
            started_at: self.clock.now(),
            failures: 0,
            policy,
        }
    }

    /// Counts a redirect, or returns the error if the attempts are exhausted.
    pub(crate) fn count_redirect(
        &self,
        attempts: &mut Attempts,
        error: Error,
    ) -> Result<(), Error> {
        attempts.failures += 1;
        if attempts.failures >= self.config.max_attempts {
            return Err(error);
        }
        Ok(())
    }

    /// Waits before the next attempt, or returns the error if there should be none.
    pub(crate) async fn wait_to_retry(
        &self,
        attempts: &mut Attempts,
        error: Error,
    ) -> Result<(), Error> {
        attempts.failures += 1;
        if attempts.failures >= self.config.max_attempts {
            return Err(error);
        }
        let wait = retry::delay(
            &error,
            attempts.policy,
            attempts.failures,
            self.book().random(),
        );
        let Some(wait) = wait else { return Err(error) };
        let spent = self.clock.now().since(attempts.started_at);
        if spent + wait > self.config.retry_timeout {
            return Err(error);
        }
        tokio::time::sleep(wait.as_duration()).await;
        Ok(())
    }

    /// Queries the known entries one by one and caches the first response.
    async fn refresh(&self, key: &str) -> Result<Addresses, Error> {
        let now = self.clock.now();
        let order = self.book().query_order(now);
        let mut last_error = unreachable();
        for address in order {
            match self.query(&address, key).await {
                Ok(response) => {
                    let mut book = self.book();
                    book.mark_reachable(&address);
                    book.insert(self.clock.now(), &address, key, response.clone());
                    return Ok(response);
                }
                Err(error) => {
                    self.mark_failed(&address);
                    last_error = error;
                }
            }
        }
        // Only addresses were queried, so the request itself can't have run.
        last_error.verdict = Verdict::NotRun;
        Err(last_error)
    }

    /// Queries one entry for addresses.
    async fn query(&self, address: &str, key: &str) -> Result<Addresses, Error> {
        let path = if key.is_empty() {
            "/v1/addresses".to_owned()
        } else {
            format!("/v1/addresses?key={key}")
        };
        let request = Request::builder().method(Method::GET);
        let response = self
            .transport
            .send(address, request, &path, Bytes::new())
            .await?;
        let status = response.status();
        let bytes = self.transport.read(response).await?;
        if status != StatusCode::OK {
            return Err(transport::parse_refusal(&bytes));
        }
        serde_json::from_slice(&bytes).map_err(|_| {
            Error::new(
                Verdict::NotRun,
                Kind::Protocol,
                "the address response is malformed",
            )
        })
    }

    fn pick(&self, key: &str) -> Option<SmolStr> {
        let now = self.clock.now();
        self.book().pick(now, key)
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Attempts {
    /// Resets the count after progress: only consecutive failures count.
    pub(crate) fn reset(&mut self, now: Time) {
        self.failures = 0;
        self.started_at = now;
    }
}

impl Shared {
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }
}

fn unreachable() -> Error {
    Error::new(
        Verdict::NotRun,
        Kind::Unreachable,
        "no known entry can be reached",
    )
}
