//! Command that shows the burn report.

use argh::FromArgs;
use ops::Reply;
use ops::Request;

use crate::exit::Error;
use crate::exit::Exit;
use crate::output;
use crate::session::Session;
use crate::session::unexpected_reply;

/// Shows the share within targets, the error budget and the cost for each deployment and account.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "report",
    note = "PAGE: both windows burn a quarter of the day's error budget per hour or more. WATCH: a \
tenth.",
    example = "{command_name}",
    example = "{command_name} --deployment thesis --json",
    example = "{command_name} --html burn.html"
)]
pub struct Report {
    /// restrict the report to this deployment
    #[argh(option, arg_name = "name")]
    pub deployment: Option<String>,
    /// write a page with plots to this file
    #[argh(option, arg_name = "file")]
    pub html: Option<String>,
}

impl Report {
    /// Shows the report.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let deployment = self.deployment.map(Into::into);
        match session.call(Request::Report { deployment }).await? {
            Reply::Report(report) => output::report::write(session, &report, self.html.as_deref()),
            _ => Err(unexpected_reply()),
        }
    }
}
