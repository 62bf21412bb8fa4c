//! Conversion of the system status.

use crate::reply::BackendState;
use crate::reply::BackendStatus;
use crate::reply::EntryStatus;
use crate::reply::LeaseState;
use crate::reply::Status;
use crate::wire;

/// Encodes the system status.
pub fn encode_status(status: Status) -> wire::GetStatusResult {
    wire::GetStatusResult {
        entry: status.entry.into(),
        version: status.version,
        store_available: status.store_available,
        entries: status.entries.into_iter().map(encode_entry).collect(),
        backends: status.backends.into_iter().map(encode_backend).collect(),
    }
}

/// Encodes the status of an entry.
fn encode_entry(entry: EntryStatus) -> wire::EntryStatus {
    let lease = match entry.lease {
        LeaseState::Held => wire::LeaseState::Held,
        LeaseState::Overdue => wire::LeaseState::Overdue,
        LeaseState::Lapsed => wire::LeaseState::Lapsed,
        LeaseState::Leaving => wire::LeaseState::Leaving,
    };
    wire::EntryStatus {
        name: entry.name.into(),
        zone: entry.zone.into(),
        address: entry.address.into(),
        applied_version: entry.applied_version,
        lease: lease.into(),
        release: entry.release.into(),
    }
}

/// Encodes the status of a backend server.
fn encode_backend(backend: BackendStatus) -> wire::BackendStatus {
    let state = match backend.state {
        BackendState::Live => wire::BackendState::Live,
        BackendState::Leaving => wire::BackendState::Leaving,
        BackendState::Ejected => wire::BackendState::Ejected,
        BackendState::Loading => wire::BackendState::Loading,
    };
    wire::BackendStatus {
        incarnation: backend.incarnation.into(),
        pool: backend.pool.into(),
        zone: backend.zone.into(),
        state: state.into(),
        running: backend.running,
    }
}

/// Decodes the system status.
pub fn decode_status(message: wire::GetStatusResult) -> Status {
    Status {
        entry: message.entry.into(),
        version: message.version,
        store_available: message.store_available,
        entries: message.entries.into_iter().map(decode_entry).collect(),
        backends: message.backends.into_iter().map(decode_backend).collect(),
    }
}

/// Decodes the status of an entry; an unknown lease state counts as lapsed.
fn decode_entry(entry: wire::EntryStatus) -> EntryStatus {
    let lease = match entry.lease() {
        wire::LeaseState::Held => LeaseState::Held,
        wire::LeaseState::Overdue => LeaseState::Overdue,
        wire::LeaseState::Leaving => LeaseState::Leaving,
        wire::LeaseState::Lapsed | wire::LeaseState::Unspecified => LeaseState::Lapsed,
    };
    EntryStatus {
        name: entry.name.into(),
        zone: entry.zone.into(),
        address: entry.address.into(),
        applied_version: entry.applied_version,
        lease,
        release: entry.release.into(),
    }
}

/// Decodes the status of a backend server; an unknown state counts as leaving, which gets no work.
fn decode_backend(backend: wire::BackendStatus) -> BackendStatus {
    let state = match backend.state() {
        wire::BackendState::Live => BackendState::Live,
        wire::BackendState::Ejected => BackendState::Ejected,
        wire::BackendState::Loading => BackendState::Loading,
        wire::BackendState::Leaving | wire::BackendState::Unspecified => BackendState::Leaving,
    };
    BackendStatus {
        incarnation: backend.incarnation.into(),
        pool: backend.pool.into(),
        zone: backend.zone.into(),
        state,
        running: backend.running,
    }
}
