//! One change of the configuration among three members.
//!
//! Member 0 commits the change and decides when it is accepted. Member 1 applies it, renews its row or is
//! paused. Member 2 is the one whose admission is checked: it may be paused at any time, be cut off from the
//! table service and rely on the others' votes, or join during the change. Members are interchangeable, so
//! the admission of the others is omitted. Bounds: three members, one change, a lease term of two ticks, a
//! margin of one, a vote that is valid for two ticks, clocks without drift.

use crate::checker::Specification;

/// Term of a lease, ticks.
const TERM: u8 = 2;
/// Ticks after the term before others treat a lease as lapsed.
const MARGIN: u8 = 1;
/// Time that a vote is valid, counted from the query, ticks.
const VOTE_TERM: u8 = 2;
/// Number of members.
const MEMBERS: usize = 3;
/// The member whose admission is checked.
const OBSERVED: usize = 2;

/// A guard that the specification omits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// All guards are present.
    #[default]
    None,
    /// A member that regains its lease doesn't read the head before it admits.
    NoReread,
    /// A read of the members from before the commit is used.
    StaleView,
    /// Members announce the change as soon as they apply it, whatever they voted before.
    NoDeferral,
    /// Acceptance requires no majority while members have lapsed.
    NoMajority,
    /// A vote is valid from its arrival, not from the query.
    VoteTermFromArrival,
    /// Acceptance doesn't wait for members whose lease hasn't lapsed.
    NoWait,
}

/// The specification of acceptance and admission.
#[derive(Clone, Copy, Debug, Default)]
pub struct Acceptance {
    /// The guard that is omitted.
    pub fault: Fault,
    /// Whether member 2 joins during the change.
    pub joining: bool,
    /// Whether member 2 may query each of members 0 and 1.
    pub queried: [bool; OBSERVED],
}

/// The whole state. The change is committed once member 0 has applied it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The members.
    pub members: [Member; MEMBERS],
    /// The members as member 0 read them after the commit (or at any time with [`Fault::StaleView`]).
    pub view: Option<[Row; MEMBERS]>,
    /// Whether the operator was notified that the change is accepted.
    pub accepted: bool,
}

/// One member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Member {
    /// Whether it has a row in the table.
    pub joined: bool,
    /// Whether it has applied the change.
    pub applied: bool,
    /// Whether its row says that the change was applied.
    pub row_applied: bool,
    /// Ticks until its lease lapses.
    pub lease: u8,
    /// Whether it has read the head since it gained its lease.
    pub confirmed: bool,
    /// The read of the head in flight.
    pub read: Option<Read>,
    /// Ticks since member 0 first read its row in its present state; none if it hasn't read it.
    pub row_age: Option<u8>,
    /// The query from member 2 to this member.
    pub query: Option<Query>,
    /// Ticks until it may announce the change, because a vote against it may still be valid.
    pub deferral: u8,
    /// Its vote at member 2: ticks for which it is valid, and whether it held the change.
    pub vote: Option<(u8, bool)>,
}

/// A read of the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Read {
    /// Whether the head contained the change.
    pub changed: bool,
    /// Whether it was sent under the current lease.
    pub current: bool,
}

/// A query and, once it is answered, the vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Query {
    /// Ticks for which the vote will be valid.
    pub left: u8,
    /// Whether the queried member held the change; none before it answers.
    pub answer: Option<bool>,
}

/// A member's row as member 0 read it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Row {
    /// Whether the row exists.
    pub exists: bool,
    /// Whether it says that the change was applied.
    pub applied: bool,
    /// Whether its lease has certainly lapsed.
    pub lapsed: bool,
}

/// A step; the number identifies the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Time passes for all members.
    Tick,
    /// Member 0 commits the change.
    Commit,
    /// Renews or gains the lease; the row records whether the member announces the change.
    Renew(usize),
    /// Reads the head; the service answers.
    ReadHead(usize),
    /// The head arrives at the member.
    ReceiveHead(usize),
    /// A peer sends the change to the member.
    ReceiveChange(usize),
    /// Member 2 queries this member.
    Query(usize),
    /// This member answers the query with a vote.
    Answer(usize),
    /// The vote arrives at member 2.
    ReceiveVote(usize),
    /// Member 0 reads all rows.
    ReadMembers,
    /// Member 0 receives a member's announcement of the change.
    ReceiveAnnouncement(usize),
    /// Member 0 notifies the operator that the change is accepted.
    Accept,
}

impl Specification for Acceptance {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let member = Member {
            joined: true,
            lease: TERM,
            confirmed: true,
            ..Member::default()
        };
        let other = Member {
            joined: true,
            ..Member::default()
        };
        let mut members = [other.clone(), other, member];
        if self.joining {
            members[OBSERVED] = Member::default();
        }
        State {
            members,
            view: None,
            accepted: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut actions = vec![
            Action::Tick,
            Action::Commit,
            Action::ReadMembers,
            Action::Accept,
        ];
        for member in 1..MEMBERS {
            actions.extend([Action::Renew(member), Action::ReceiveChange(member)]);
        }
        actions.extend((0..MEMBERS).map(Action::ReceiveAnnouncement));
        actions.extend([Action::ReadHead(OBSERVED), Action::ReceiveHead(OBSERVED)]);
        for member in (0..OBSERVED).filter(|member| self.queried[*member]) {
            actions.extend([
                Action::Query(member),
                Action::Answer(member),
                Action::ReceiveVote(member),
            ]);
        }
        actions
            .into_iter()
            .filter_map(|action| Some((action, self.apply(state, action)?)))
            .collect()
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let old = !state.members[OBSERVED].applied && state.admits();
        (state.accepted && old).then_some("a member admits under the old version")
    }
}

impl Member {
    /// Returns whether it announces the change.
    fn announces_applied(&self) -> bool {
        self.applied && self.deferral == 0
    }
}

impl State {
    /// Returns whether member 2 would admit a request now.
    pub fn admits(&self) -> bool {
        let observed = &self.members[OBSERVED];
        let leased = observed.joined && observed.lease > 0 && observed.confirmed;
        leased || self.has_majority()
    }

    /// Returns whether a majority of members, including member 2 if it has a row, holds nothing newer.
    fn has_majority(&self) -> bool {
        let observed = &self.members[OBSERVED];
        let agreeing = self.members[..OBSERVED]
            .iter()
            .filter(|member| {
                member
                    .vote
                    .is_some_and(|(left, changed)| left > 0 && (observed.applied || !changed))
            })
            .count();
        let own_vote = usize::from(observed.joined);
        (agreeing + own_vote) * 2 > OBSERVED + own_vote
    }

    fn committed(&self) -> bool {
        self.members[0].applied
    }
}

impl Acceptance {
    /// Returns the state after an action, or none if the action is impossible.
    pub fn apply(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Tick => tick(&mut next),
            Action::Commit => {
                if next.members[0].applied {
                    return None;
                }
                next.members[0].applied = true;
                if self.fault != Fault::StaleView {
                    next.view = None;
                }
            }
            Action::Renew(member) => self.renew(&mut next, member),
            Action::ReadHead(member) => {
                let changed = next.committed();
                let current = next.members[member].lease > 0;
                next.members[member].read = Some(Read { changed, current });
            }
            Action::ReceiveHead(member) => {
                let read = next.members[member].read.take()?;
                next.members[member].applied |= read.changed;
                next.members[member].confirmed |= read.current;
            }
            Action::ReceiveChange(member) => {
                let known = next.members.iter().any(|other| other.applied);
                next.members[member].applied |= known;
            }
            Action::Query(member) => {
                let left = VOTE_TERM;
                next.members[member].query = Some(Query { left, answer: None });
            }
            Action::Answer(member) => {
                let voter = &mut next.members[member];
                let query = voter.query.as_mut()?;
                if query.answer.is_some() {
                    return None;
                }
                query.answer = Some(voter.applied);
                if !voter.applied && self.fault != Fault::NoDeferral {
                    voter.deferral = VOTE_TERM;
                }
            }
            Action::ReceiveVote(member) => {
                let query = next.members[member].query.take()?;
                let left = match self.fault {
                    Fault::VoteTermFromArrival => VOTE_TERM,
                    _ => query.left,
                };
                let voted_changed = next.members[member]
                    .vote
                    .is_some_and(|(_, changed)| changed);
                let changed = query.answer? || voted_changed;
                next.members[member].vote = Some((left, changed));
            }
            Action::ReadMembers => read_members(&mut next),
            Action::ReceiveAnnouncement(member) => {
                let announced = next.members[member].announces_applied();
                let rows = next.view.as_mut()?;
                rows[member].applied |= announced && rows[member].exists;
            }
            Action::Accept => {
                if next.accepted || !next.committed() || !self.may_accept(&next) {
                    return None;
                }
                next.accepted = true;
            }
        }
        self.normalize(&mut next);
        (next != *state).then_some(next)
    }

    /// Clears values that have no further effect, so that equivalent states are merged.
    fn normalize(&self, next: &mut State) {
        // Once member 2 has applied the change it never again admits under the old version.
        if next.members[OBSERVED].applied {
            let mut members: [Member; MEMBERS] = Default::default();
            members[OBSERVED].applied = true;
            *next = State {
                members,
                view: None,
                accepted: false,
            };
            return;
        }
        for member in &mut next.members {
            member.vote = member.vote.filter(|(left, changed)| *left > 0 && !changed);
            member.query = member
                .query
                .filter(|query| query.answer != Some(true))
                .filter(|query| query.left > 0 || self.fault == Fault::VoteTermFromArrival);
            if next.accepted {
                member.row_age = None;
                member.row_applied = false;
                member.deferral = 0;
            }
        }
        // A read from before the commit counts only if that is the fault.
        let before_commit = !next.committed() && self.fault != Fault::StaleView;
        if next.accepted || before_commit {
            next.view = None;
        }
    }

    fn renew(&self, next: &mut State, member: usize) {
        let state = &mut next.members[member];
        if state.lease == 0 && self.fault != Fault::NoReread {
            state.confirmed = false;
        }
        if state.lease == 0
            && let Some(read) = &mut state.read
        {
            read.current = false;
        }
        state.joined = true;
        state.lease = if member == OBSERVED { TERM } else { 0 };
        state.row_applied = state.announces_applied();
        state.row_age = None;
    }

    /// Returns whether no unlapsed member is behind, and a majority has applied the change without lapsing.
    fn is_settled(&self, state: &State) -> bool {
        let Some(rows) = state.view.filter(|_| state.committed()) else {
            return false;
        };
        let existing: Vec<Row> = rows.into_iter().filter(|row| row.exists).collect();
        let applied = existing
            .iter()
            .filter(|row| row.applied && !row.lapsed)
            .count();
        let behind = existing.iter().any(|row| !row.applied && !row.lapsed);
        let majority = applied * 2 > existing.len() || self.fault == Fault::NoMajority;
        (!behind || self.fault == Fault::NoWait) && majority
    }

    fn may_accept(&self, state: &State) -> bool {
        let Some(rows) = state.view else {
            return false;
        };
        if rows.iter().all(|row| !row.exists || row.applied) {
            return true;
        }
        self.is_settled(state)
    }
}

fn tick(next: &mut State) {
    for member in &mut next.members {
        member.lease = member.lease.saturating_sub(1);
        member.deferral = member.deferral.saturating_sub(1);
        if let Some(row_age) = &mut member.row_age {
            *row_age = (*row_age + 1).min(TERM + MARGIN);
        }
        if let Some(query) = &mut member.query {
            query.left = query.left.saturating_sub(1);
        }
        if let Some((left, _)) = &mut member.vote {
            *left = left.saturating_sub(1);
        }
    }
}

/// Reads all rows at member 0 at one moment; for itself it uses its own state.
fn read_members(next: &mut State) {
    let own_applied = next.members[0].announces_applied();
    let mut rows = [Row::default(); MEMBERS];
    for (index, member) in next.members.iter_mut().enumerate() {
        if !member.joined {
            continue;
        }
        if index == 0 {
            rows[index] = Row {
                exists: true,
                applied: own_applied,
                lapsed: false,
            };
            continue;
        }
        let row_age = *member.row_age.get_or_insert(0);
        rows[index] = Row {
            exists: true,
            applied: member.row_applied,
            lapsed: row_age >= TERM + MARGIN,
        };
    }
    next.view = Some(rows);
}
