//! Output for the outcome of a change.

use ops::reply::Changed;
use ops::reply::Difference;
use serde::Serialize;

use crate::exit::Error;
use crate::exit::Exit;
use crate::session::Session;

/// JSON output, with the new key if there is one.
#[derive(Serialize)]
struct Answer<'a> {
    #[serde(flatten)]
    changed: &'a Changed,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
}

/// Writes the outcome.
pub fn write(session: &mut Session<'_>, changed: &Changed) -> Result<Exit, Error> {
    write_result(session, changed, None)
}

/// Writes the outcome and, if the change took effect, the new key, which can't be shown again.
pub fn write_with_key(
    session: &mut Session<'_>,
    changed: &Changed,
    key: &str,
) -> Result<Exit, Error> {
    let took_effect = !matches!(changed, Changed::Conflict { .. });
    write_result(session, changed, took_effect.then_some(key))
}

/// Writes the outcome and an optional key as JSON or text.
fn write_result(
    session: &mut Session<'_>,
    changed: &Changed,
    key: Option<&str>,
) -> Result<Exit, Error> {
    if session.json {
        session.write_json(&Answer { changed, key })?;
        return Ok(exit_code(changed));
    }
    write_text(session, changed)?;
    if let Some(key) = key {
        writeln!(session.out, "key (shown only now): {key}")?;
    }
    Ok(exit_code(changed))
}

/// Writes the outcome as text.
fn write_text(session: &mut Session<'_>, changed: &Changed) -> Result<(), Error> {
    match changed {
        Changed::Accepted { version } => {
            writeln!(
                session.out,
                "accepted: version {version} is in force everywhere"
            )?;
        }
        Changed::Committed {
            version,
            waiting_for,
        } => {
            let waiting_for = waiting_for.join(", ");
            let line = format!("committed: version {version}, waiting for {waiting_for}");
            writeln!(session.out, "{line}")?;
        }
        Changed::Conflict {
            version,
            differences,
        } => {
            let line = "conflict: nothing was changed; another change came first";
            writeln!(session.out, "{line}, and version {version} is the newest:")?;
            for difference in differences {
                writeln!(session.out, "  {}", format_difference(difference))?;
            }
        }
    }
    Ok(())
}

/// Formats a difference as one line.
fn format_difference(difference: &Difference) -> String {
    let subject = [difference.subject.as_str(), &difference.field].join(" ");
    let subject = subject.trim_end();
    match (difference.before.as_str(), difference.after.as_str()) {
        (_, "") => format!("{subject}: removed"),
        ("", after) => format!("{subject}: now {after}"),
        (before, after) => format!("{subject}: {before} -> {after}"),
    }
}

/// Returns the exit code for an outcome.
fn exit_code(changed: &Changed) -> Exit {
    match changed {
        Changed::Accepted { .. } => Exit::Done,
        Changed::Committed { .. } => Exit::Committed,
        Changed::Conflict { .. } => Exit::Conflict,
    }
}
