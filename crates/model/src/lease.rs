//! One lease, two rivals, and orders to an engine.
//!
//! Time passes in ticks that any process may sleep through; a process acts whenever it pleases, which
//! covers every pause. A holder's clock may lose one tick a term against the others. A write may take
//! effect after its sender gave up. Bounds: two rivals, a term of two ticks, a margin of one, orders
//! in flight for up to two ticks, one order in flight for each rival, fencing numbers up to three.

use crate::checker::Specification;

/// Ticks of a lease.
const TERM: u8 = 2;
/// Ticks added before another takes it.
const MARGIN: u8 = 1;
/// Most ticks that an order is in flight.
const FLIGHT: u8 = 2;
/// Highest fencing number that is followed.
const MOST_FENCES: u8 = 3;
/// Rivals.
pub const RIVALS: usize = 2;

/// What is left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The holder counts its deadline from the answer, not from before it sent.
    DeadlineFromAnswer,
    /// Those who wait add no margin.
    NoMargin,
    /// Writes don't check the row's revision.
    BlindWrite,
    /// The engine takes any order, and a new holder does not wait out old ones.
    NoFlightWait,
    /// The engine takes orders with old numbers and holders rely on its check.
    NoFenceCheck,
}

/// The specification.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease {
    /// What is left out.
    pub fault: Fault,
    /// Whether the engine checks fencing numbers; else new holders wait out old orders.
    pub checks_fencing: bool,
    /// Whether a holder whose lease has run out gives its number up for good.
    pub resigns: bool,
}

/// Everything.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Who holds the row; none before the first.
    pub holder: Option<u8>,
    /// The row's fencing number.
    pub fence: u8,
    /// The processes.
    pub rivals: [Rival; RIVALS],
    /// The highest number whose order took effect at the engine.
    pub highest: u8,
    /// Whether an order with a lower number took effect after one with a higher.
    pub reverted: bool,
}

/// One process and what is on its way for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Rival {
    /// Ticks until its lease lapses by its own clock; 0 is lapsed.
    pub lease: u8,
    /// The number of its lease.
    pub fence: u8,
    /// Whether its clock has lost its tick since the write that gained its lease was sent.
    pub slow: bool,
    /// Its last read, if the row is still as it was then.
    pub seen: bool,
    /// Ticks since it first saw the row as it is, up to the term and margin.
    pub age: u8,
    /// Whether a read showed the lease to be free.
    pub free: bool,
    /// The write on its way.
    pub write: Option<Write>,
    /// A write that it gave up on.
    pub ghost: Option<Write>,
    /// Ticks before it may order, since it gained the lease.
    pub wait: u8,
    /// The order in flight.
    pub order: Option<Order>,
    /// The number that it held last; followed where holders resign.
    pub held: u8,
    /// It holds no number up to this one any more.
    pub ended: u8,
}

/// A write to the row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Write {
    /// Whether the row is still at the revision that it checks.
    pub fresh: bool,
    /// The number it writes.
    pub fence: u8,
    /// Ticks until the lease would lapse, counted from before it was sent.
    pub left: u8,
    /// Whether its sender's clock has lost its tick since it was sent.
    pub slow: bool,
    /// Whether it took effect; none while it is on its way.
    pub done: Option<bool>,
}

/// An order to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// Its number.
    pub fence: u8,
    /// Ticks it may still be in flight.
    pub left: u8,
}

/// A step; the number is the rival's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Time passes; the clock of `slow` loses the tick.
    Tick {
        /// Whose clock is slow.
        slow: Option<usize>,
    },
    /// Reads the row.
    Read(usize),
    /// Sends a write that gains or renews.
    Send(usize),
    /// The write arrives.
    Arrive(usize),
    /// The answer arrives.
    Answer(usize),
    /// The sender gives up; the write may still be on its way.
    GiveUp(usize),
    /// A write that was given up on arrives.
    GhostArrives(usize),
    /// Gives up the number of a lease that has run out.
    Resign(usize),
    /// Sends an order.
    Order(usize),
    /// An order arrives at the engine.
    OrderArrives(usize),
}

impl Specification for Lease {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        State {
            holder: None,
            fence: 0,
            rivals: [Rival::default(), Rival::default()],
            highest: 0,
            reverted: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut actions = vec![
            Action::Tick { slow: None },
            Action::Tick { slow: Some(0) },
            Action::Tick { slow: Some(1) },
        ];
        for rival in 0..RIVALS {
            actions.extend([
                Action::Read(rival),
                Action::Send(rival),
                Action::Arrive(rival),
                Action::Answer(rival),
                Action::GiveUp(rival),
                Action::GhostArrives(rival),
                Action::Resign(rival),
                Action::Order(rival),
                Action::OrderArrives(rival),
            ]);
        }
        actions
            .into_iter()
            .filter_map(|action| Some((action, self.take(state, action)?)))
            .collect()
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let holding = state.rivals.iter().filter(|rival| rival.lease > 0).count();
        if holding > 1 {
            return Some("two rivals hold the lease");
        }
        if state.reverted {
            return Some("an old order took effect after a newer one");
        }
        None
    }
}

impl Lease {
    /// The state after an action, if it can happen.
    pub fn take(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Tick { slow } => tick(&mut next, slow)?,
            Action::Read(rival) => self.read(&mut next, rival)?,
            Action::Send(rival) => send(&mut next, rival)?,
            Action::Arrive(rival) => {
                let write = next.rivals[rival]
                    .write
                    .filter(|write| write.done.is_none())?;
                let done = self.arrive(&mut next, rival, write);
                next.rivals[rival].write = Some(Write {
                    done: Some(done),
                    ..write
                });
            }
            Action::Answer(rival) => self.answer(&mut next, rival)?,
            Action::GiveUp(rival) => {
                let write = next.rivals[rival].write.take()?;
                let on_its_way = write.done.is_none();
                if on_its_way && next.rivals[rival].ghost.is_some() {
                    return None;
                }
                if on_its_way {
                    next.rivals[rival].ghost = Some(write);
                }
                next.rivals[rival].free = false;
            }
            Action::GhostArrives(rival) => {
                let write = next.rivals[rival].ghost.take()?;
                self.arrive(&mut next, rival, write);
            }
            Action::Resign(rival) => {
                let process = &mut next.rivals[rival];
                if process.lease > 0 || process.held <= process.ended {
                    return None;
                }
                process.ended = process.held;
            }
            Action::Order(rival) => {
                let process = &mut next.rivals[rival];
                if process.lease == 0 || process.wait > 0 || process.order.is_some() {
                    return None;
                }
                process.order = Some(Order {
                    fence: process.fence,
                    left: FLIGHT,
                });
            }
            Action::OrderArrives(rival) => self.order_arrives(&mut next, rival)?,
        }
        self.normalize(&mut next);
        (next != *state).then_some(next)
    }

    /// Clears what no longer has an effect, so that equal states are counted once.
    fn normalize(&self, next: &mut State) {
        for process in &mut next.rivals {
            if !self.resigns {
                process.held = 0;
            }
            if process.lease == 0 {
                process.slow = false;
            }
            if process.lease == 0 && self.checks_fencing {
                process.fence = 0;
            }
            if !process.seen {
                process.age = 0;
                process.free = false;
            }
            if self.fault == Fault::BlindWrite {
                continue;
            }
            process.ghost = process.ghost.filter(|write| write.fresh);
            if let Some(ghost) = &mut process.ghost {
                ghost.left = 0;
                ghost.slow = false;
            }
            if let Some(write) = &mut process.write
                && (write.done == Some(false) || (write.done.is_none() && !write.fresh))
            {
                *write = Write {
                    done: Some(false),
                    ..Write::default()
                };
            }
        }
    }

    fn read(&self, next: &mut State, rival: usize) -> Option<()> {
        let margin = match self.fault {
            Fault::NoMargin => 0,
            _ => MARGIN,
        };
        let process = &mut next.rivals[rival];
        if process.write.is_some() {
            return None;
        }
        if !process.seen {
            process.seen = true;
            process.age = 0;
        }
        process.free = next.holder.is_none() || process.age >= TERM + margin;
        Some(())
    }

    /// A write reaches the service; whether it takes effect.
    fn arrive(&self, next: &mut State, rival: usize, write: Write) -> bool {
        if !write.fresh && self.fault != Fault::BlindWrite {
            return false;
        }
        next.holder = Some(rival as u8);
        next.fence = write.fence;
        for other in &mut next.rivals {
            other.seen = false;
            other.free = false;
            other.age = 0;
            let writes = other.write.iter_mut().chain(&mut other.ghost);
            writes.for_each(|write| write.fresh = false);
        }
        true
    }

    fn answer(&self, next: &mut State, rival: usize) -> Option<()> {
        let process = &mut next.rivals[rival];
        let write = process.write.filter(|write| write.done.is_some())?;
        process.write = None;
        if write.done != Some(true) {
            process.seen = false;
            return Some(());
        }
        if write.fence != process.fence && !self.checks_fencing {
            process.wait = match self.fault {
                Fault::NoFlightWait => 0,
                _ => FLIGHT,
            };
        }
        process.fence = write.fence;
        process.held = write.fence;
        process.slow = write.slow;
        process.lease = match self.fault {
            // A number that was given up is never held again.
            _ if write.fence <= process.ended => 0,
            Fault::DeadlineFromAnswer => TERM,
            _ => write.left,
        };
        // Its own write is the row it now knows, unless another has written since.
        process.seen = next.holder == Some(rival as u8) && next.fence == write.fence;
        Some(())
    }

    fn order_arrives(&self, next: &mut State, rival: usize) -> Option<()> {
        let order = next.rivals[rival].order.take()?;
        let old = order.fence < next.highest;
        let refused = self.checks_fencing && self.fault != Fault::NoFenceCheck;
        if old && refused {
            return Some(());
        }
        next.reverted |= old;
        next.highest = next.highest.max(order.fence);
        Some(())
    }
}

fn tick(next: &mut State, slow: Option<usize>) -> Option<()> {
    for (index, process) in next.rivals.iter_mut().enumerate() {
        let lost = slow == Some(index);
        if lost && (process.slow || process.write.is_some_and(|write| write.slow)) {
            return None;
        }
        if lost {
            process.slow = process.lease > 0;
            process.write.iter_mut().for_each(|write| write.slow = true);
        } else {
            process.lease = process.lease.saturating_sub(1);
            for write in process.write.iter_mut().chain(&mut process.ghost) {
                write.left = write.left.saturating_sub(1);
            }
            process.wait = process.wait.saturating_sub(1);
        }
        process.age = (process.age + 1).min(TERM + MARGIN);
        if let Some(order) = &mut process.order {
            // An order that is not delivered by now is lost.
            if order.left == 0 {
                process.order = None;
            } else {
                order.left -= 1;
            }
        }
    }
    Some(())
}

fn send(next: &mut State, rival: usize) -> Option<()> {
    let ours = next.holder == Some(rival as u8);
    let fence = next.fence;
    let process = &mut next.rivals[rival];
    if process.write.is_some() || !process.seen || !(ours || process.free) {
        return None;
    }
    let fence = match ours && fence > process.ended {
        true => fence,
        false => fence + 1,
    };
    if fence > MOST_FENCES {
        return None;
    }
    process.write = Some(Write {
        fresh: true,
        fence,
        left: TERM,
        slow: false,
        done: None,
    });
    Some(())
}
