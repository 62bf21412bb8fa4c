//! Output for the trace of one request.

use ops::reply::Explanation;
use verdict::Verdict;

use crate::exit::Error;
use crate::exit::Exit;
use crate::output::table;
use crate::output::table::row;
use crate::session::Session;

/// Writes the trace of a request.
pub fn write(session: &mut Session<'_>, explanation: &Explanation) -> Result<Exit, Error> {
    if session.json {
        session.write_json(explanation)?;
        return Ok(Exit::Done);
    }
    writeln!(
        session.out,
        "request {} of account {} to deployment {}: {}\n",
        explanation.request,
        explanation.account,
        explanation.deployment,
        explanation.verdict.map_or("open", Verdict::as_str)
    )?;
    let mut rows = vec![row(&["at", "entry", "event", "detail"])];
    for step in &explanation.steps {
        rows.push(vec![
            format!("{} ms", step.at_ms),
            step.entry.to_string(),
            step.event.to_string(),
            step.detail.clone(),
        ]);
    }
    table::write(session.out, &rows)?;
    Ok(Exit::Done)
}
