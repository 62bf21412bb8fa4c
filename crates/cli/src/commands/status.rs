//! Command that shows the status of the system.

use argh::FromArgs;
use ops::Reply;
use ops::Request;

use crate::exit::Error;
use crate::exit::Exit;
use crate::output;
use crate::session::Session;
use crate::session::unexpected_reply;

/// Shows the version and lease of each entry, and the backend servers, as the entry asked knows them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status", example = "{command_name}")]
pub struct Status {}

impl Status {
    /// Shows the status.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        match session.call(Request::GetStatus).await? {
            Reply::Status(status) => output::status::write(session, &status),
            _ => Err(unexpected_reply()),
        }
    }
}
