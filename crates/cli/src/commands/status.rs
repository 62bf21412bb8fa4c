//! How things stand.

use argh::FromArgs;
use ops::Reply;
use ops::Request;

use crate::exit::Error;
use crate::exit::Exit;
use crate::output;
use crate::session::Session;
use crate::session::unexpected_reply;

/// Shows each entry with its version and lease, and the backend servers, as the asked entry knows them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status", example = "{command_name}")]
pub struct Status {}

impl Status {
    /// Shows it.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        match session.call(Request::GetStatus).await? {
            Reply::Status(status) => output::status::write(session, &status),
            _ => Err(unexpected_reply()),
        }
    }
}
