//! Plays one seed.

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

use crate::caller;
use crate::caller::Caller;
use crate::cloud::Cloud;
use crate::configs::size::Size;
use crate::faults::APPS;
use crate::faults::ENGINES;
use crate::faults::World;
use crate::plan;
use crate::plan::Step;
use crate::program::Program;
use crate::promises;
use crate::replica::Replica;
use crate::report::Report;
use crate::scene::Party;
use crate::scene::Port;
use crate::scene::Shared;

/// File name of the entry binary.
const PROGRAM: &str = "dogwoodspur-platform";
/// Time limit for the entries' start.
const START_TIME: Duration = Duration::from_secs(60);
/// Interval at which a starting entry is polled.
const LOOK: Duration = Duration::from_millis(100);
/// Traffic before the first fault.
const BEFORE: Span = Span::from_millis(1_500);
/// Upper limit of the faults' total time.
const LONGEST: Span = Span::from_seconds(600);
/// Traffic after the time to recover, from which the recovery is judged.
const AFTER: Span = Span::from_millis(4_000);

/// Returns the path of the entry binary, in the folder of this executable or its parent.
pub fn program_beside() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let beside = own.ancestors().skip(1).take(2);
    let found = beside
        .map(|folder| folder.join(PROGRAM))
        .find(|path| path.exists());
    found.with_context(|| format!("no {PROGRAM}: build it with `cargo build -p platform`"))
}

/// Plays a seed and reports what was observed. Settings and logs of the entries are left in `folder`.
pub fn play(seed: u64, size: Size, binary: &Path, folder: PathBuf) -> Result<Report> {
    std::fs::create_dir_all(&folder)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, play_all(seed, size, binary, folder))
}

async fn play_all(seed: u64, size: Size, binary: &Path, folder: PathBuf) -> Result<Report> {
    let shared = Rc::new(Shared::new(seed, folder)?);
    let world = Rc::new(start(&shared, size, binary).await?);
    let network = shared.network;
    let cloud_address = network.address(Party::Platform, Port::Cloud);
    let cloud = Cloud::serve(Rc::clone(&shared), cloud_address).await?;
    wait_for_entries(&shared, size.entries).await?;

    let steps = plan::draw(seed, &size);
    let begun = shared.clock.now() + BEFORE;
    let faults = tokio::task::spawn_local(carry_out(Rc::clone(&world), steps.clone(), begun));
    // Faults may overrun their planned time: callers go on until the last is over, and through the recovery.
    let stop = watch::Sender::new(begun + LONGEST);
    let mut callers = JoinSet::new();
    for number in 0..size.callers {
        let caller = Caller::new(Rc::clone(&shared), number, size.entries);
        callers.spawn_local(caller.run(stop.subscribe()));
    }
    faults.await?;
    let calm = shared.clock.now();
    let bounds = shared.ledger.borrow().bounds;
    stop.send_replace(calm + bounds.recover + AFTER);
    while callers.join_next().await.is_some() {}
    let now = shared.clock.now();
    promises::check_all(&mut shared.ledger.borrow_mut(), calm, now);
    for entry in &world.entries {
        entry.end();
    }
    let windows = cloud.windows();
    Ok(Report::new(seed, steps, &shared.ledger.borrow(), windows))
}

/// Starts all nodes. Entries start last, when the configuration and the replicas' rows exist.
async fn start(shared: &Rc<Shared>, size: Size, binary: &Path) -> Result<World> {
    let tables = shared.network.address(Party::Platform, Port::Tables);
    shared.tables.serve(tables).await?;
    let engines = (0..size.engines).map(|_| ENGINES);
    let apps = APPS.iter().flat_map(|app| (0..size.apps).map(|_| *app));
    let mut world = World {
        shared: Rc::clone(shared),
        entries: Vec::new(),
        replicas: Vec::new(),
    };
    for (index, service) in engines.chain(apps).enumerate() {
        let replica = Replica::start(Rc::clone(shared), index, service).await?;
        world.replicas.push(replica);
    }
    world.configure();
    for index in 0..size.entries {
        let shared = Rc::clone(shared);
        let program = Program::start(shared, index, size.entries, binary.to_owned()).await?;
        world.entries.push(program);
    }
    Ok(world)
}

/// Waits until every entry answers address queries.
async fn wait_for_entries(shared: &Shared, entries: usize) -> Result<()> {
    let begun = shared.clock.now();
    for entry in 0..entries {
        let directory = shared.network.address(Party::Entry(entry), Port::Directory);
        while caller::ask_directory(directory, "").await.is_none() {
            if shared.clock.now().since(begun).as_duration() > START_TIME {
                bail!("entry {entry} never names an address");
            }
            tokio::time::sleep(LOOK).await;
        }
    }
    Ok(())
}

/// Applies every step at its time and waits until all are over.
async fn carry_out(world: Rc<World>, steps: Vec<Step>, begun: Time) {
    let mut running = JoinSet::new();
    for step in steps {
        let world = Rc::clone(&world);
        running.spawn_local(async move {
            let wait = (begun + step.at).since(world.shared.clock.now());
            tokio::time::sleep(wait.as_duration()).await;
            world.carry_out(&step).await;
        });
    }
    while running.join_next().await.is_some() {}
}
