//! The `standin` binary: runs each component as its own process, or the demo.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: command::Standin = argh::from_env();
    match command::run(arguments) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

mod command;
