//! One change of the configuration among three members.
//!
//! Member 0 commits the change and decides when it is accepted. Member 1 applies it, renews its row
//! or sleeps. Member 2 is the one that is looked at: it may sleep through anything, be cut off from
//! the table service and live by the others' word, or join while the change goes on; any member is as
//! good as this one, so the others' own admission is left out. Bounds: three members, one change, a
//! lease term of two ticks, a margin of one, a word that counts for two ticks, clocks that run evenly.

use crate::checker::Specification;

/// Ticks of a lease.
const TERM: u8 = 2;
/// Ticks added before another treats it as lapsed.
const MARGIN: u8 = 1;
/// Ticks that a member's word counts, from when it was asked.
const WORD: u8 = 2;
/// Members.
const MEMBERS: usize = 3;
/// The member that lives by the others' word.
const ASKER: usize = 2;

/// What is left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// A member with a regained lease doesn't read the head before it admits.
    NoReread,
    /// A read of the members from before the commit counts.
    OldView,
    /// Members say at once that they have applied the change, whatever they told others before.
    NoPromise,
    /// Acceptance takes no majority while members are out.
    NoMajority,
    /// A word counts from when it was heard, not from when it was asked.
    WordFromAnswer,
    /// Members that are not out are not waited for.
    NoWait,
}

/// The specification.
#[derive(Clone, Copy, Debug, Default)]
pub struct Acceptance {
    /// What is left out.
    pub fault: Fault,
    /// Whether member 2 joins while the change goes on.
    pub joining: bool,
    /// Which of members 0 and 1 member 2 may ask.
    pub asked: [bool; ASKER],
}

/// Everything. The change is committed once member 0 has applied it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The members.
    pub members: [Member; MEMBERS],
    /// What member 0 read of the members after the commit (or ever, where that is the fault).
    pub view: Option<[Row; MEMBERS]>,
    /// Whether the operator was told "accepted".
    pub accepted: bool,
}

/// One member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Member {
    /// Whether it has a row.
    pub joined: bool,
    /// Whether it has applied the change.
    pub applied: bool,
    /// Whether its row says so.
    pub written: bool,
    /// Ticks until its lease lapses.
    pub lease: u8,
    /// Whether it has read the head since it gained the lease.
    pub confirmed: bool,
    /// A read of the head on its way back.
    pub read: Option<Read>,
    /// Ticks since member 0 first saw its row as it is; none if it has not seen it so.
    pub watched: Option<u8>,
    /// Its question to member 2's peers: this member is asked by member 2.
    pub question: Option<Question>,
    /// Ticks before it may say that it has applied the change, since it said it had not.
    pub promise: u8,
    /// Its word to member 2: ticks that it counts, and whether it held the change.
    pub word: Option<(u8, bool)>,
}

/// A read of the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Read {
    /// Whether the head named the change.
    pub changed: bool,
    /// Whether it was sent under the present lease.
    pub current: bool,
}

/// A question and, once answered, what the answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Question {
    /// Ticks that the answer will count.
    pub left: u8,
    /// Whether the asked member held the change; none before it answers.
    pub answer: Option<bool>,
}

/// A member's row as member 0 read it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Row {
    /// Whether there is one.
    pub there: bool,
    /// Whether it says that the change was applied.
    pub applied: bool,
    /// Whether its lease has lapsed for certain.
    pub lapsed: bool,
}

/// A step; the number is the member's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Time passes for all.
    Tick,
    /// Member 0 commits the change.
    Commit,
    /// Renews or gains the lease; the row says what the member has applied.
    Renew(usize),
    /// Asks the service for the head; the service answers.
    ReadHead(usize),
    /// The head arrives.
    Head(usize),
    /// A peer hands the change over.
    Learn(usize),
    /// Member 2 asks this member what it holds.
    Ask(usize),
    /// This member answers.
    Reply(usize),
    /// The answer arrives at member 2.
    Word(usize),
    /// Member 0 reads all members.
    View,
    /// Member 0 hears that a member has applied the change.
    Hear(usize),
    /// Member 0 tells the operator "accepted".
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
            members[ASKER] = Member::default();
        }
        State {
            members,
            view: None,
            accepted: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut actions = vec![Action::Tick, Action::Commit, Action::View, Action::Accept];
        for member in 1..MEMBERS {
            actions.extend([Action::Renew(member), Action::Learn(member)]);
        }
        actions.extend((0..MEMBERS).map(Action::Hear));
        actions.extend([Action::ReadHead(ASKER), Action::Head(ASKER)]);
        for member in (0..ASKER).filter(|member| self.asked[*member]) {
            actions.extend([
                Action::Ask(member),
                Action::Reply(member),
                Action::Word(member),
            ]);
        }
        actions
            .into_iter()
            .filter_map(|action| Some((action, self.take(state, action)?)))
            .collect()
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let old = !state.members[ASKER].applied && state.admits();
        (state.accepted && old).then_some("a member admits under the old version")
    }
}

impl Member {
    /// Whether it says that it has applied the change.
    fn says_applied(&self) -> bool {
        self.applied && self.promise == 0
    }
}

impl State {
    /// Whether member 2 would admit a request now.
    pub fn admits(&self) -> bool {
        let asker = &self.members[ASKER];
        let leased = asker.joined && asker.lease > 0 && asker.confirmed;
        leased || self.has_majority()
    }

    /// Whether most members, among them member 2 itself if it has a row, hold nothing newer.
    fn has_majority(&self) -> bool {
        let asker = &self.members[ASKER];
        let agreeing = self.members[..ASKER]
            .iter()
            .filter(|member| {
                member
                    .word
                    .is_some_and(|(left, changed)| left > 0 && (asker.applied || !changed))
            })
            .count();
        let own = usize::from(asker.joined);
        (agreeing + own) * 2 > ASKER + own
    }

    fn committed(&self) -> bool {
        self.members[0].applied
    }
}

impl Acceptance {
    /// The state after an action, if it can happen.
    pub fn take(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Tick => tick(&mut next),
            Action::Commit => {
                if next.members[0].applied {
                    return None;
                }
                next.members[0].applied = true;
                if self.fault != Fault::OldView {
                    next.view = None;
                }
            }
            Action::Renew(member) => self.renew(&mut next, member),
            Action::ReadHead(member) => {
                let changed = next.committed();
                let current = next.members[member].lease > 0;
                next.members[member].read = Some(Read { changed, current });
            }
            Action::Head(member) => {
                let read = next.members[member].read.take()?;
                next.members[member].applied |= read.changed;
                next.members[member].confirmed |= read.current;
            }
            Action::Learn(member) => {
                let known = next.members.iter().any(|other| other.applied);
                next.members[member].applied |= known;
            }
            Action::Ask(member) => {
                let left = WORD;
                next.members[member].question = Some(Question { left, answer: None });
            }
            Action::Reply(member) => {
                let replying = &mut next.members[member];
                let question = replying.question.as_mut()?;
                if question.answer.is_some() {
                    return None;
                }
                question.answer = Some(replying.applied);
                if !replying.applied && self.fault != Fault::NoPromise {
                    replying.promise = WORD;
                }
            }
            Action::Word(member) => {
                let question = next.members[member].question.take()?;
                let left = match self.fault {
                    Fault::WordFromAnswer => WORD,
                    _ => question.left,
                };
                let before = next.members[member]
                    .word
                    .is_some_and(|(_, changed)| changed);
                let changed = question.answer? || before;
                next.members[member].word = Some((left, changed));
            }
            Action::View => view(&mut next),
            Action::Hear(member) => {
                let says = next.members[member].says_applied();
                let rows = next.view.as_mut()?;
                rows[member].applied |= says && rows[member].there;
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

    /// Clears what no longer has an effect, so that equal states are counted once.
    fn normalize(&self, next: &mut State) {
        // Once member 2 has applied the change it never admits under the old version again.
        if next.members[ASKER].applied {
            let mut members: [Member; MEMBERS] = Default::default();
            members[ASKER].applied = true;
            *next = State {
                members,
                view: None,
                accepted: false,
            };
            return;
        }
        for member in &mut next.members {
            member.word = member.word.filter(|(left, changed)| *left > 0 && !changed);
            member.question = member
                .question
                .filter(|question| question.answer != Some(true))
                .filter(|question| question.left > 0 || self.fault == Fault::WordFromAnswer);
            if next.accepted {
                member.watched = None;
                member.written = false;
                member.promise = 0;
            }
        }
        // A view from before the commit counts only where that is the fault.
        let early = !next.committed() && self.fault != Fault::OldView;
        if next.accepted || early {
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
        state.lease = if member == ASKER { TERM } else { 0 };
        state.written = state.says_applied();
        state.watched = None;
    }

    /// Whether nobody that is not out is behind, some are out, and a majority has applied it.
    fn settled(&self, state: &State) -> bool {
        let Some(rows) = state.view.filter(|_| state.committed()) else {
            return false;
        };
        let there: Vec<Row> = rows.into_iter().filter(|row| row.there).collect();
        let applied = there
            .iter()
            .filter(|row| row.applied && !row.lapsed)
            .count();
        let behind = there.iter().any(|row| !row.applied && !row.lapsed);
        let majority = applied * 2 > there.len() || self.fault == Fault::NoMajority;
        (!behind || self.fault == Fault::NoWait) && majority
    }

    fn may_accept(&self, state: &State) -> bool {
        let Some(rows) = state.view else {
            return false;
        };
        if rows.iter().all(|row| !row.there || row.applied) {
            return true;
        }
        self.settled(state)
    }
}

fn tick(next: &mut State) {
    for member in &mut next.members {
        member.lease = member.lease.saturating_sub(1);
        member.promise = member.promise.saturating_sub(1);
        if let Some(watched) = &mut member.watched {
            *watched = (*watched + 1).min(TERM + MARGIN);
        }
        if let Some(question) = &mut member.question {
            question.left = question.left.saturating_sub(1);
        }
        if let Some((left, _)) = &mut member.word {
            *left = left.saturating_sub(1);
        }
    }
}

/// Member 0 reads all rows at one moment; what it holds itself it knows.
fn view(next: &mut State) {
    let own = next.members[0].says_applied();
    let mut rows = [Row::default(); MEMBERS];
    for (index, member) in next.members.iter_mut().enumerate() {
        if !member.joined {
            continue;
        }
        if index == 0 {
            rows[index] = Row {
                there: true,
                applied: own,
                lapsed: false,
            };
            continue;
        }
        let watched = *member.watched.get_or_insert(0);
        rows[index] = Row {
            there: true,
            applied: member.written,
            lapsed: watched >= TERM + MARGIN,
        };
    }
    next.view = Some(rows);
}
