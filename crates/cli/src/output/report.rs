//! The burn report.

use burn::Report;

use crate::exit::Exit;
use crate::exit::Trouble;
use crate::session::Session;

/// Writes the report.
pub fn write(session: &mut Session<'_>, report: &Report) -> Result<Exit, Trouble> {
    session.write_json(report)?;
    Ok(Exit::Done)
}
