//! Cells that tests of the `standin` crate also cover with real processes on real sockets.

use crate::cell::Step;
use crate::cell::Trouble;

/// Step, fault and `file::test` in `crates/standin/tests/`.
pub const TESTS: &[(Step, Trouble, &str)] = &[
    (
        Step::Streaming,
        Trouble::KillEntry,
        "failures_entry::killed_entry_in_mid_stream",
    ),
    (
        Step::PlainRuns,
        Trouble::KillEntry,
        "failures_entry::killed_entry_before_the_answer_of_a_non_idempotent_call",
    ),
    (
        Step::LeaveByTicket,
        Trouble::KillEntry,
        "failures_tickets::killed_entry_takes_its_tickets_along",
    ),
    (
        Step::LedgerHandover,
        Trouble::StopEntry,
        "failures_tickets::stopped_entry_hands_its_tickets_on",
    ),
    (
        Step::Streaming,
        Trouble::ReclaimInstance,
        "failures_backend::reclaimed_engine_in_mid_stream",
    ),
    (
        Step::Moved,
        Trouble::ReclaimInstance,
        "failures_backend::reclaimed_engine_without_transfer",
    ),
    (
        Step::Streaming,
        Trouble::ReclaimZone,
        "failures_backend::reclaimed_zone_in_mid_stream",
    ),
    (
        Step::Streaming,
        Trouble::KillBackend,
        "failures_backend::killed_engine_in_mid_stream",
    ),
    (
        Step::Streaming,
        Trouble::CutEngines,
        "failures_backend::cut_connection_to_an_engine",
    ),
    (
        Step::InstanceLeave,
        Trouble::ReclaimInstance,
        "failures_backend::leaving_engine_gets_no_new_work",
    ),
    (
        Step::PlainRuns,
        Trouble::LostAnswer,
        "failures_backend::lost_answer_of_a_service",
    ),
    (
        Step::ConfigApply,
        Trouble::LeaseLapsed,
        "failures_config::frozen_entry_through_a_change",
    ),
    (
        Step::ConfigApply,
        Trouble::StoreDown,
        "failures_config::entry_started_in_an_outage",
    ),
    (
        Step::ConfigCommit,
        Trouble::OperatorsRace,
        "failures_config::operators_racing",
    ),
    (
        Step::ConfigCommit,
        Trouble::LostAnswer,
        "failures_config::lost_answer_of_the_store_on_a_change",
    ),
    (
        Step::Drain,
        Trouble::StopEntry,
        "failures_rolling::rolling_replacement_under_load",
    ),
    (
        Step::Streaming,
        Trouble::StopEntry,
        "failures_rolling::stopped_entry_passes_long_streams_on",
    ),
    (
        Step::LeaveByRow,
        Trouble::LostAnswer,
        "failures_store::lost_answer_of_the_store_on_a_non_idempotent_call",
    ),
    (
        Step::Streaming,
        Trouble::StoreDown,
        "failures_store::store_outage",
    ),
    (
        Step::LeaseRenewal,
        Trouble::StoreDown,
        "failures_store::store_outage_past_the_leases",
    ),
];

/// Returns whether a test with real processes covers a cell.
pub fn has_test(step: Step, trouble: Trouble) -> bool {
    TESTS.iter().any(|(covered_step, covered_trouble, _)| {
        *covered_step == step && *covered_trouble == trouble
    })
}
