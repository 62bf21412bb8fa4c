//! How things stand.

use crate::reply::BackendState;
use crate::reply::BackendStatus;
use crate::reply::EntryStatus;
use crate::reply::LeaseState;
use crate::reply::Status;
use crate::wire;

/// Writes how things stand.
pub fn status_to(status: Status) -> wire::GetStatusResult {
    wire::GetStatusResult {
        entry: status.entry.into(),
        version: status.version,
        store_available: status.store_available,
        entries: status.entries.into_iter().map(entry_to).collect(),
        backends: status.backends.into_iter().map(backend_to).collect(),
    }
}

/// Writes how an entry stands.
fn entry_to(entry: EntryStatus) -> wire::EntryStatus {
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

/// Writes how a backend server stands.
fn backend_to(backend: BackendStatus) -> wire::BackendStatus {
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
