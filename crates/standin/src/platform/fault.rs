//! What a test orders to go wrong at the platform.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// One part of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// The table service.
    #[default]
    Tables,
    /// The object store.
    Objects,
    /// Instance list and notices.
    Instances,
    /// Starting and stopping of instances, prices.
    Cloud,
}

impl Part {
    /// Which part serves a path.
    pub fn of(path: &str) -> Option<Part> {
        let first = path.split('/').nth(1)?;
        match first {
            "tables" | "transact" => Some(Part::Tables),
            "objects" => Some(Part::Objects),
            "instances" | "notices" => Some(Part::Instances),
            "cloud" => Some(Part::Cloud),
            _ => None,
        }
    }
}

/// The fault of one part; it stands until another takes its place.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Which part.
    pub part: Part,
    /// Delay before a call takes effect, milliseconds.
    pub delay_ms: u64,
    /// Delay after the effect and before the answer, milliseconds.
    pub answer_delay_ms: u64,
    /// Every call is answered with 503 and has no effect.
    pub down: bool,
    /// Every connection is cut before the call has an effect.
    pub cut: bool,
    /// So many transactions take effect and lose their answer.
    pub lose_answers: u32,
    /// Only transactions that write to this table lose their answer; empty for any.
    pub lose_table: SmolStr,
    /// The instance list shows the state of so long ago, milliseconds.
    pub lag_ms: u64,
    /// No instance is started.
    pub refuse_start: bool,
}

/// The faults that stand.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    standing: Vec<Fault>,
}

impl Faults {
    /// Takes the place of the part's standing fault.
    pub fn set(&mut self, fault: Fault) {
        self.standing.retain(|standing| standing.part != fault.part);
        self.standing.push(fault);
    }

    /// The part's standing fault; the default one does nothing.
    pub fn get(&self, part: Part) -> Fault {
        let standing = self.standing.iter().find(|fault| fault.part == part);
        standing.cloned().unwrap_or_default()
    }

    /// Whether the answer to a transaction that writes these tables is to be lost; counts it.
    pub fn takes_answer<'a>(&mut self, mut tables: impl Iterator<Item = &'a SmolStr>) -> bool {
        let standing = &mut self.standing;
        let Some(fault) = standing.iter_mut().find(|fault| fault.part == Part::Tables) else {
            return false;
        };
        let chosen = fault.lose_table.is_empty() || tables.any(|table| *table == fault.lose_table);
        if fault.lose_answers == 0 || !chosen {
            return false;
        }
        fault.lose_answers -= 1;
        true
    }
}

/// Calls of the table service so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Rows read singly or by scan.
    pub reads: u64,
    /// Transactions, committed or not.
    pub transactions: u64,
    /// Rows written by committed transactions.
    pub rows_written: u64,
    /// Answers lost on order.
    pub answers_lost: u64,
}
