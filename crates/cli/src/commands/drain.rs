//! Command that drains an entry or a backend server.

use argh::FromArgs;
use ops::Reply;
use ops::Request;
use ops::request::Target;
use serde::Serialize;

use crate::exit::Error;
use crate::exit::Exit;
use crate::session::Session;
use crate::session::unexpected_reply;

/// Drains an entry or a backend server; requests in progress finish or move.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    note = "Draining is idempotent; status shows the progress.",
    example = "{command_name} --entry-name entry-3",
    example = "{command_name} --backend i-1.1"
)]
pub struct Drain {
    /// name of an entry
    #[argh(option, arg_name = "name")]
    pub entry_name: Option<String>,
    /// incarnation of a backend server, as status shows it
    #[argh(option, arg_name = "incarnation")]
    pub backend: Option<String>,
}

/// JSON output.
#[derive(Serialize)]
struct Answer {
    already_leaving: bool,
    running: u32,
}

impl Drain {
    /// Starts the drain.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let target = match (self.entry_name, self.backend) {
            (Some(name), None) => Target::Entry(name.into()),
            (None, Some(incarnation)) => Target::Backend(incarnation.into()),
            _ => {
                let message = "give either --entry-name or --backend";
                return Err(Error::new(Exit::Usage, message));
            }
        };
        let Reply::Drained {
            already_leaving,
            running,
        } = session.call(Request::Drain(target)).await?
        else {
            return Err(unexpected_reply());
        };
        if session.json {
            session.write_json(&Answer {
                already_leaving,
                running,
            })?;
            return Ok(Exit::Done);
        }
        let state = if already_leaving {
            "already leaving"
        } else {
            "leaving"
        };
        writeln!(session.out, "{state}, {running} requests in progress")?;
        Ok(Exit::Done)
    }
}
