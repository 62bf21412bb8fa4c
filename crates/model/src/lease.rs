//! A lease with two rivals, and the holder's orders to an engine.
//!
//! Time passes in ticks. A process may be paused for any number of them, because no step is ever forced. A
//! holder's clock may lose one tick per term against the others. A write may take effect after its sender
//! has abandoned it. Bounds: two rivals, a term of two ticks, a margin of one, orders in flight for up to
//! two ticks, one order in flight for each rival, fencing numbers up to three.

use crate::checker::Specification;

/// Term of a lease, ticks.
const TERM: u8 = 2;
/// Ticks after the term before a rival takes the lease over.
const MARGIN: u8 = 1;
/// Maximum time that an order is in flight, ticks.
const MAX_ORDER_FLIGHT: u8 = 2;
/// Highest fencing number in the explored states.
const MAX_FENCE: u8 = 3;
/// Number of rivals.
pub const RIVALS: usize = 2;

/// A guard that the specification omits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// All guards are present.
    #[default]
    None,
    /// The holder counts its term from the answer instead of from before the write was sent.
    DeadlineFromAnswer,
    /// A rival adds no margin before it takes the lease over.
    NoMargin,
    /// Writes don't check the row's revision.
    BlindWrite,
    /// The engine accepts any order, and a new holder doesn't wait until old orders have expired.
    NoFlightWait,
    /// The engine accepts orders with old fencing numbers although holders rely on its check.
    NoFenceCheck,
}

/// The specification of the lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease {
    /// The guard that is omitted.
    pub fault: Fault,
    /// Whether the engine checks fencing numbers; otherwise new holders wait until old orders have expired.
    pub checks_fencing: bool,
    /// Whether a holder whose lease has expired permanently gives its fencing number up.
    pub resigns: bool,
}

/// The whole state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The holder in the row; none before the first lease.
    pub holder: Option<u8>,
    /// The row's fencing number.
    pub fence: u8,
    /// The processes.
    pub rivals: [Rival; RIVALS],
    /// The highest fencing number of an order that took effect at the engine.
    pub highest_fence: u8,
    /// Whether an order took effect after one with a higher fencing number.
    pub reverted: bool,
}

/// One process with its messages in flight.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Rival {
    /// Ticks until its lease expires by its own clock; 0 if expired.
    pub lease: u8,
    /// The fencing number of its lease.
    pub fence: u8,
    /// Whether its clock has lost its tick since it sent the write that gained its lease.
    pub slow: bool,
    /// Whether the row is unchanged since its last read.
    pub row_known: bool,
    /// Ticks since it first read the row in its present state, up to the term and margin.
    pub row_age: u8,
    /// Whether a read showed that the lease may be taken.
    pub takeable: bool,
    /// The write in flight.
    pub write: Option<Write>,
    /// A write in flight that it has abandoned.
    pub abandoned: Option<Write>,
    /// Ticks until it may send orders, after it gained the lease.
    pub order_wait: u8,
    /// The order in flight.
    pub order: Option<Order>,
    /// The fencing number that it held last; tracked only if holders resign.
    pub last_fence: u8,
    /// The highest fencing number that it has given up.
    pub resigned_fence: u8,
}

/// A write to the row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Write {
    /// Whether the row still has the revision that the write checks.
    pub current: bool,
    /// The fencing number to write.
    pub fence: u8,
    /// Ticks until the lease would expire, counted from before the write was sent.
    pub remaining: u8,
    /// Whether its sender's clock has lost its tick since it was sent.
    pub slow: bool,
    /// Whether it took effect; none while it is in flight.
    pub took_effect: Option<bool>,
}

/// An order to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// The fencing number of its sender.
    pub fence: u8,
    /// Ticks until it expires in flight.
    pub remaining: u8,
}

/// A step; the number identifies the rival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Time passes; the clock of `slow` loses the tick.
    Tick {
        /// The rival with the slow clock, if any.
        slow: Option<usize>,
    },
    /// Reads the row.
    Read(usize),
    /// Sends a write that gains or renews the lease.
    SendWrite(usize),
    /// The write reaches the service.
    WriteArrives(usize),
    /// The answer to the write arrives.
    AnswerArrives(usize),
    /// The sender abandons a write, which may still be in flight.
    Abandon(usize),
    /// An abandoned write reaches the service.
    AbandonedWriteArrives(usize),
    /// Gives up the fencing number of an expired lease.
    Resign(usize),
    /// Sends an order.
    SendOrder(usize),
    /// The order reaches the engine.
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
            highest_fence: 0,
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
                Action::SendWrite(rival),
                Action::WriteArrives(rival),
                Action::AnswerArrives(rival),
                Action::Abandon(rival),
                Action::AbandonedWriteArrives(rival),
                Action::Resign(rival),
                Action::SendOrder(rival),
                Action::OrderArrives(rival),
            ]);
        }
        actions
            .into_iter()
            .filter_map(|action| Some((action, self.apply(state, action)?)))
            .collect()
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let holders = state.rivals.iter().filter(|rival| rival.lease > 0).count();
        if holders > 1 {
            return Some("two rivals hold the lease");
        }
        if state.reverted {
            return Some("an old order took effect after a newer one");
        }
        None
    }
}

impl Lease {
    /// Returns the state after an action, or none if the action is impossible.
    pub fn apply(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Tick { slow } => tick(&mut next, slow)?,
            Action::Read(rival) => self.read(&mut next, rival)?,
            Action::SendWrite(rival) => send_write(&mut next, rival)?,
            Action::WriteArrives(rival) => {
                let write = next.rivals[rival]
                    .write
                    .filter(|write| write.took_effect.is_none())?;
                let took_effect = self.write_arrives(&mut next, rival, write);
                next.rivals[rival].write = Some(Write {
                    took_effect: Some(took_effect),
                    ..write
                });
            }
            Action::AnswerArrives(rival) => self.answer_arrives(&mut next, rival)?,
            Action::Abandon(rival) => {
                let write = next.rivals[rival].write.take()?;
                let in_flight = write.took_effect.is_none();
                if in_flight && next.rivals[rival].abandoned.is_some() {
                    return None;
                }
                if in_flight {
                    next.rivals[rival].abandoned = Some(write);
                }
                next.rivals[rival].takeable = false;
            }
            Action::AbandonedWriteArrives(rival) => {
                let write = next.rivals[rival].abandoned.take()?;
                self.write_arrives(&mut next, rival, write);
            }
            Action::Resign(rival) => {
                let process = &mut next.rivals[rival];
                if process.lease > 0 || process.last_fence <= process.resigned_fence {
                    return None;
                }
                process.resigned_fence = process.last_fence;
            }
            Action::SendOrder(rival) => {
                let process = &mut next.rivals[rival];
                if process.lease == 0 || process.order_wait > 0 || process.order.is_some() {
                    return None;
                }
                process.order = Some(Order {
                    fence: process.fence,
                    remaining: MAX_ORDER_FLIGHT,
                });
            }
            Action::OrderArrives(rival) => self.order_arrives(&mut next, rival)?,
        }
        self.normalize(&mut next);
        (next != *state).then_some(next)
    }

    /// Clears values that have no further effect, so that equivalent states are merged.
    fn normalize(&self, next: &mut State) {
        for process in &mut next.rivals {
            if !self.resigns {
                process.last_fence = 0;
            }
            if process.lease == 0 {
                process.slow = false;
            }
            if process.lease == 0 && self.checks_fencing {
                process.fence = 0;
            }
            if !process.row_known {
                process.row_age = 0;
                process.takeable = false;
            }
            if self.fault == Fault::BlindWrite {
                continue;
            }
            process.abandoned = process.abandoned.filter(|write| write.current);
            if let Some(write) = &mut process.abandoned {
                write.remaining = 0;
                write.slow = false;
            }
            if let Some(write) = &mut process.write
                && (write.took_effect == Some(false)
                    || (write.took_effect.is_none() && !write.current))
            {
                *write = Write {
                    took_effect: Some(false),
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
        if !process.row_known {
            process.row_known = true;
            process.row_age = 0;
        }
        process.takeable = next.holder.is_none() || process.row_age >= TERM + margin;
        Some(())
    }

    /// Processes a write at the service and returns whether it took effect.
    fn write_arrives(&self, next: &mut State, rival: usize, write: Write) -> bool {
        if !write.current && self.fault != Fault::BlindWrite {
            return false;
        }
        next.holder = Some(rival as u8);
        next.fence = write.fence;
        for other in &mut next.rivals {
            other.row_known = false;
            other.takeable = false;
            other.row_age = 0;
            let writes = other.write.iter_mut().chain(&mut other.abandoned);
            writes.for_each(|write| write.current = false);
        }
        true
    }

    fn answer_arrives(&self, next: &mut State, rival: usize) -> Option<()> {
        let process = &mut next.rivals[rival];
        let write = process.write.filter(|write| write.took_effect.is_some())?;
        process.write = None;
        if write.took_effect != Some(true) {
            process.row_known = false;
            return Some(());
        }
        if write.fence != process.fence && !self.checks_fencing {
            process.order_wait = match self.fault {
                Fault::NoFlightWait => 0,
                _ => MAX_ORDER_FLIGHT,
            };
        }
        process.fence = write.fence;
        process.last_fence = write.fence;
        process.slow = write.slow;
        process.lease = match self.fault {
            // A fencing number that was given up is never held again.
            _ if write.fence <= process.resigned_fence => 0,
            Fault::DeadlineFromAnswer => TERM,
            _ => write.remaining,
        };
        // After its own write it knows the row, unless another rival has written since.
        process.row_known = next.holder == Some(rival as u8) && next.fence == write.fence;
        Some(())
    }

    fn order_arrives(&self, next: &mut State, rival: usize) -> Option<()> {
        let order = next.rivals[rival].order.take()?;
        let is_old = order.fence < next.highest_fence;
        let checks = self.checks_fencing && self.fault != Fault::NoFenceCheck;
        if is_old && checks {
            return Some(());
        }
        next.reverted |= is_old;
        next.highest_fence = next.highest_fence.max(order.fence);
        Some(())
    }
}

fn tick(next: &mut State, slow: Option<usize>) -> Option<()> {
    for (index, process) in next.rivals.iter_mut().enumerate() {
        let loses_tick = slow == Some(index);
        if loses_tick && (process.slow || process.write.is_some_and(|write| write.slow)) {
            return None;
        }
        if loses_tick {
            process.slow = process.lease > 0;
            process.write.iter_mut().for_each(|write| write.slow = true);
        } else {
            process.lease = process.lease.saturating_sub(1);
            for write in process.write.iter_mut().chain(&mut process.abandoned) {
                write.remaining = write.remaining.saturating_sub(1);
            }
            process.order_wait = process.order_wait.saturating_sub(1);
        }
        process.row_age = (process.row_age + 1).min(TERM + MARGIN);
        if let Some(order) = &mut process.order {
            // An order that isn't delivered in time is lost.
            if order.remaining == 0 {
                process.order = None;
            } else {
                order.remaining -= 1;
            }
        }
    }
    Some(())
}

fn send_write(next: &mut State, rival: usize) -> Option<()> {
    let is_holder = next.holder == Some(rival as u8);
    let fence = next.fence;
    let process = &mut next.rivals[rival];
    if process.write.is_some() || !process.row_known || !(is_holder || process.takeable) {
        return None;
    }
    let fence = match is_holder && fence > process.resigned_fence {
        true => fence,
        false => fence + 1,
    };
    if fence > MAX_FENCE {
        return None;
    }
    process.write = Some(Write {
        current: true,
        fence,
        remaining: TERM,
        slow: false,
        took_effect: None,
    });
    Some(())
}
