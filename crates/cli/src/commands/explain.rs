//! Command that shows the trace of one request.

use argh::FromArgs;
use ops::Reply;
use ops::Request;

use crate::exit::Error;
use crate::exit::Exit;
use crate::output;
use crate::session::Session;
use crate::session::unexpected_reply;

/// Shows where a request was queued, ran and moved to, and why.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    note = "The id is in the answer header x-dogwoodspur-request and in the log.",
    example = "{command_name} entry-1.42"
)]
pub struct Explain {
    /// id of the request
    #[argh(positional)]
    pub request: String,
}

impl Explain {
    /// Shows the trace.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let request = self.request.into();
        match session.call(Request::Explain { request }).await? {
            Reply::Explained(explanation) => output::explanation::write(session, &explanation),
            _ => Err(unexpected_reply()),
        }
    }
}
