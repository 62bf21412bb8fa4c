//! Cost of an entry: latency and throughput compared with direct calls, memory and time per stream.
//!
//! Run with `cargo bench -p standin --bench entry`. The entry runs in its own process; backend servers,
//! callers and platform share this process and one thread, which limits both throughputs alike.

#![allow(clippy::unwrap_used)]

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use client::Client;
use harness::caller::Reader;
use harness::operator::Operator;
use harness::process::Process;
use harness::process::scratch_path;
use harness::wait_for;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use ops::request::Edit;
use smol_str::SmolStr;
use standin::configs;
use standin::local::Cluster;
use standin::sample;

const ENGINES: usize = 64;
const CALLS: usize = 4_000;
const CONCURRENCY: usize = 32;
const ROUNDS: usize = 3;
const STREAMS: usize = 1_000;
const STREAM_TOKENS: u32 = 100;
const TOKEN_MS: u64 = 200;

type Http = legacy::Client<HttpConnector, Full<Bytes>>;

fn main() {
    harness::run(async {
        let mut cluster = Cluster::start().await.unwrap();
        let engines = configs::engine::Engine {
            token_ms: TOKEN_MS,
            slots: 64,
            ..configs::engine::Engine::default()
        };
        cluster.add_engines(ENGINES, &engines).await.unwrap();
        let instant_service = configs::service::Service {
            call_ms: 0,
            ..configs::service::Service::default()
        };
        cluster.add_service("a", instant_service).await.unwrap();
        let entry = start_entry(&cluster).await;
        let service = cluster.services[0].0.server.address().to_string();
        println!("at rest: {} KiB resident", resident_kib(&entry));
        measure_calls(&service, entry.address("callers")).await;
        // The second round separates what a stream leaves behind from memory that the allocator reuses.
        measure_streams(&entry).await;
        measure_streams(&entry).await;
    });
}

/// Starts one entry as a process and deploys the sample.
async fn start_entry(cluster: &Cluster) -> Process {
    let settings = sample::settings(&sample::Entry {
        name: "entry-0",
        zone: "a",
        platform: &cluster.platform.server.address().to_string(),
        callers: sample::ANY_PORT,
        seeds: &[],
    });
    let path = scratch_path("entry-0.jsonc");
    std::fs::write(&path, settings).unwrap();
    let path = path.display().to_string();
    let entry = Process::start("entry-0", &["entry", "--settings", &path]).await;
    let mut operator = Operator::connect(entry.address("operators")).await;
    let edits = [
        ("account", Edit::PutAccount(sample::account())),
        ("model", Edit::CreateDeployment(sample::model())),
        ("service", Edit::CreateDeployment(sample::service())),
    ];
    let mut version = 0;
    for (id, edit) in edits {
        version = operator.expect_accepted(id, version, edit).await;
    }
    wait_for("all backend servers", async || {
        (operator.status().await.backends.len() > ENGINES).then_some(())
    })
    .await;
    entry
}

/// Measures plain calls, direct and through the entry in turn.
async fn measure_calls(service: &str, entry: &str) {
    let direct_uri = format!("http://{service}/catalogue/7");
    let entry_uri = format!("http://{entry}/services/{}/catalogue/7", sample::SERVICE);
    for round in 0..ROUNDS {
        let (entry_latency, direct_latency) = (
            sequential_latency(&entry_uri).await,
            sequential_latency(&direct_uri).await,
        );
        println!(
            "round {round}, one at a time: direct p50 {} us, p99 {} us; entry p50 {} us, p99 {} us",
            direct_latency.0, direct_latency.1, entry_latency.0, entry_latency.1
        );
        let (entry_rate, direct_rate) = (
            concurrent_throughput(&entry_uri).await,
            concurrent_throughput(&direct_uri).await,
        );
        println!(
            "round {round}, {CONCURRENCY} at a time: direct {direct_rate:.0}/s, \
             entry {entry_rate:.0}/s, ratio {:.2}",
            entry_rate / direct_rate
        );
    }
}

/// Returns the median and the 99th percentile of the latency of sequential calls, microseconds.
async fn sequential_latency(uri: &str) -> (u128, u128) {
    let http: Http = legacy::Client::builder(TokioExecutor::new()).build_http();
    let mut times = Vec::with_capacity(CALLS / 4);
    for _ in 0..CALLS / 4 {
        let start = Instant::now();
        call(&http, uri).await;
        times.push(start.elapsed().as_micros());
    }
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

/// Returns the throughput of concurrent calls, calls per second.
async fn concurrent_throughput(uri: &str) -> f64 {
    let http: Http = legacy::Client::builder(TokioExecutor::new()).build_http();
    let start = Instant::now();
    let workers = (0..CONCURRENCY).map(async |_| {
        for _ in 0..CALLS / CONCURRENCY {
            call(&http, uri).await;
        }
    });
    futures::future::join_all(workers).await;
    CALLS as f64 / start.elapsed().as_secs_f64()
}

async fn call(http: &Http, uri: &str) {
    let request = Request::builder()
        .uri(uri)
        .header("authorization", format!("Bearer {}", sample::ACCOUNT_KEY))
        .body(Full::default())
        .unwrap();
    let response = http.request(request).await.unwrap();
    assert!(response.status().is_success(), "{}", response.status());
    response.into_body().collect().await.unwrap();
}

/// Measures memory and processor time with many open streams.
async fn measure_streams(entry: &Process) {
    let caller = Client::new(client::configs::Client {
        entries: vec![SmolStr::from(entry.address("callers"))],
        key: SmolStr::from(sample::ACCOUNT_KEY),
        ..client::configs::Client::default()
    });
    let resident_before = resident_kib(entry);
    let mut open_streams = Vec::new();
    for batch in 0..STREAMS / 50 {
        let readers = (0..50).map(|number| {
            let question = format!("stream {batch} {number}");
            let caller = caller.clone();
            async move { Reader::new(&caller, &question, STREAM_TOKENS).await }
        });
        open_streams.extend(futures::future::join_all(readers).await);
    }
    let first_tokens =
        futures::future::join_all(open_streams.iter_mut().map(|reader| reader.read(1)));
    first_tokens.await;
    let (processor_before, start) = (processor_ms(entry), Instant::now());
    let after = resident_kib(entry);
    println!(
        "{STREAMS} streams open: {after} KiB resident, {:.1} KiB a stream",
        (after - resident_before) as f64 / STREAMS as f64
    );
    let reading = futures::future::join_all(open_streams.iter_mut().map(|reader| reader.read(20)));
    reading.await;
    let (spent, seconds) = (
        processor_ms(entry) - processor_before,
        start.elapsed().as_secs_f64(),
    );
    println!(
        "20 tokens of each in {seconds:.1} s: {:.0} tokens/s, {:.1} us of the entry's processor a token",
        20.0 * STREAMS as f64 / seconds,
        spent * 1_000.0 / (20.0 * STREAMS as f64)
    );
    futures::future::join_all(open_streams.iter_mut().map(Reader::finish)).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    println!("all ended: {} KiB resident", resident_kib(entry));
}

/// Returns the resident memory of a process, KiB.
fn resident_kib(process: &Process) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Returns the processor time of a process, milliseconds; the kernel counts in hundredths of a second.
fn processor_ms(process: &Process) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
    let after_name = stat.rsplit(") ").next().unwrap();
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    ticks as f64 * 10.0
}
