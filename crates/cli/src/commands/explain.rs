//! The life of one request.

use argh::FromArgs;
use ops::Reply;
use ops::Request;

use crate::exit::Exit;
use crate::exit::Trouble;
use crate::output;
use crate::session::Session;
use crate::session::mismatch;

/// Shows where a request waited, went and moved, and why.
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
    /// Shows it.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Trouble> {
        let request = self.request.into();
        match session.ask(Request::Explain { request }).await? {
            Reply::Explained(explanation) => output::explanation::write(session, &explanation),
            _ => Err(mismatch()),
        }
    }
}
