//! Output for the status of the system.

use ops::reply::BackendState;
use ops::reply::LeaseState;
use ops::reply::Status;

use crate::exit::Error;
use crate::exit::Exit;
use crate::output::table;
use crate::output::table::row;
use crate::session::Session;

/// Writes the status of entries and backend servers.
pub fn write(session: &mut Session<'_>, status: &Status) -> Result<Exit, Error> {
    if session.json {
        session.write_json(status)?;
        return Ok(Exit::Done);
    }
    let store = if status.store_available {
        "available"
    } else {
        "down"
    };
    writeln!(
        session.out,
        "asked {}: version {}, store {store}\n",
        status.entry, status.version
    )?;
    let mut entries = vec![row(&[
        "entry", "zone", "address", "version", "lease", "release",
    ])];
    for entry in &status.entries {
        entries.push(vec![
            entry.name.to_string(),
            entry.zone.to_string(),
            entry.address.to_string(),
            entry.applied_version.to_string(),
            lease_name(entry.lease).to_owned(),
            entry.release.to_string(),
        ]);
    }
    table::write(session.out, &entries)?;
    writeln!(session.out)?;
    let mut backends = vec![row(&["backend server", "pool", "zone", "state", "running"])];
    for backend in &status.backends {
        backends.push(vec![
            backend.incarnation.to_string(),
            backend.pool.to_string(),
            backend.zone.to_string(),
            state_name(backend.state).to_owned(),
            backend.running.to_string(),
        ]);
    }
    table::write(session.out, &backends)?;
    Ok(Exit::Done)
}

/// Returns the name of a lease state.
fn lease_name(state: LeaseState) -> &'static str {
    match state {
        LeaseState::Held => "held",
        LeaseState::Overdue => "overdue",
        LeaseState::Lapsed => "lapsed",
        LeaseState::Leaving => "leaving",
    }
}

/// Returns the name of a backend server's state.
fn state_name(state: BackendState) -> &'static str {
    match state {
        BackendState::Live => "live",
        BackendState::Leaving => "leaving",
        BackendState::Ejected => "ejected",
        BackendState::Loading => "loading",
    }
}
