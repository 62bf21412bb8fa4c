//! Subcommands that run one of the outside systems.

use std::process::ExitCode;

use argh::FromArgs;
use standin::configs;
use standin::engine;
use standin::platform;
use standin::service;

use crate::command::run_until_killed;

/// Runs the platform: table service, object store, instance list, cloud API.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct Platform {
    /// listen address
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
}

/// Runs a model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct Engine {
    /// listen address
    #[argh(option, default = "configs::engine::Engine::default().listen")]
    listen: String,
    /// sequences that run concurrently
    #[argh(option, default = "configs::engine::Engine::default().slots")]
    slots: usize,
    /// time between two tokens, milliseconds
    #[argh(option, default = "configs::engine::Engine::default().token_ms")]
    token_ms: u64,
    /// time to compute a thousand prompt tokens, milliseconds
    #[argh(option, default = "configs::engine::Engine::default().prefill_ms")]
    prefill_ms: u64,
    /// delay before cache events are published, milliseconds
    #[argh(option, default = "configs::engine::Engine::default().event_delay_ms")]
    event_delay_ms: u64,
    /// every n-th cache event is never published; 0 publishes all
    #[argh(option, default = "configs::engine::Engine::default().event_gap")]
    event_gap: u64,
    /// interval at which the load report is refreshed, milliseconds
    #[argh(option, default = "configs::engine::Engine::default().load_lag_ms")]
    load_lag_ms: u64,
    /// time for which a stream without a reader is kept, milliseconds
    #[argh(
        option,
        default = "configs::engine::Engine::default().resume_window_ms"
    )]
    resume_window_ms: u64,
    /// accept orders with a stale fencing number
    #[argh(switch)]
    ignores_fencing: bool,
}

/// Runs a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
pub struct Service {
    /// listen address
    #[argh(option, default = "configs::service::Service::default().listen")]
    listen: String,
    /// duration of a call, milliseconds
    #[argh(option, default = "configs::service::Service::default().call_ms")]
    call_ms: u64,
}

pub async fn run_platform(arguments: Platform) -> anyhow::Result<ExitCode> {
    let platform = platform::spawn(&arguments.listen).await?;
    println!("listening address={}", platform.server.address());
    run_until_killed().await
}

pub async fn run_engine(arguments: Engine) -> anyhow::Result<ExitCode> {
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
    run_until_killed().await
}

pub async fn run_service(arguments: Service) -> anyhow::Result<ExitCode> {
    let config = configs::service::Service {
        listen: arguments.listen,
        call_ms: arguments.call_ms,
    };
    let service = service::spawn(config).await?;
    println!("listening address={}", service.server.address());
    run_until_killed().await
}
