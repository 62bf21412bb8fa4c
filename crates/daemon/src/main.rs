//! `dogwoodspurd`: one entry of dogwoodspur.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

/// One entry of dogwoodspur: serves callers and operators by its settings file.
#[derive(FromArgs)]
struct Arguments {
    /// settings file, JSON with comments
    #[argh(option, default = "PathBuf::from(\"dogwoodspur.jsonc\")")]
    settings: PathBuf,

    /// read and check the settings, then stop
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.check {
        return check(&arguments.settings);
    }
    match daemon::run(&arguments.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads and checks the settings.
fn check(path: &std::path::Path) -> ExitCode {
    match settings::read(path) {
        Ok(loaded) if loaded.warnings.0.is_empty() => {
            println!("{}: sound", path.display());
            ExitCode::SUCCESS
        }
        Ok(loaded) => {
            eprintln!("{}", loaded.warnings);
            ExitCode::FAILURE
        }
        Err(faults) => {
            eprintln!("{faults}");
            ExitCode::FAILURE
        }
    }
}
