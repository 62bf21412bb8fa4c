//! Faults that a test injects into the platform, and the counters of the table service.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// A part of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// The table service.
    #[default]
    Tables,
    /// The object store.
    Objects,
    /// Instance list and reclaim notices.
    Instances,
    /// API that starts and stops instances and lists prices.
    Cloud,
}

impl Part {
    /// Returns the part that serves a path.
    pub fn from_path(path: &str) -> Option<Part> {
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

/// Fault of one part, active until it is replaced.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Part that the fault affects.
    pub part: Part,
    /// Delay before a call takes effect, milliseconds.
    pub delay_ms: u64,
    /// Delay after the effect and before the answer, milliseconds.
    pub answer_delay_ms: u64,
    /// Answers every call with 503, without an effect.
    pub down: bool,
    /// Cuts every connection before the call has an effect.
    pub cut: bool,
    /// Number of transactions that take effect but lose their response.
    pub lose_answers: u32,
    /// Restricts `lose_answers` to transactions that write to this table; empty for any table.
    pub lose_table: SmolStr,
    /// Age of the listed instance states, milliseconds.
    pub lag_ms: u64,
    /// Refuses to start instances.
    pub refuse_start: bool,
}

/// Active faults, at most one for each part.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    active: Vec<Fault>,
}

impl Faults {
    /// Replaces the fault of its part.
    pub fn set(&mut self, fault: Fault) {
        self.active.retain(|active| active.part != fault.part);
        self.active.push(fault);
    }

    /// Returns the active fault of a part, or the default, which has no effect.
    pub fn get(&self, part: Part) -> Fault {
        let active = self.active.iter().find(|fault| fault.part == part);
        active.cloned().unwrap_or_default()
    }

    /// Returns whether to lose the response to a transaction that writes these tables, and counts it.
    pub fn take_lost_answer<'a>(&mut self, mut tables: impl Iterator<Item = &'a SmolStr>) -> bool {
        let active = &mut self.active;
        let Some(fault) = active.iter_mut().find(|fault| fault.part == Part::Tables) else {
            return false;
        };
        let affected =
            fault.lose_table.is_empty() || tables.any(|table| *table == fault.lose_table);
        if fault.lose_answers == 0 || !affected {
            return false;
        }
        fault.lose_answers -= 1;
        true
    }
}

/// Counters of the table service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Single reads and scans.
    pub reads: u64,
    /// Transactions, committed or not.
    pub transactions: u64,
    /// Rows written by committed transactions.
    pub rows_written: u64,
    /// Responses lost on order.
    pub answers_lost: u64,
}
