//! One entry's part in agreeing on the configuration: commit, follow, accept, admit.
//!
//! Pure: the embedder feeds [`Event`]s to [`Agreement::step`], carries out the [`Effect`]s and calls
//! again with [`Event::Wake`] at the time that [`Agreement::next_wake`] names.

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
use crate::submission::Known;
use crate::submission::Submissions;
use crate::submission::Validate;

/// Time between two requests for a newer view while a version waits.
const VIEW_INTERVAL: Span = Span::from_millis(500);

/// The state machine.
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
    /// The head as last read; none if it may have moved since by our own doing.
    known: Option<Known>,
    /// A head read by a call sent in this epoch, to be confirmed once this version is applied.
    unconfirmed: Option<(u64, u64)>,
    calls: BTreeMap<call::Id, Purpose>,
    next_call: u64,
    next_poll: Time,
    next_ask: Time,
    next_view: Time,
    peers: Vec<holder::Id>,
    backoff: Backoff,
}

/// Why a store call was made.
#[derive(Clone, Debug)]
enum Purpose {
    /// To read the head, during this epoch of our lease.
    Head(u64),
    /// To fetch the snapshot or versions.
    Follow,
    /// To commit a version.
    Commit(Box<Commit>),
}

impl Agreement {
    /// A state machine that knows no configuration yet. `me` is this entry's incarnation.
    pub fn new(me: holder::Id, settings: Settings, validate: Validate, seed: u64) -> Agreement {
        Agreement {
            history: History::new(settings.kept),
            follower: Follower::new(settings),
            admission: Admission::new(me, settings),
            acceptance: Acceptance::default(),
            submissions: Submissions::default(),
            promise: Promise::default(),
            known: None,
            unconfirmed: None,
            calls: BTreeMap::new(),
            next_call: 0,
            next_poll: Time::ZERO,
            next_ask: Time::ZERO,
            next_view: Time::ZERO,
            peers: Vec::new(),
            backoff: Backoff::new(settings.retry, settings.retry_limit, seed),
            me,
            settings,
            validate,
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        let before = self.history.version();
        match event {
            Event::Wake => {}
            Event::Store { id, outcome } => self.answered(now, id, outcome),
            Event::Submit {
                operation,
                change,
                deadline,
            } => self.submit(now, operation, change, deadline, effects),
            Event::View(view) => self.viewed(view),
            Event::Peers(peers) => self.peers = peers,
            Event::Lease(lease) => self.leased(now, lease),
            Event::Applied { member, version } => self.heard(now, member, version, effects),
            Event::Peer { from, message } => self.told(now, from, message, effects),
        }
        self.settle(now, before, effects);
        self.drive(now, effects);
    }

    /// Whether requests may be admitted now; to be asked again where the effect leaves.
    pub fn admits(&self, now: Time) -> bool {
        self.admission.admits(now, self.history.version())
    }

    /// The configuration in force here.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        self.history.snapshot()
    }

    /// Whether a change of this id is part of the history kept here.
    pub fn contains_change(&self, change: &str) -> bool {
        self.history.find(change).is_some()
    }

    /// The versions that are kept here, in rising order.
    pub fn retained_versions(&self) -> Vec<row::Version> {
        let floor = self.history.floor();
        self.history.after(floor, usize::MAX).unwrap_or_default()
    }

    /// How far a version has come, as this entry sees it.
    pub fn progress(&mut self, now: Time, version: u64) -> Progress {
        if version > self.history.version() {
            return Progress::Unknown;
        }
        self.acceptance.track(now, version);
        self.acceptance.progress(version)
    }

    /// When [`Event::Wake`] is wanted next.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let mut wakes = vec![self.next_poll];
        wakes.extend(self.admission.next_wake(now, self.next_ask));
        if self.acceptance.wants_view() {
            wakes.push(self.next_view);
        }
        wakes.extend(self.submissions.next_wake(now));
        wakes.extend(self.promise.next_wake());
        wakes.extend(self.follower.next_wake(&self.history));
        let soonest = wakes.into_iter().min()?;
        Some(soonest.max(now + Span::from_millis(1)))
    }

    /// Takes the outcome of a store call.
    fn answered(&mut self, now: Time, id: call::Id, outcome: Outcome) {
        match self.calls.remove(&id) {
            Some(Purpose::Head(epoch)) => self.head_read(now, epoch, outcome),
            Some(Purpose::Follow) => {
                let wait = self.backoff.fail();
                if self
                    .follower
                    .answered(now, outcome, wait, &mut self.history)
                {
                    self.backoff.reset();
                }
            }
            Some(Purpose::Commit(commit)) => self.commit_ended(now, *commit, outcome),
            None => {}
        }
    }

    fn head_read(&mut self, now: Time, epoch: u64, outcome: Outcome) {
        let known = match outcome {
            Outcome::Row(None) => Known::default(),
            Outcome::Row(Some(row)) => match row::read::<Head>(&row) {
                Some(head) => Known {
                    head,
                    revision: Some(row.revision),
                },
                None => return,
            },
            _ => {
                self.next_poll = now + self.backoff.fail();
                self.admission.set_failing(true);
                return;
            }
        };
        self.backoff.reset();
        self.admission.set_failing(false);
        // Reads may overtake each other; an older answer must not hide a newer head.
        if self.known.is_none_or(|old| old.revision <= known.revision) {
            self.known = Some(known);
        }
        self.follower.expect(known.head.version, None);
        if self.unconfirmed.is_none_or(|(older, _)| older <= epoch) {
            self.unconfirmed = Some((epoch, known.head.version));
        }
    }

    /// The head has moved or may have: it is read before the next commit.
    fn reread(&mut self, now: Time) {
        self.known = None;
        self.next_poll = now;
    }

    fn viewed(&mut self, view: View) {
        let voters = view.members.iter().map(|seen| seen.id);
        self.admission.set_voters(voters.collect());
        self.acceptance.set_view(view);
        self.acceptance.set_applied(self.me, self.promise.said());
    }

    fn leased(&mut self, now: Time, lease: Holding) {
        if lease.epoch != self.admission.lease().epoch {
            self.next_poll = now;
        }
        self.admission.set_lease(lease);
    }

    /// Draws the conclusions of a risen version.
    fn settle(&mut self, now: Time, before: u64, effects: &mut Vec<Effect>) {
        let version = self.history.version();
        if version > before {
            self.follower.progressed(now);
            self.promise.apply(version);
            effects.push(Effect::Apply(self.history.snapshot().clone()));
        }
        self.announce(now, version > before, effects);
        if let Some((epoch, wanted)) = self.unconfirmed
            && version >= wanted
        {
            self.admission.confirm(epoch);
            self.unconfirmed = None;
        }
    }

    /// Does whatever is due.
    fn drive(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.poll(now, effects);
        if let Some(call) = self.follower.next_call(now, &self.history) {
            self.call(Purpose::Follow, call, effects);
        }
        while self.attempt(now, effects) {}
        self.answer(now, effects);
        self.ask(now, effects);
        if self.acceptance.wants_view() && now >= self.next_view {
            self.next_view = now + VIEW_INTERVAL;
            effects.push(Effect::ReadMembers);
        }
    }

    fn poll(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now < self.next_poll {
            return;
        }
        let members = self.admission.voters().len() as u64;
        let shared = Span::from_millis(members * 1_000 / self.settings.polls_per_second);
        let interval = self.settings.poll.max(shared);
        self.next_poll = now + self.backoff.spread(interval);
        let epoch = self.admission.lease().epoch;
        self.call(Purpose::Head(epoch), Call::Get { at: row::head() }, effects);
    }

    fn call(&mut self, purpose: Purpose, call: Call, effects: &mut Vec<Effect>) {
        let id = call::Id(self.next_call);
        self.next_call += 1;
        self.calls.insert(id, purpose);
        effects.push(Effect::Store { id, call });
    }
}
