//! Command that shows the change history.

use argh::FromArgs;
use ops::Reply;
use ops::Request;

use crate::exit::Error;
use crate::exit::Exit;
use crate::output;
use crate::session::Session;
use crate::session::unexpected_reply;

/// Shows past changes of the configuration, newest first.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "history",
    example = "{command_name}",
    example = "{command_name} --before 120 --limit 20"
)]
pub struct History {
    /// only versions below this one
    #[argh(option, arg_name = "version")]
    pub before: Option<u64>,
    /// most changes to show (50)
    #[argh(option, default = "50")]
    pub limit: usize,
}

impl History {
    /// Shows the changes.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let request = Request::GetHistory {
            before: self.before,
            limit: self.limit,
        };
        match session.call(request).await? {
            Reply::History(changes) => output::history::write(session, &changes),
            _ => Err(unexpected_reply()),
        }
    }
}
