//! Plays one seed.

use std::cell::Cell;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use clock::Span;
use clock::Time;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::task::LocalSet;

use crate::caller::Caller;
use crate::cloud::Cloud;
use crate::configs::size::Size;
use crate::entry::Entry;
use crate::environment::Environment;
use crate::environment::Node;
use crate::environment::Port;
use crate::exchange;
use crate::faults::APPS;
use crate::faults::Cluster;
use crate::faults::ENGINES;
use crate::plan;
use crate::plan::Step;
use crate::promises;
use crate::replica::Replica;
use crate::report::Report;
use crate::stall;
use crate::stall::Part;

/// File name of the entry binary.
const ENTRY_BINARY: &str = "dogwoodspur-platform";
/// Time limit for the entries' start.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a starting entry is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Traffic before the first fault.
const WARM_UP: Span = Span::from_millis(1_500);
/// Upper limit of the faults' total time.
const MAX_FAULT_TIME: Span = Span::from_seconds(600);
/// Traffic after the time to recover, from which the recovery is judged.
const RECOVERED_TRAFFIC: Span = Span::from_millis(4_000);

/// Returns the path of the entry binary, in the folder of this executable or its parent.
pub fn find_entry_binary() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(ENTRY_BINARY))
        .find(|path| path.exists());
    found.with_context(|| format!("no {ENTRY_BINARY}: build it with `cargo build -p platform`"))
}

/// Plays a seed and reports what was observed. Settings and logs of the entries are left in `folder`.
pub fn play(seed: u64, size: Size, binary: &Path, folder: PathBuf) -> Result<Report> {
    std::fs::create_dir_all(&folder)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, play_nodes(seed, size, binary, folder))
}

async fn play_nodes(seed: u64, size: Size, binary: &Path, folder: PathBuf) -> Result<Report> {
    let environment = Rc::new(Environment::new(seed, folder)?);
    environment.has_prompts.set(size.crash_part_count > 0);
    environment.has_http_10.set(size.undelimited_count > 0);
    environment.return_time.set(size.return_time);
    let cluster = Rc::new(start_nodes(&environment, size, binary).await?);
    let crashing = stall::spawn(Part::Faults, Rc::clone(&cluster).crash_hit_replicas());
    let pulse = tokio::task::spawn_local(stall::record(Rc::clone(&environment)));
    let network = environment.network;
    let cloud_address = network.address(Node::Platform, Port::Cloud);
    let cloud = Cloud::serve(Rc::clone(&environment), cloud_address).await?;
    wait_for_entries(&environment, size.entries).await?;

    let steps = plan::draw_steps(seed, &size);
    let started_at = environment.clock.now() + WARM_UP;
    let faults =
        tokio::task::spawn_local(apply_steps(Rc::clone(&cluster), steps.clone(), started_at));
    // Faults may overrun their planned time: callers go on until the last is over, and through the recovery.
    let stop = watch::Sender::new(started_at + MAX_FAULT_TIME);
    let mut callers = JoinSet::new();
    for number in 0..size.callers {
        let caller = Caller::new(Rc::clone(&environment), number, size.entries);
        callers.spawn_local(stall::timed(Part::Callers, caller.run(stop.subscribe())));
    }
    faults.await?;
    let faults_ended_at = environment.clock.now();
    let bounds = environment.ledger.borrow().bounds;
    stop.send_replace(faults_ended_at + bounds.recovery_time + RECOVERED_TRAFFIC);
    while callers.join_next().await.is_some() {}
    let now = environment.clock.now();
    let engines = cluster.replicas.iter().filter(|one| one.service == ENGINES);
    environment.ledger.borrow_mut().last_versions = engines.map(|one| one.version()).collect();
    promises::check_final(&mut environment.ledger.borrow_mut(), faults_ended_at, now);
    crashing.abort();
    pulse.abort();
    for entry in &cluster.entries {
        entry.shut_down();
    }
    let usage_windows = cloud.usage_windows();
    Ok(Report::new(
        seed,
        steps,
        &environment.ledger.borrow(),
        usage_windows,
    ))
}

/// Starts all nodes. Entries start last, when the configuration and the replicas' rows exist.
async fn start_nodes(environment: &Rc<Environment>, size: Size, binary: &Path) -> Result<Cluster> {
    let engines = (0..size.engines).map(|_| ENGINES);
    let apps = APPS.iter().flat_map(|app| (0..size.apps).map(|_| *app));
    let mut cluster = Cluster {
        environment: Rc::clone(environment),
        entries: Vec::new(),
        replicas: Vec::new(),
        releases: Cell::new(0),
    };
    for (index, service) in engines.chain(apps).enumerate() {
        let replica = Replica::start(Rc::clone(environment), index, service, &size).await?;
        cluster.replicas.push(replica);
    }
    cluster.configure();
    for index in 0..size.entries {
        let environment = Rc::clone(environment);
        let entry = Entry::start(environment, index, size, binary.to_owned()).await?;
        cluster.entries.push(entry);
    }
    Ok(cluster)
}

/// Waits until every entry answers address queries.
async fn wait_for_entries(environment: &Environment, entries: usize) -> Result<()> {
    let started_at = environment.clock.now();
    for entry in 0..entries {
        let directory = environment
            .network
            .address(Node::Entry(entry), Port::Directory);
        while exchange::query_addresses(directory, "").await.is_none() {
            if environment.clock.now().since(started_at).as_duration() > START_TIMEOUT {
                bail!("entry {entry} answered no address query within {START_TIMEOUT:?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Applies every step at its time and waits until all are over.
async fn apply_steps(cluster: Rc<Cluster>, steps: Vec<Step>, started_at: Time) {
    let mut running = JoinSet::new();
    for step in steps {
        let cluster = Rc::clone(&cluster);
        running.spawn_local(stall::timed(Part::Faults, async move {
            let wait = (started_at + step.start).since(cluster.environment.clock.now());
            tokio::time::sleep(wait.as_duration()).await;
            cluster.apply(&step).await;
        }));
    }
    while running.join_next().await.is_some() {}
}
