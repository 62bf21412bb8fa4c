//! Command-line arguments.

use argh::FromArgs;

use crate::commands::account::Account;
use crate::commands::deployment::Change;
use crate::commands::deployment::Create;
use crate::commands::deployment::List;
use crate::commands::deployment::Remove;
use crate::commands::deployment::Show;
use crate::commands::drain::Drain;
use crate::commands::explain::Explain;
use crate::commands::history::History;
use crate::commands::report::Report;
use crate::commands::status::Status;

/// Manages dogwoodspur: deployments, accounts, status and reports.
///
/// The global options may stand before or after the command.
#[derive(Debug, FromArgs)]
#[argh(
    note = "The operators' key is read from --key-file or the variable DOGWOODSPUR_KEY; the entry is \
named by --entry or DOGWOODSPUR_ENTRY.",
    example = "Create a deployment and show it:\n\
export DOGWOODSPUR_ENTRY=http://127.0.0.1:8002\n\
{command_name} --key-file operators.key create thesis.jsonc\n\
{command_name} --key-file operators.key show thesis",
    example = "Change it; the JSON printed by show holds the version that the change is based on:\n\
{command_name} show thesis --json > thesis.json\n\
{command_name} change thesis.json",
    error_code(1, "Any other failure."),
    error_code(
        2,
        "The command line or a definition is malformed; nothing was changed."
    ),
    error_code(
        3,
        "The change is committed and never reverts, but isn't in force everywhere yet."
    ),
    error_code(4, "A concurrent change came first; this one did not take effect."),
    error_code(5, "No such deployment, account, entry, backend server or request."),
    error_code(6, "The change contradicts the configuration; nothing was changed."),
    error_code(7, "The operators' key is missing or wrong."),
    error_code(
        8,
        "The entry can't be reached or can't serve the call now; nothing was changed."
    ),
    error_code(
        9,
        "The change may have taken effect; repeat it with the same --change-id."
    )
)]
pub struct Arguments {
    /// operators' port of an entry, http://HOST:PORT
    #[argh(option, arg_name = "address")]
    pub entry: Option<String>,
    /// file that holds the operators' key
    #[argh(option, arg_name = "file")]
    pub key_file: Option<String>,
    /// print machine-readable JSON
    #[argh(switch)]
    pub json: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Adds a deployment.
    Create(Create),
    /// Replaces a deployment.
    Change(Change),
    /// Shows a deployment.
    Show(Show),
    /// Lists deployments and accounts.
    List(List),
    /// Removes a deployment.
    Remove(Remove),
    /// Manages accounts.
    Account(Account),
    /// Shows the change history.
    History(History),
    /// Shows the status of entries and backend servers.
    Status(Status),
    /// Drains an entry or a backend server.
    Drain(Drain),
    /// Shows the service-level burn report.
    Report(Report),
    /// Shows the trace of one request.
    Explain(Explain),
}

/// Options that all changes have in common.
#[derive(Clone, Debug, Default)]
pub struct ChangeOptions {
    /// Version on which the change is based.
    pub expect: Option<u64>,
    /// Id of the change.
    pub change_id: Option<String>,
    /// Longest wait until the change is in force everywhere, milliseconds.
    pub wait_ms: Option<u64>,
}

/// Moves global options to the front, because argh accepts them only before the subcommand.
pub fn hoist_global_options<'a>(arguments: &[&'a str]) -> Vec<&'a str> {
    let mut front = Vec::new();
    let mut rest = Vec::new();
    let mut left = arguments.iter().copied();
    while let Some(argument) = left.next() {
        match argument {
            "--json" => front.push(argument),
            "--entry" | "--key-file" => {
                front.push(argument);
                front.extend(left.next());
            }
            "--" => {
                rest.push(argument);
                rest.extend(left.by_ref());
            }
            _ => rest.push(argument),
        }
    }
    front.extend(rest);
    front
}
