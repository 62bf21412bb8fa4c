//! Subcommands that run a whole installation in this process.

use std::process::ExitCode;

use anyhow::Context;
use argh::FromArgs;
use standin::configs;
use standin::demo;
use standin::local::Cluster;
use standin::sample;

use crate::command::run_until_killed;

/// Runs the demo with all components in this process; exits with 0 only if all checks passed.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {}

/// Runs a small installation in this process until it is killed: 3 entries, 3 engines, 1 plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "sample")]
pub struct Sample {
    /// address where the first entry listens for callers
    #[argh(option, default = "String::from(\"127.0.0.1:8000\")")]
    callers: String,
}

pub async fn run_demo() -> anyhow::Result<ExitCode> {
    let passed = demo::run().await?;
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

pub async fn run_sample(arguments: Sample) -> anyhow::Result<ExitCode> {
    let mut cluster = Cluster::start().await?;
    cluster
        .add_engines(3, &configs::engine::Engine::default())
        .await?;
    cluster.add_services(1).await?;
    cluster.add_entry("a", &arguments.callers).await?;
    cluster.add_entry("b", sample::ANY_PORT).await?;
    cluster.add_entry("c", sample::ANY_PORT).await?;
    cluster.deploy().await?;
    let bound = cluster.entries.first().context("no entry runs")?.bound;
    println!(
        "listening callers={} operators={} admin={} key={} operators_key={}",
        bound.callers,
        bound.operators,
        bound.admin,
        sample::ACCOUNT_KEY,
        sample::OPERATORS_KEY
    );
    run_until_killed().await
}
