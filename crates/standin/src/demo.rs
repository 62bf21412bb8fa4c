//! Demo of the main use case in one process: deploy, stream through a reclaim, make a call, stop.

use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use client::Client;
use client::call::Call;
use client::call::Delivery;
use http::Method;
use smol_str::SmolStr;

use crate::configs;
use crate::local::Cluster;
use crate::platform::fleet::Reclaim;
use crate::sample;
use crate::tokens::Chat;

const ENTRIES: usize = 3;
const ENGINES: usize = 3;
const ANSWER_TOKENS: u32 = 200;
const TOKEN_MS: u64 = 10;

/// Reclaim notice that the cloud gives, milliseconds. It is shorter than the rest of the stream, so the
/// stream can't finish on the engine that started it.
const NOTICE_MS: u64 = 500;

/// Runs the demo and prints its progress. Returns whether all checks passed.
pub async fn run() -> anyhow::Result<bool> {
    let mut checks = Checks::default();
    let mut cluster = Cluster::start().await?;
    let config = configs::engine::Engine {
        token_ms: TOKEN_MS,
        ..configs::engine::Engine::default()
    };
    cluster.add_engines(ENGINES, &config).await?;
    cluster.add_services(1).await?;
    cluster.add_entries(ENTRIES).await?;
    println!("started: a platform, {ENTRIES} entries, {ENGINES} engines, 1 plain service");
    let version = cluster.deploy().await?;
    println!("deployed: account, model and plain service are in force as version {version}");
    let caller = cluster.caller();
    stream_through_reclaim(&cluster, &caller, &mut checks).await?;
    call_once(&cluster, &caller, &mut checks).await?;
    for entry in cluster.entries {
        entry.stop().await?;
    }
    checks.record(true, "every entry stopped gracefully".to_owned());
    Ok(checks.all_passed())
}

async fn stream_through_reclaim(
    cluster: &Cluster,
    caller: &Client,
    checks: &mut Checks,
) -> anyhow::Result<()> {
    let chat = Chat::question(
        sample::MODEL,
        "What is known of the burnt mill?",
        ANSWER_TOKENS,
    );
    let mut stream = caller.stream(serde_json::to_value(&chat)?, "").await?;
    println!("streaming: request {} was accepted", stream.request());
    let mut text = String::new();
    for _ in 0..ANSWER_TOKENS / 2 {
        let chunk = stream.next().await.context("the stream ended early")??;
        text.push_str(&chunk.text);
    }
    let index = serving_engine(cluster).context("no engine serves the stream")?;
    let (engine, instance) = &cluster.engines[index];
    let reclaim = Reclaim {
        id: instance.id.clone(),
        deadline_ms: NOTICE_MS,
        ..Reclaim::default()
    };
    cluster.platform.state.borrow_mut().fleet.reclaim(&reclaim);
    println!(
        "reclaimed: {} of zone {} has {NOTICE_MS} ms",
        instance.id, instance.zone
    );
    let termination = async {
        tokio::time::sleep(Duration::from_millis(NOTICE_MS)).await;
        engine.kill();
        println!("taken: {} is gone", instance.id);
    };
    let (rest, ()) = tokio::join!(stream.collect_text(), termination);
    text.push_str(&rest?);
    let is_complete = text == chat.plan().answer();
    let recomputed: u64 = cluster
        .engines
        .iter()
        .map(|(engine, _)| engine.counts().recomputed_tokens)
        .sum();
    checks.record(
        is_complete,
        format!(
            "the caller has all {ANSWER_TOKENS} tokens once and in order ({recomputed} recomputed)"
        ),
    );
    Ok(())
}

/// Returns the index of the engine that started a stream.
fn serving_engine(cluster: &Cluster) -> Option<usize> {
    cluster
        .engines
        .iter()
        .position(|(engine, _)| !engine.counts().started.is_empty())
}

async fn call_once(cluster: &Cluster, caller: &Client, checks: &mut Checks) -> anyhow::Result<()> {
    let call = Call {
        deployment: SmolStr::from(sample::SERVICE),
        method: Method::POST,
        path: SmolStr::from("/receipts"),
        body: Bytes::from_static(b"one copy for the branch"),
        delivery: Delivery::Ticket,
    };
    let answer = caller.call(&call).await?;
    let key = "POST /receipts one copy for the branch";
    let executions: u32 = cluster
        .services
        .iter()
        .filter_map(|(service, _)| service.counts().executions.get(key).copied())
        .sum();
    checks.record(
        answer.status.is_success() && executions == 1,
        format!("the receipt was answered, and executed {executions} time"),
    );
    Ok(())
}

/// Counts failed checks.
#[derive(Default)]
struct Checks {
    failed: u32,
}

impl Checks {
    fn record(&mut self, passed: bool, description: String) {
        let label = if passed { "held" } else { "FAILED" };
        println!("{label}: {description}");
        self.failed += u32::from(!passed);
    }

    fn all_passed(&self) -> bool {
        self.failed == 0
    }
}
