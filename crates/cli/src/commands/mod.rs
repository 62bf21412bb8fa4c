//! One module per command or family of commands.

pub mod account;
pub mod deployment;
pub mod drain;
pub mod explain;
pub mod history;
pub mod report;
pub mod status;

use crate::arguments::Command;
use crate::exit::Error;
use crate::exit::Exit;
use crate::session::Session;

/// Runs a command.
pub async fn run(command: Command, session: &mut Session<'_>) -> Result<Exit, Error> {
    match command {
        Command::Create(create) => create.run(session).await,
        Command::Change(change) => change.run(session).await,
        Command::Show(show) => show.run(session).await,
        Command::List(list) => list.run(session).await,
        Command::Remove(remove) => remove.run(session).await,
        Command::Account(account) => account.run(session).await,
        Command::History(history) => history.run(session).await,
        Command::Status(status) => status.run(session).await,
        Command::Drain(drain) => drain.run(session).await,
        Command::Report(report) => report.run(session).await,
        Command::Explain(explain) => explain.run(session).await,
    }
}
