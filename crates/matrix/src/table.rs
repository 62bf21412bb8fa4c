//! Cells of the matrix: every step with every fault, selected pairs, and impossible combinations.

use crate::cell::Cell;
use crate::cell::STEPS;
use crate::cell::Step;
use crate::cell::TROUBLES;
use crate::cell::Trouble;

/// Pairs in which the second fault disables a safeguard against the first.
pub const PAIRS: [(Step, Trouble, Trouble); 18] = [
    (Step::LeaveByTicket, Trouble::CutIn, Trouble::StopEntry),
    (Step::LeaveByTicket, Trouble::Slow, Trouble::LeaseLapsed),
    (Step::LeaveByRow, Trouble::LostAnswer, Trouble::KillEntry),
    (Step::LeaveByRow, Trouble::StoreSlow, Trouble::Freeze),
    (Step::PlainRuns, Trouble::LostAnswer, Trouble::CutCallers),
    (Step::PlainRuns, Trouble::KillEntry, Trouble::StoreDown),
    (Step::PlainRuns, Trouble::LeaseLapsed, Trouble::StoreDown),
    (Step::Streaming, Trouble::KillEntry, Trouble::KillBackend),
    (
        Step::Streaming,
        Trouble::ReclaimInstance,
        Trouble::KillEntry,
    ),
    (
        Step::Streaming,
        Trouble::ReclaimZone,
        Trouble::RefusedReplacement,
    ),
    (Step::Streaming, Trouble::ReclaimEntry, Trouble::StoreDown),
    (Step::Moved, Trouble::KillBackend, Trouble::CutCallers),
    (Step::HandedOff, Trouble::KillBackend, Trouble::StoreDown),
    (
        Step::ConfigCommit,
        Trouble::LostAnswer,
        Trouble::OperatorsRace,
    ),
    (Step::ConfigCommit, Trouble::LeaseLapsed, Trouble::StoreSlow),
    (Step::ConfigApply, Trouble::CutIn, Trouble::StoreDown),
    (Step::Drain, Trouble::ReclaimInstance, Trouble::StoreSlow),
    (Step::LedgerHandover, Trouble::CutIn, Trouble::StoreDown),
];

/// Returns all cells.
pub fn cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for step in STEPS {
        for first in TROUBLES {
            let second = None;
            cells.push(Cell {
                step,
                first,
                second,
            });
        }
    }
    let pairs = PAIRS.iter().map(|(step, first, second)| Cell {
        step: *step,
        first: *first,
        second: Some(*second),
    });
    cells.extend(pairs);
    cells
}

/// Returns the reason why a cell is impossible, if it is.
pub fn impossible(cell: &Cell) -> Option<&'static str> {
    let no_engine = [
        Step::Arrived,
        Step::LeaveByTicket,
        Step::LeaveByRow,
        Step::Queued,
        Step::PlainRuns,
        Step::LeaseRenewal,
        Step::ConfigCommit,
        Step::ConfigApply,
        Step::LedgerHandover,
    ];
    let no_caller = [
        Step::LeaseRenewal,
        Step::ConfigCommit,
        Step::ConfigApply,
        Step::LedgerHandover,
    ];
    match cell.first {
        Trouble::CutEngines if no_engine.contains(&cell.step) => {
            Some("no connection to a model engine takes part in this step")
        }
        Trouble::CutCallers if no_caller.contains(&cell.step) => {
            Some("no connection of a caller takes part in this step")
        }
        _ => None,
    }
}
