//! `standin`: the parts as processes of their own, and the demo.

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
