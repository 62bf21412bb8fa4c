//! Output for the change history.

use ops::reply::PastChange;

use crate::exit::Error;
use crate::exit::Exit;
use crate::output::table;
use crate::output::table::row;
use crate::session::Session;

/// Writes past changes.
pub fn write(session: &mut Session<'_>, changes: &[PastChange]) -> Result<Exit, Error> {
    if session.json {
        session.write_json(&changes)?;
        return Ok(Exit::Done);
    }
    let mut rows = vec![row(&[
        "version",
        "written (unix ms)",
        "change",
        "change id",
    ])];
    for change in changes {
        rows.push(vec![
            change.version.to_string(),
            change.written_unix_ms.to_string(),
            change.summary.clone(),
            change.change_id.to_string(),
        ]);
    }
    table::write(session.out, &rows)?;
    Ok(Exit::Done)
}
