//! The command line of `standin`.

use std::future::Future;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use bytes::Bytes;
use client::call::Call;
use client::call::Once;
use http::Method;
use serde_json::json;
use smol_str::SmolStr;
use standin::configs;
use standin::demo;
use standin::engine;
use standin::platform;
use standin::service;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Small fakes of the outside systems.
#[derive(FromArgs)]
pub struct Standin {
    #[argh(subcommand)]
    part: Part,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Part {
    Platform(Platform),
    Engine(Engine),
    Service(Service),
    Entry(Entry),
    Operator(Operator),
    Caller(Caller),
    Demo(Demo),
}

/// Runs the platform: table service, object store, instance list, cloud API.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct Platform {
    /// where to listen
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
}

/// Runs a model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// where to listen
    #[argh(option, default = "configs::engine::Engine::default().listen")]
    listen: String,
    /// sequences run at once
    #[argh(option, default = "configs::engine::Engine::default().slots")]
    slots: usize,
    /// time between two tokens, milliseconds
    #[argh(option, default = "configs::engine::Engine::default().token_ms")]
    token_ms: u64,
    /// time to compute a thousand prompt tokens, milliseconds
    #[argh(option, default = "configs::engine::Engine::default().prefill_ms")]
    prefill_ms: u64,
    /// how late cache events are published, milliseconds
    #[argh(option, default = "configs::engine::Engine::default().event_delay_ms")]
    event_delay_ms: u64,
    /// one in so many cache events is never published
    #[argh(option, default = "configs::engine::Engine::default().event_gap")]
    event_gap: u64,
    /// how old a load report may be, milliseconds
    #[argh(option, default = "configs::engine::Engine::default().load_lag_ms")]
    load_lag_ms: u64,
    /// how long a stream without a reader is kept, milliseconds
    #[argh(
        option,
        default = "configs::engine::Engine::default().resume_window_ms"
    )]
    resume_window_ms: u64,
    /// carry out orders with an old fencing number
    #[argh(switch)]
    ignores_fencing: bool,
}

/// Runs a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct Service {
    /// where to listen
    #[argh(option, default = "configs::service::Service::default().listen")]
    listen: String,
    /// time that a call takes, milliseconds
    #[argh(option, default = "configs::service::Service::default().call_ms")]
    call_ms: u64,
}

/// Runs an entry, as `dogwoodspurd` does.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
struct Entry {
    /// its settings file
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

/// Asks a model one question, or calls a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "caller")]
struct Caller {
    /// address of an entry; may be given several times
    #[argh(option)]
    entry: Vec<String>,
    /// key of the client account
    #[argh(option)]
    key: String,
    /// the deployment
    #[argh(option)]
    deployment: String,
    /// path at the plain service; the deployment is a model without it
    #[argh(option)]
    path: Option<String>,
    /// the plain call must run at most once
    #[argh(switch)]
    once: bool,
    /// the question, or the body of the plain call
    #[argh(positional)]
    text: String,
}

/// Runs the main job with all parts in this process; exit code 0 only if all held.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {}

/// Runs what the arguments name.
pub fn run(arguments: Standin) -> anyhow::Result<ExitCode> {
    match arguments.part {
        Part::Platform(platform) => block_on(run_platform(platform)),
        Part::Engine(engine) => block_on(run_engine(engine)),
        Part::Service(service) => block_on(run_service(service)),
        Part::Entry(entry) => {
            daemon::run(&entry.settings)?;
            Ok(ExitCode::SUCCESS)
        }
        Part::Operator(operator) => Ok(run_operator(&operator)),
        Part::Caller(caller) => block_on(run_caller(caller)),
        Part::Demo(Demo {}) => block_on(run_demo()),
    }
}

async fn run_platform(arguments: Platform) -> anyhow::Result<ExitCode> {
    let platform = platform::spawn(&arguments.listen).await?;
    println!("listening address={}", platform.server.address());
    stay().await
}

async fn run_engine(arguments: Engine) -> anyhow::Result<ExitCode> {
    let config = configs::engine::Engine {
        listen: arguments.listen,
        slots: arguments.slots,
        token_ms: arguments.token_ms,
        prefill_ms: arguments.prefill_ms,
        event_delay_ms: arguments.event_delay_ms,
        event_gap: arguments.event_gap,
        load_lag_ms: arguments.load_lag_ms,
        resume_window_ms: arguments.resume_window_ms,
        checks_fencing: !arguments.ignores_fencing,
        exit_on_crash: true,
        ..configs::engine::Engine::default()
    };
    let engine = engine::spawn(config).await?;
    println!("listening address={}", engine.server.address());
    stay().await
}

async fn run_service(arguments: Service) -> anyhow::Result<ExitCode> {
    let config = configs::service::Service {
        listen: arguments.listen,
        call_ms: arguments.call_ms,
    };
    let service = service::spawn(config).await?;
    println!("listening address={}", service.server.address());
    stay().await
}

async fn run_demo() -> anyhow::Result<ExitCode> {
    let held = demo::run().await?;
    Ok(if held {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn run_operator(operator: &Operator) -> ExitCode {
    let arguments: Vec<&str> = operator.arguments.iter().map(String::as_str).collect();
    let code = cli::run(&arguments);
    ExitCode::from(u8::try_from(code).unwrap_or(u8::MAX))
}

async fn run_caller(caller: Caller) -> anyhow::Result<ExitCode> {
    let client = client::Client::new(client::configs::Client {
        entries: caller.entry.iter().map(SmolStr::from).collect(),
        key: SmolStr::from(&caller.key),
        ..client::configs::Client::default()
    });
    match &caller.path {
        Some(path) => call(&client, &caller, path).await?,
        None => ask(&client, &caller).await?,
    }
    Ok(ExitCode::SUCCESS)
}

async fn ask(client: &client::Client, caller: &Caller) -> anyhow::Result<()> {
    let body = json!({
        "model": caller.deployment,
        "messages": [{ "role": "user", "content": caller.text }],
    });
    let mut stream = client.stream(body, "").await?;
    while let Some(chunk) = stream.next().await {
        print!("{}", chunk?.text);
        std::io::stdout().flush()?;
    }
    println!();
    Ok(())
}

async fn call(client: &client::Client, caller: &Caller, path: &str) -> anyhow::Result<()> {
    let call = Call {
        deployment: SmolStr::from(&caller.deployment),
        method: Method::POST,
        path: SmolStr::from(path),
        body: Bytes::from(caller.text.clone()),
        once: if caller.once {
            Once::Ticket
        } else {
            Once::Idempotent
        },
    };
    let answer = client.call(&call).await?;
    println!("{}", String::from_utf8_lossy(&answer.body));
    Ok(())
}

/// A fake has nothing to finish: it stays until its process is ended.
async fn stay() -> anyhow::Result<ExitCode> {
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
