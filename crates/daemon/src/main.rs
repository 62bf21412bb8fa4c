//! `dogwoodspurd`: one entry of dogwoodspur.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use argh::FromArgs;
use signals::runtime::Runtime;

/// One entry of dogwoodspur: serves callers and operators by its settings file.
#[derive(FromArgs)]
struct Arguments {
    /// settings file, JSON with comments
    #[argh(option, default = "PathBuf::from(\"dogwoodspur.jsonc\")")]
    settings: PathBuf,

    /// read and check the settings, then stop
    #[argh(switch)]
    check: bool,

    /// print the effective settings with the origin of each, then stop
    #[argh(switch)]
    print: bool,

    /// explain one option, such as peers.fan_out, then stop
    #[argh(option)]
    explain: Option<String>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if let Some(option) = &arguments.explain {
        return explain(&arguments.settings, option);
    }
    if arguments.check || arguments.print {
        return show(&arguments);
    }
    match serve(&arguments.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Serves until the entry is stopped. Signals are handled before the settings are read.
fn serve(path: &Path) -> Result<()> {
    let runtime = Runtime::start().context("can't handle signals")?;
    daemon::run(runtime, path)
}

/// Checks the settings, and prints them on request.
fn show(arguments: &Arguments) -> ExitCode {
    match settings::load::read_strict(&arguments.settings) {
        Ok(loaded) if arguments.print => {
            print!("{}", settings::print::effective(&loaded));
            ExitCode::SUCCESS
        }
        Ok(_) => {
            println!("{}: valid", arguments.settings.display());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            eprintln!("{faults}");
            ExitCode::FAILURE
        }
    }
}

/// Explains one option, including its value if the settings file is valid.
fn explain(path: &Path, option: &str) -> ExitCode {
    let loaded = settings::read(path).ok();
    match settings::explain::explain(option, loaded.as_ref()) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}
