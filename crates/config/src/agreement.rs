//! State machine of one entry that agrees with the others on the configuration: it commits changes, follows
//! newer versions, and decides acceptance and admission.
//!
//! It does no I/O: the embedder feeds [`Event`]s to [`Agreement::step`], carries out the [`Effect`]s and
//! calls again with [`Event::Wake`] at the time that [`Agreement::next_wake`] returns.

mod commits;
mod peers;

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use lease::holder;
use lease::holding::Holding;
use lease::view::View;
use store::backoff::Backoff;
use store::call;
use store::call::Call;
use store::call::Outcome;

use crate::acceptance::Acceptance;
use crate::admission::Admission;
use crate::change::Progress;
use crate::configs::agreement::Settings;
use crate::event::Effect;
use crate::event::Event;
use crate::follower::Follower;
use crate::history::History;
use crate::promise::Promise;
use crate::row;
use crate::row::Head;
use crate::snapshot::Snapshot;
use crate::submission::Commit;
use crate::submission::KnownHead;
use crate::submission::Submissions;
use crate::submission::Validate;

/// Time between two requests to read the members while a version awaits acceptance.
const MEMBERS_READ_INTERVAL: Span = Span::from_millis(500);

/// Agrees on the configuration with the other entries.
#[derive(Clone, Debug)]
pub struct Agreement {
    me: holder::Id,
    settings: Settings,
    validate: Validate,
    history: History,
    follower: Follower,
    admission: Admission,
    acceptance: Acceptance,
    submissions: Submissions,
    promise: Promise,
    /// Head as last read; `None` if a commit of this entry may have moved it since.
    known_head: Option<KnownHead>,
    /// Epoch in which a head was read, and its version, which confirms the epoch once it is applied.
    unconfirmed_head: Option<(u64, u64)>,
    calls: BTreeMap<call::Id, Purpose>,
    next_call_id: u64,
    next_poll: Time,
    next_vote_round: Time,
    next_members_read: Time,
    peers: Vec<holder::Id>,
    backoff: Backoff,
}

/// Reason for a store call.
#[derive(Clone, Debug)]
enum Purpose {
    /// Reads the head during this epoch of the lease.
    ReadHead(u64),
    /// Fetches the snapshot or versions.
    Fetch,
    /// Commits a version.
    Commit(Box<Commit>),
}

impl Agreement {
    /// Creates a state machine that knows no configuration. `me` is this entry's incarnation.
    pub fn new(me: holder::Id, settings: Settings, validate: Validate, seed: u64) -> Agreement {
        Agreement {
            history: History::new(settings.retained_versions),
            follower: Follower::new(settings),
            admission: Admission::new(me, settings),
            acceptance: Acceptance::default(),
            submissions: Submissions::default(),
            promise: Promise::default(),
            known_head: None,
            unconfirmed_head: None,
            calls: BTreeMap::new(),
            next_call_id: 0,
            next_poll: Time::ZERO,
            next_vote_round: Time::ZERO,
            next_members_read: Time::ZERO,
            peers: Vec::new(),
            backoff: Backoff::new(settings.retry_delay, settings.max_retry_delay, seed),
            me,
            settings,
            validate,
        }
    }

    /// Handles one event and appends the resulting effects.
    pub fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        let previous = self.history.version();
        match event {
            Event::Wake => {}
            Event::Store { id, outcome } => self.handle_outcome(now, id, outcome),
            Event::Submit {
                operation,
                change,
                deadline,
            } => self.submit(now, operation, change, deadline, effects),
            Event::View(view) => self.handle_view(view),
            Event::Peers(peers) => self.peers = peers,
            Event::Lease(lease) => self.handle_lease(now, lease),
            Event::Applied { member, version } => {
                self.handle_applied(now, member, version, effects)
            }
            Event::Peer { from, message } => self.handle_message(now, from, message, effects),
        }
        self.publish_new_version(now, previous, effects);
        self.run_due(now, effects);
    }

    /// Returns whether requests may be admitted now. Check again where an effect leaves the process.
    pub fn admits(&self, now: Time) -> bool {
        self.admission.admits(now, self.history.version())
    }

    /// Returns the configuration in force at this entry.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        self.history.snapshot()
    }

    /// Returns whether the retained history contains a change with this id.
    pub fn contains_change(&self, change: &str) -> bool {
        self.history.find_change(change).is_some()
    }

    /// Returns the retained versions in ascending order.
    pub fn retained_versions(&self) -> Vec<row::Version> {
        let base = self.history.base_version();
        self.history
            .versions_after(base, usize::MAX)
            .unwrap_or_default()
    }

    /// Returns the progress of a version as this entry sees it.
    pub fn progress(&mut self, now: Time, version: u64) -> Progress {
        if version > self.history.version() {
            return Progress::Unknown;
        }
        self.acceptance.track(now, version);
        self.acceptance.progress(version)
    }

    /// Returns when [`Event::Wake`] is due.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let mut wakes = vec![self.next_poll];
        wakes.extend(self.admission.next_wake(now, self.next_vote_round));
        if self.acceptance.needs_view() {
            wakes.push(self.next_members_read);
        }
        wakes.extend(self.submissions.next_wake(now));
        wakes.extend(self.promise.next_wake());
        wakes.extend(self.follower.next_wake(&self.history));
        let soonest = wakes.into_iter().min()?;
        Some(soonest.max(now + Span::from_millis(1)))
    }

    /// Handles the outcome of a store call.
    fn handle_outcome(&mut self, now: Time, id: call::Id, outcome: Outcome) {
        match self.calls.remove(&id) {
            Some(Purpose::ReadHead(epoch)) => self.handle_head(now, epoch, outcome),
            Some(Purpose::Fetch) => {
                let wait = self.backoff.next_delay();
                if self
                    .follower
                    .handle_outcome(now, outcome, wait, &mut self.history)
                {
                    self.backoff.reset();
                }
            }
            Some(Purpose::Commit(commit)) => self.handle_commit(now, *commit, outcome),
            None => {}
        }
    }

    fn handle_head(&mut self, now: Time, epoch: u64, outcome: Outcome) {
        let known = match outcome {
            Outcome::Row(None) => KnownHead::default(),
            Outcome::Row(Some(row)) => match row::read::<Head>(&row) {
                Some(head) => KnownHead {
                    head,
                    revision: Some(row.revision),
                },
                None => return,
            },
            _ => {
                self.next_poll = now + self.backoff.next_delay();
                self.admission.set_store_failing(true);
                return;
            }
        };
        self.backoff.reset();
        self.admission.set_store_failing(false);
        // Reads may complete out of order; an older answer must not hide a newer head.
        if self
            .known_head
            .is_none_or(|old| old.revision <= known.revision)
        {
            self.known_head = Some(known);
        }
        self.follower.record_version(known.head.version, None);
        if self
            .unconfirmed_head
            .is_none_or(|(older, _)| older <= epoch)
        {
            self.unconfirmed_head = Some((epoch, known.head.version));
        }
    }

    /// Discards the known head, which has moved or may have, so that it is read before the next commit.
    fn invalidate_head(&mut self, now: Time) {
        self.known_head = None;
        self.next_poll = now;
    }

    fn handle_view(&mut self, view: View) {
        let voters = view.members.iter().map(|member| member.id);
        self.admission.set_voters(voters.collect());
        self.acceptance.set_view(view);
        self.acceptance
            .set_applied(self.me, self.promise.announced());
    }

    fn handle_lease(&mut self, now: Time, lease: Holding) {
        if lease.epoch != self.admission.lease().epoch {
            self.next_poll = now;
        }
        self.admission.set_lease(lease);
    }

    /// Applies a newly received version, announces it when due, and confirms the lease's epoch.
    fn publish_new_version(&mut self, now: Time, previous: u64, effects: &mut Vec<Effect>) {
        let version = self.history.version();
        if version > previous {
            self.follower.extend_peer_timeout(now);
            self.promise.defer_announcement(version);
            effects.push(Effect::Apply(self.history.snapshot().clone()));
        }
        self.announce(now, version > previous, effects);
        if let Some((epoch, wanted)) = self.unconfirmed_head
            && version >= wanted
        {
            self.admission.confirm(epoch);
            self.unconfirmed_head = None;
        }
    }

    /// Makes all calls, answers and requests that are due.
    fn run_due(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.poll(now, effects);
        if let Some(call) = self.follower.next_call(now, &self.history) {
            self.send_call(Purpose::Fetch, call, effects);
        }
        while self.attempt_next(now, effects) {}
        self.answer_operators(now, effects);
        self.request_votes(now, effects);
        if self.acceptance.needs_view() && now >= self.next_members_read {
            self.next_members_read = now + MEMBERS_READ_INTERVAL;
            effects.push(Effect::ReadMembers);
        }
    }

    fn poll(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now < self.next_poll {
            return;
        }
        let members = self.admission.voters().len() as u64;
        let fair_interval = Span::from_millis(members * 1_000 / self.settings.max_polls_per_second);
        let interval = self.settings.poll_interval.max(fair_interval);
        self.next_poll = now + self.backoff.jitter(interval);
        let epoch = self.admission.lease().epoch;
        self.send_call(
            Purpose::ReadHead(epoch),
            Call::Get {
                address: row::head(),
            },
            effects,
        );
    }

    fn send_call(&mut self, purpose: Purpose, call: Call, effects: &mut Vec<Effect>) {
        let id = call::Id(self.next_call_id);
        self.next_call_id += 1;
        self.calls.insert(id, purpose);
        effects.push(Effect::Store { id, call });
    }
}
