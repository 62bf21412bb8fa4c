//! Times for which the soak's own loop stood still, and what it did meanwhile.
//!
//! To the entries, all replicas and the table service are silent then, and callers see answers late.

use std::cell::Cell;
use std::fmt;
use std::fs;
use std::future::Future;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use clock::Span;
use clock::Time;
use tokio::task::JoinHandle;

use crate::environment::Environment;

/// Interval at which the loop is checked, and least delay that counts as a stall.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
const MIN_STALL: Span = Span::from_millis(400);

/// Part of the soak whose work shares the loop with that of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Callers.
    Callers,
    /// Starts and ends of entries' processes.
    Entries,
    /// Steps of the plan.
    Faults,
    /// The table service and the API.
    Platform,
    /// Proxies.
    Proxies,
    /// Replicas.
    Replicas,
}

impl Part {
    /// All parts, in the order of their counts.
    const ALL: [Part; 6] = [
        Part::Callers,
        Part::Entries,
        Part::Faults,
        Part::Platform,
        Part::Proxies,
        Part::Replicas,
    ];
}

/// Work of the loop.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    /// Times that a task was polled.
    polls: u64,
    /// Time that these polls took, and the longest of them.
    total: Duration,
    longest: Duration,
}

thread_local! {
    /// Work since the last check, by part.
    static WORK: Cell<[Work; Part::ALL.len()]> = Cell::default();
}

/// A time for which the loop stood still.
#[derive(Clone, Debug, Default)]
pub struct Stall {
    /// Start.
    pub start: Time,
    /// End.
    pub end: Time,
    /// Time for which the thread ran.
    running: Duration,
    /// Time for which the thread was ready and other threads ran instead.
    waiting: Duration,
    work: [Work; Part::ALL.len()],
}

impl Stall {
    /// Creates a stall of which only the times are known.
    pub fn new(start: Time, end: Time) -> Stall {
        Stall {
            start,
            end,
            ..Stall::default()
        }
    }

    /// Returns whether the stall, or the `settle_time` after it, falls into that time.
    pub fn overlaps(&self, from: Time, to: Time, settle_time: Span) -> bool {
        self.start <= to && from <= self.end + settle_time
    }
}

impl fmt::Display for Stall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "the soak itself stood still for {} ms until {} ms: ran {} ms, waited {} ms for a processor",
            self.end.since(self.start).as_millis(),
            self.end.as_millis(),
            self.running.as_millis(),
            self.waiting.as_millis()
        )?;
        for (part, work) in Part::ALL.iter().zip(&self.work) {
            if work.polls > 0 {
                let (total, longest) = (work.total.as_millis(), work.longest.as_millis());
                write!(
                    formatter,
                    "; {part:?} {total} ms in {} turns, longest {longest}",
                    work.polls
                )?;
            }
        }
        Ok(())
    }
}

/// Starts a task of a part.
pub fn spawn<F>(part: Part, task: F) -> JoinHandle<F::Output>
where
    F: Future + 'static,
    F::Output: 'static,
{
    tokio::task::spawn_local(timed(part, task))
}

/// Counts the time that a task takes from the loop.
pub async fn timed<F: Future>(part: Part, task: F) -> F::Output {
    let mut task = pin!(task);
    poll_fn(|context| {
        let started = Instant::now();
        let polled = task.as_mut().poll(context);
        let took = started.elapsed();
        let mut all = WORK.get();
        let work = &mut all[part as usize];
        work.polls += 1;
        work.total += took;
        work.longest = work.longest.max(took);
        WORK.set(all);
        polled
    })
    .await
}

/// Records the stalls of this thread's loop.
pub async fn record(environment: Rc<Environment>) {
    let mut last = (environment.clock.now(), scheduled());
    loop {
        WORK.take();
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = (environment.clock.now(), scheduled());
        if now.0.since(last.0) >= MIN_STALL {
            environment.ledger.borrow_mut().stalls.push(Stall {
                start: last.0,
                end: now.0,
                running: now.1.0.saturating_sub(last.1.0),
                waiting: now.1.1.saturating_sub(last.1.1),
                work: WORK.get(),
            });
        }
        last = now;
    }
}

/// Returns for how long this thread ran, and for how long it was ready while others did; zero where the system doesn't
/// tell.
fn scheduled() -> (Duration, Duration) {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let mut numbers = text.split_whitespace().map_while(|text| text.parse().ok());
    let mut next = || Duration::from_nanos(numbers.next().unwrap_or(0));
    (next(), next())
}
