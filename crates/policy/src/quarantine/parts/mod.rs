//! Parts of prompts on which replicas crash.
//!
//! Guards against prompts that are never alike, but share a part on which each replica crashes that begins to answer it:
//! no fingerprint is accused twice, and one replica is lost after the other. A crash accuses the shared parts of all
//! prompts whose answers were due or had just begun there. A part on which a replica has written an answer is sound, and
//! earlier crashes don't count against it. A part with several crashes is blocked, unless a likelier part explains them:
//! one that was never answered is likelier than one that was, else one with more crashes.
//!
//! A blocked part is tried again by one entry, its home, with one request, at growing intervals. If a part common to many
//! prompts was blocked together with the guilty one, since nothing had been answered yet, it is tried soon, in a request
//! without the other. So is one without which nothing was answered, and one that was blocked by a loss of many replicas at
//! once; as long as nothing speaks for the latter, more and more entries may try it, since its home may see none of few
//! prompts.

mod evidence;
mod record;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;

use clock::Span;
use clock::Time;

use crate::configs::parts::Config;
use crate::rendezvous;

use self::record::Record;
use super::crashes::Crashes;

/// Time for which an accused part is announced as sound after it was answered.
const ANNOUNCEMENT: Span = Span::from_seconds(30);

/// Doublings of the entries that may try a part, beyond any number of entries.
const MAX_DOUBLINGS: u64 = 16;

/// How a prompt may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Like any other prompt.
    Clear,
    /// Now, as the only one with this blocked part.
    Probe(u64),
    /// Not within this span.
    Blocked(Span),
}

/// A change of what is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The part.
    pub part: u64,
    /// Whether it is blocked from now on.
    pub blocked: bool,
    /// Whether something else may explain its crashes.
    pub doubtful: bool,
    /// Crashes that count against it.
    pub crashes: usize,
}

/// Evidence for and against parts of prompts at one entry.
#[derive(Debug)]
pub(super) struct Parts {
    config: Config,
    records: BTreeMap<u64, Record>,
    /// When each part was last answered.
    answered: BTreeMap<u64, Answered>,
    /// Answers whose replicas may still turn out to have crashed, oldest first.
    unconfirmed: VecDeque<Answer>,
    /// Blocked parts, with whether something else may explain their crashes.
    blocked: BTreeMap<u64, bool>,
    /// Times at which crashes begin to count.
    reviews: BTreeSet<Time>,
    /// Requests that are tried with a blocked part: number and time.
    probes: BTreeMap<u64, (u64, Time)>,
    /// Identities of the entries, this one included; empty before any is known.
    members: Vec<u64>,
    own: u64,
    urgent: bool,
    changes: Vec<Change>,
}

/// When a part was last answered.
#[derive(Clone, Copy, Debug)]
struct Answered {
    /// By any replica, to requests of this entry or of others that stated it.
    at: Time,
    /// To a request of this entry, if one was.
    own_at: Option<Time>,
}

/// An answer of a replica.
#[derive(Clone, Debug)]
struct Answer {
    at: Time,
    replica: u64,
    parts: Rc<[u64]>,
}

impl Parts {
    pub fn new(config: Config) -> Parts {
        Parts {
            config,
            records: BTreeMap::new(),
            answered: BTreeMap::new(),
            unconfirmed: VecDeque::new(),
            blocked: BTreeMap::new(),
            reviews: BTreeSet::new(),
            probes: BTreeMap::new(),
            members: Vec::new(),
            own: 0,
            urgent: false,
            changes: Vec::new(),
        }
    }

    /// Sets the entries that share the evidence.
    pub fn set_members(&mut self, own: u64, members: Vec<u64>) {
        self.own = own;
        self.members = members;
    }

    /// Returns how a prompt with these parts may be run.
    pub fn standing(&self, now: Time, parts: &[u64]) -> Standing {
        let mut blocked = parts.iter().filter(|part| self.blocked.contains_key(part));
        let Some(part) = blocked.next().copied() else {
            return Standing::Clear;
        };
        let Some(record) = self.records.get(&part) else {
            return Standing::Clear;
        };
        let others = parts.iter().filter(|other| **other != part);
        let is_alone = others.clone().all(|other| !self.is_suspect(*other));
        let wait = (record.last_crash() + self.probe_delay(part, record)).since(now);
        let probe = self.probes.get(&part);
        let is_free = probe.is_none_or(|(_, at)| now.since(*at) >= self.config.probe_timeout);
        let is_due = wait == Span::ZERO
            && (is_alone || now.since(record.last_crash()) >= self.config.shared_probe_delay);
        if is_due && is_free && self.may_probe(now, part, record) {
            return Standing::Probe(part);
        }
        let longest = others.filter_map(|other| {
            let record = self.records.get(other)?;
            let blocked = self.blocked.contains_key(other);
            blocked.then(|| (record.last_crash() + self.probe_delay(*other, record)).since(now))
        });
        let wait = longest.fold(wait, Span::max);
        Standing::Blocked(wait.max(self.config.doubt_delay))
    }

    /// Returns whether a request with these parts, other than the one that tries them, is to be refused.
    pub fn blocks(&self, parts: &[u64], request: u64) -> bool {
        parts.iter().any(|part| {
            let probe = self.probes.get(part).map(|(request, _)| *request);
            self.blocked.contains_key(part) && probe != Some(request)
        })
    }

    /// Returns whether a part is blocked although another one or a loss of many replicas may explain its crashes.
    pub fn is_doubtful(&self, part: u64) -> bool {
        self.blocked.get(&part) == Some(&true)
    }

    /// Records that a request is tried with a blocked part. This entry answers for what comes of it.
    pub fn begin_probe(&mut self, now: Time, part: u64, request: u64) {
        self.probes.insert(part, (request, now));
        if let Some(record) = self.records.get_mut(&part) {
            record.is_own = true;
        }
    }

    /// Records that a request has its final answer.
    pub fn end_probe(&mut self, request: u64) {
        self.probes.retain(|_, (probing, _)| *probing != request);
    }

    /// Returns the changes of what is blocked since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns whether there is evidence to send immediately, and resets the flag.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Returns whether crashes speak against a part, which may or may not be blocked for them.
    fn is_suspect(&self, part: u64) -> bool {
        let record = self.records.get(&part);
        record.is_some_and(|record| record.counted.len() >= self.config.crash_threshold)
    }

    fn probe_delay(&self, part: u64, record: &Record) -> Span {
        if self.is_doubtful(part) {
            return self.config.doubt_delay;
        }
        let factor = self
            .config
            .probe_factor
            .saturating_pow(record.failed_probes);
        let delay = self.config.probe_delay.as_millis().saturating_mul(factor);
        Span::from_millis(delay).min(self.config.max_probe_delay)
    }

    /// Returns whether this entry is the one that tries a part again and announces it as sound.
    fn is_home(&self, part: u64) -> bool {
        let members = self.members.iter().map(|member| (*member, *member));
        let home = rendezvous::top_two(part, members).0;
        home.is_none_or(|home| home == self.own)
    }

    /// Returns whether this entry may try a part whose next try is due. Only its home may, unless its crashes are those of a
    /// loss of many replicas: then the number of entries doubles each second, up to a part of all, so that a herd of
    /// prompts at all entries costs a replica or two. After three of them the part is no longer taken for innocent.
    fn may_probe(&self, now: Time, part: u64, record: &Record) -> bool {
        if !record.is_mass_loss {
            return self.is_home(part);
        }
        let due = record.last_crash() + self.probe_delay(part, record);
        let doublings = now.since(due).as_millis() / self.config.spread_interval.as_millis().max(1);
        let most = self.members.len() / self.config.probing_divisor.max(1);
        let allowed = (1_usize << doublings.min(MAX_DOUBLINGS)).min(most.max(1));
        self.members.is_empty()
            || rendezvous::is_among_first(part, &self.members, allowed, self.own)
    }

    /// Decides anew what is blocked if crashes begin to count.
    pub fn poll(&mut self, now: Time, crashes: &Crashes) {
        let is_due = self.reviews.first().is_some_and(|at| *at <= now);
        if is_due {
            self.review(now, crashes);
        }
    }

    /// Decides anew what is blocked.
    fn review(&mut self, now: Time, crashes: &Crashes) {
        self.reviews.retain(|at| *at > now);
        self.count_crashes(now, crashes);
        let suspects: Vec<u64> = self
            .records
            .keys()
            .copied()
            .filter(|part| self.is_suspect(*part))
            .collect();
        let mut blocked = BTreeMap::new();
        for part in &suspects {
            if let Some(doubtful) = self.judge(*part, &suspects) {
                blocked.insert(*part, doubtful);
            }
        }
        let before = std::mem::replace(&mut self.blocked, blocked);
        for (part, doubtful) in &self.blocked {
            if before.get(part) != Some(doubtful) {
                self.changes.push(self.change(*part, true, *doubtful));
            }
        }
        for part in before
            .keys()
            .filter(|part| !self.blocked.contains_key(part))
        {
            self.changes.push(self.change(*part, false, false));
            self.probes.remove(part);
        }
        self.probes
            .retain(|_, (_, at)| now.since(*at) < self.config.probe_timeout);
    }

    fn change(&self, part: u64, blocked: bool, doubtful: bool) -> Change {
        let record = self.records.get(&part);
        Change {
            part,
            blocked,
            doubtful,
            crashes: record.map_or(0, |record| record.counted.len()),
        }
    }

    /// Selects the crashes that count against each part.
    fn count_crashes(&mut self, now: Time, crashes: &Crashes) {
        let settle = self.config.settle;
        for (part, record) in &mut self.records {
            let answered = self.answered.get(part).map(|answered| answered.at);
            // The loss of a zone says something only about a part that nothing ever spoke for.
            let counts = |at: Time, replica: u64| match answered {
                Some(answered) => {
                    !self.config.is_refuted(at, answered) && crashes.is_blamable(replica)
                }
                None => true,
            };
            record.count(|at, replica| at + settle <= now && counts(at, replica));
            let blamable = record.counted.iter();
            let blamable = blamable.filter(|replica| crashes.is_blamable(**replica));
            record.is_mass_loss = blamable.count() < self.config.crash_threshold;
        }
    }

    /// Returns whether another part, or something that has nothing to do with prompts, may as well explain a suspect's
    /// crashes; `None` if a likelier part does.
    fn judge(&self, part: u64, suspects: &[u64]) -> Option<bool> {
        let record = self.records.get(&part)?;
        let mut unexplained: BTreeSet<u64> = record.counted.clone();
        let mut doubtful = record.is_mass_loss || !self.is_answered_without(part);
        for other in suspects.iter().filter(|other| **other != part) {
            let Some(rival) = self.records.get(other) else {
                continue;
            };
            let shared = rival.counted.intersection(&record.counted).count();
            let (ours, theirs) = (self.likelihood(part), self.likelihood(*other));
            doubtful |= shared >= self.config.crash_threshold && theirs.0 >= ours.0;
            if theirs > ours {
                unexplained.retain(|replica| !rival.counted.contains(replica));
            }
        }
        (!unexplained.is_empty()).then_some(doubtful && record.failed_probes == 0)
    }

    /// Returns whether a prompt without this part was answered here, later than any with it. Otherwise its crashes may be due
    /// to the replicas: after a start of all entries, nothing speaks for a part that all prompts share.
    fn is_answered_without(&self, part: u64) -> bool {
        let own_at = |known: &Answered| known.own_at;
        // An answer speaks for all parts of its prompt at the same time.
        let last = self.answered.get(&part).and_then(own_at);
        self.answered.values().any(|known| known.own_at > last)
    }

    /// Returns the rank of a suspect among those that share its crashes.
    fn likelihood(&self, part: u64) -> (bool, usize) {
        let never_answered = !self.answered.contains_key(&part);
        let crashes = self
            .records
            .get(&part)
            .map_or(0, |record| record.counted.len());
        (never_answered, crashes)
    }
}
