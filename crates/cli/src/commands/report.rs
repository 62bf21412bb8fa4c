//! The service-level burn report.

use argh::FromArgs;
use ops::Reply;
use ops::Request;

use crate::exit::Error;
use crate::exit::Exit;
use crate::output;
use crate::session::Session;
use crate::session::unexpected_reply;

/// Shows for each deployment and account the share within its targets, the error budget and the cost.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "report",
    note = "PAGE: over both windows, a quarter of the day's error budget goes in an hour. WATCH: a \
tenth does.",
    example = "{command_name}",
    example = "{command_name} --deployment thesis --json",
    example = "{command_name} --html burn.html"
)]
pub struct Report {
    /// only this deployment
    #[argh(option, arg_name = "name")]
    pub deployment: Option<String>,
    /// writes a page with plots into this file
    #[argh(option, arg_name = "file")]
    pub html: Option<String>,
}

impl Report {
    /// Shows it.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let deployment = self.deployment.map(Into::into);
        match session.call(Request::Report { deployment }).await? {
            Reply::Report(report) => output::report::write(session, &report, self.html.as_deref()),
            _ => Err(unexpected_reply()),
        }
    }
}
