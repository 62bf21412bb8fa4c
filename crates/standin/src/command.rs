//! The command line of `standin`.

use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use signals::runtime::Runtime;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::command::caller::Caller;
use crate::command::component::Engine;
use crate::command::component::Platform;
use crate::command::component::Service;
use crate::command::installation::Demo;
use crate::command::installation::Sample;

mod caller;
mod component;
mod installation;

/// Small fakes of the outside systems.
#[derive(FromArgs)]
pub struct Standin {
    #[argh(subcommand)]
    subcommand: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Platform(Platform),
    Engine(Engine),
    Service(Service),
    Entry(Entry),
    Operator(Operator),
    Caller(Caller),
    Demo(Demo),
    Sample(Sample),
}

/// Runs an entry, as `dogwoodspurd` does.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
struct Entry {
    /// path of its settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Runs the operators' command, as `dogwoodspur` does.
#[derive(FromArgs)]
#[argh(subcommand, name = "operator")]
struct Operator {
    /// arguments of that command
    #[argh(positional, greedy)]
    arguments: Vec<String>,
}

/// Runs the selected subcommand.
pub fn run(arguments: Standin) -> anyhow::Result<ExitCode> {
    match arguments.subcommand {
        Subcommand::Platform(platform) => block_on(component::run_platform(platform)),
        Subcommand::Engine(engine) => block_on(component::run_engine(engine)),
        Subcommand::Service(service) => block_on(component::run_service(service)),
        Subcommand::Entry(entry) => {
            daemon::run(Runtime::start()?, &entry.settings)?;
            Ok(ExitCode::SUCCESS)
        }
        Subcommand::Operator(operator) => Ok(run_operator(&operator)),
        Subcommand::Caller(caller) => block_on(caller::run_caller(caller)),
        Subcommand::Demo(Demo {}) => block_on(installation::run_demo()),
        Subcommand::Sample(sample) => block_on(installation::run_sample(sample)),
    }
}

fn run_operator(operator: &Operator) -> ExitCode {
    let arguments: Vec<&str> = operator.arguments.iter().map(String::as_str).collect();
    let code = cli::run(&arguments);
    ExitCode::from(u8::try_from(code).unwrap_or(u8::MAX))
}

/// Waits forever: a component runs until its process is killed.
async fn run_until_killed() -> anyhow::Result<ExitCode> {
    std::future::pending().await
}

fn block_on<F>(future: F) -> anyhow::Result<ExitCode>
where
    F: Future<Output = anyhow::Result<ExitCode>>,
{
    env_logger::init();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, future)
}
