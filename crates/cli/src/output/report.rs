//! Output for the burn report.

use std::fs;

use burn::Report;

use crate::exit::Error;
use crate::exit::Exit;
use crate::session::Session;

/// Writes the report as JSON, as text, or as an HTML page to a file.
pub fn write(
    session: &mut Session<'_>,
    report: &Report,
    page: Option<&str>,
) -> Result<Exit, Error> {
    if let Some(file) = page {
        fs::write(file, report.to_html())
            .map_err(|error| Error::new(Exit::Failed, format!("{file}: {error}")))?;
    }
    if session.json {
        session.write_json(report)?;
    } else if let Some(file) = page {
        writeln!(session.out, "written to {file}")?;
    } else {
        write!(session.out, "{}", report.to_text())?;
    }
    Ok(Exit::Done)
}
