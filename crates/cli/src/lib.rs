//! The operators' command line, `dogwoodspur`.
//!
//! It talks to the system over gRPC only and keeps no state. [`run`] is the whole program; [`execute`]
//! is the same for embedders that bring their own runtime and writers.

pub mod arguments;
pub mod commands;
pub mod definition;
pub mod exit;
pub mod output;
pub mod session;

use std::env;
use std::io::Write;

use argh::FromArgs;

use crate::arguments::Arguments;
use crate::arguments::hoist_global_options;
use crate::exit::Exit;
use crate::session::Access;
use crate::session::Session;

/// Name of the command in its help.
const COMMAND: &str = "dogwoodspur";

/// Runs the command on the standard streams and returns its exit code.
pub fn run(arguments: &[&str]) -> i32 {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{COMMAND}: {error}");
            return Exit::Failed.code();
        }
    };
    let access = Access {
        entry: env::var("DOGWOODSPUR_ENTRY").ok(),
        key: env::var("DOGWOODSPUR_KEY").ok(),
    };
    let mut out = std::io::stdout();
    let mut err = std::io::stderr();
    let exit = runtime.block_on(execute(arguments, access, &mut out, &mut err));
    exit.code()
}

/// Runs the command; `access` holds the defaults for the options `--entry` and `--key-file`.
pub async fn execute(
    arguments: &[&str],
    access: Access,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Exit {
    let arguments = hoist_global_options(arguments);
    let arguments = match Arguments::from_args(&[COMMAND], &arguments) {
        Ok(arguments) => arguments,
        Err(early) => return exit_early(early, out, err),
    };
    let result = match Session::new(&arguments, access, out) {
        Ok(mut session) => commands::run(arguments.command, &mut session).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(exit) => exit,
        Err(error) => {
            let _ = writeln!(err, "{COMMAND}: {}", error.message);
            error.exit
        }
    }
}

/// Prints the requested help, or the error in the arguments.
fn exit_early(early: argh::EarlyExit, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    match early.status {
        Ok(()) => {
            let _ = writeln!(out, "{}", early.output.trim_end());
            Exit::Done
        }
        Err(()) => {
            let _ = writeln!(err, "{}", early.output.trim_end());
            Exit::Usage
        }
    }
}
