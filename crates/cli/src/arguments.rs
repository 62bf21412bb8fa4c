//! The command line.

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

/// Drives dogwoodspur: deployments, accounts, status and reports.
///
/// The options here may stand before or after the command.
#[derive(Debug, FromArgs)]
#[argh(
    note = "The operators' key is read from --key-file or the variable DOGWOODSPUR_KEY; the entry is \
named by --entry or DOGWOODSPUR_ENTRY.",
    example = "Create a deployment and look at it:\n\
export DOGWOODSPUR_ENTRY=http://127.0.0.1:8002\n\
{command_name} --key-file operators.key create thesis.jsonc\n\
{command_name} --key-file operators.key show thesis",
    example = "Change it: what show prints as JSON names the version that the change is based on:\n\
{command_name} show thesis --json > thesis.json\n\
{command_name} change thesis.json",
    error_code(1, "A failure that no other code names."),
    error_code(2, "The command line or a definition is malformed; nothing happened."),
    error_code(
        3,
        "The change is written and never reverts, but isn't in force everywhere yet."
    ),
    error_code(4, "Another change came first; this one did not take effect."),
    error_code(5, "No such deployment, account, entry, backend server or request."),
    error_code(6, "The change contradicts the configuration; nothing happened."),
    error_code(7, "The operators' key is missing or wrong."),
    error_code(8, "The entry can't be reached or can't do it now; nothing happened."),
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
    /// answers as JSON for programs
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
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
    /// Works on accounts.
    Account(Account),
    /// Shows past changes.
    History(History),
    /// Shows how entries and backend servers stand.
    Status(Status),
    /// Takes an entry or a backend server out of use.
    Drain(Drain),
    /// Shows the service-level burn report.
    Report(Report),
    /// Shows the life of one request.
    Explain(Explain),
}

/// What every change may be given.
#[derive(Clone, Debug, Default)]
pub struct ChangeOptions {
    /// Version on which the change is based.
    pub expect: Option<u64>,
    /// Name of the change.
    pub change_id: Option<String>,
    /// Longest wait for it to be in force everywhere.
    pub wait_ms: Option<u64>,
}

/// Moves the options of the whole command to the front, so that they may stand anywhere.
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
