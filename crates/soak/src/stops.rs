//! Faults around starts and stops of entries.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use clock::Span;
use clock::Time;
use rustix::process::Signal;
use tokio::task::JoinSet;

use crate::caller::Caller;
use crate::caller::Opening;
use crate::entry::Entry;
use crate::faults::Cluster;
use crate::faults::wait;
use crate::ledger::Harm;
use crate::ledger::Target;
use crate::plan::Series;
use crate::stall;
use crate::stall::Part;

/// Slices in which a process with a quarter of a core runs and stands still.
const RUN_SLICE: Span = Span::from_millis(25);
const PAUSE_SLICE: Span = Span::from_millis(75);
/// Time before the end of the grace period at which an entry without open requests ends.
const IDLE_END_MARGIN: Span = Span::from_millis(400);
/// Callers that send to an entry while it stands still at the end of a stop.
const LATE_CALLERS: usize = 12;
/// Number of the first of them.
const FIRST_LATE_CALLER: usize = 2_000_000;
/// Time in which they open their connections.
const OPENING_TIME: Span = Span::from_millis(300);
/// Interval at which the port of a starting process is tried, and time limit.
const PORT_INTERVAL: Duration = Duration::from_micros(100);
const PORT_TIMEOUT: Duration = Duration::from_secs(2);

impl Cluster {
    /// Gives an entry a quarter of a core.
    pub(crate) async fn run_in_slices(&self, entry: usize, duration: Span) {
        let process = &self.entries[entry];
        let clock = self.environment.clock;
        let disturbance = self.begin_disturbance((Target::Entry(entry), Harm::Paused));
        let until = clock.now() + duration;
        while clock.now() < until {
            process.signal(Signal::STOP);
            wait(PAUSE_SLICE).await;
            process.signal(Signal::CONT);
            wait(RUN_SLICE).await;
        }
        self.end_disturbance(disturbance);
    }

    /// Stops an entry, which stands still from `lead` before it would end, and lets callers send meanwhile.
    pub(crate) async fn pause_at_end(self: &Rc<Self>, entry: usize, lead: Span, pause: Span) {
        let environment = &self.environment;
        let process = &self.entries[entry];
        let grace = environment.ledger.borrow().bounds.grace_period;
        let stops_at = environment.clock.now() + OPENING_TIME;
        let pauses_at = stops_at + (grace - IDLE_END_MARGIN - lead);
        let entries = self.entries.len();
        let stop_number = stops_at.as_millis() as usize * entries + entry;
        let first = FIRST_LATE_CALLER + stop_number * LATE_CALLERS;
        let mut calling = JoinSet::new();
        for number in 0..LATE_CALLERS {
            let share = number as u64 * pause.as_millis() / LATE_CALLERS as u64;
            let sends_at = pauses_at + Span::from_millis(share);
            let caller = Caller::new(Rc::clone(environment), first + number, entries);
            // Whether a caller speaks HTTP/1.0 depends on its number too.
            let opening = Opening::ALL[(number + number / 3) % Opening::ALL.len()];
            let call = caller.call_late(process.callers.address, opening, sends_at);
            calling.spawn_local(stall::timed(Part::Callers, call));
        }
        self.wait_until(stops_at).await;
        let pausing = async {
            self.wait_until(pauses_at).await;
            let target = (Target::Entry(entry), Harm::Paused);
            let stop = || process.signal(Signal::STOP);
            let resume = || process.signal(Signal::CONT);
            self.hold_fault(target, pause, stop, resume).await;
        };
        tokio::join!(process.stop(), pausing);
        while calling.join_next().await.is_some() {}
    }

    /// Stops an entry and asks it to reload meanwhile.
    pub(crate) async fn reload_amid_stop(&self, entry: usize, after: Span) {
        let process = &self.entries[entry];
        let pid = process.pid();
        let reloading = async {
            wait(after).await;
            process.signal_same(pid, Signal::HUP);
        };
        tokio::join!(process.stop(), reloading);
    }

    /// Stops an entry and sends signals to its next process once it takes connections.
    pub(crate) async fn signal_at_start(&self, entry: usize, series: Series) {
        let process = &self.entries[entry];
        let started = process.started.notified();
        process.stop().await;
        if tokio::time::timeout(PORT_TIMEOUT, started).await.is_err() {
            return;
        }
        let pid = process.pid();
        wait_for_port(process).await;
        wait(series.pause).await;
        for _ in 0..series.reloads {
            process.signal_same(pid, Signal::HUP);
            wait(series.gap).await;
        }
        if series.stops && process.pid() == pid {
            self.reload_amid_stop(entry, series.gap).await;
        }
    }

    async fn wait_until(&self, time: Time) {
        wait(time.since(self.environment.clock.now())).await;
    }
}

/// Waits on another thread, without turns of the loop, until a process that starts takes connections.
async fn wait_for_port(process: &Entry) {
    let address = process.requests_address();
    let opened = tokio::task::spawn_blocking(move || is_opened(address)).await;
    process.set_listening(opened.unwrap_or(false));
}

fn is_opened(address: SocketAddr) -> bool {
    let started = Instant::now();
    while TcpStream::connect(address).is_err() {
        if started.elapsed() > PORT_TIMEOUT {
            return false;
        }
        std::thread::sleep(PORT_INTERVAL);
    }
    true
}
