//! The `caller` subcommand.

use std::io::Write;
use std::process::ExitCode;

use argh::FromArgs;
use bytes::Bytes;
use client::call::Call;
use client::call::Delivery;
use http::Method;
use serde_json::json;
use smol_str::SmolStr;

/// Asks a model one question, or calls a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "caller")]
pub struct Caller {
    /// address of an entry; may be given several times
    #[argh(option)]
    entry: Vec<String>,
    /// key of the client account
    #[argh(option)]
    key: String,
    /// the deployment
    #[argh(option)]
    deployment: String,
    /// path at the plain service; without it the deployment is a model
    #[argh(option)]
    path: Option<String>,
    /// the plain call must run at most once
    #[argh(switch)]
    once: bool,
    /// the question, or the body of the plain call
    #[argh(positional)]
    text: String,
}

pub async fn run_caller(caller: Caller) -> anyhow::Result<ExitCode> {
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
        delivery: if caller.once {
            Delivery::Ticket
        } else {
            Delivery::Idempotent
        },
    };
    let answer = client.call(&call).await?;
    println!("{}", String::from_utf8_lossy(&answer.body));
    Ok(())
}
