//! Applies the steps of a plan.

use std::rc::Rc;

use clock::Span;
use mirror::document;
use mirror::document::Document;
use mirror::document::Kind;
use mirror::document::Route;
use rustix::process::Signal;
use smol_str::SmolStr;

use crate::caller::Class;
use crate::caller::KEY;
use crate::ledger::Target;
use crate::plan::Fault;
use crate::plan::Step;
use crate::program::Program;
use crate::proxy::Mode;
use crate::replica::Manner;
use crate::replica::Replica;
use crate::scene::HOST;
use crate::scene::Shared;
use crate::tables::Trouble;

/// Services of plain calls; the route that changes alternates between them.
pub const APPS: [&str; 2] = ["app-a", "app-b"];
/// Service of streams.
pub const ENGINES: &str = "engines";
/// Time in which a killed entry is restarted and serves.
const BACK: Span = Span::from_millis(2_500);
/// Time after which the row of a crashed replica is removed.
const ROW: Span = Span::from_millis(1_500);
/// Time for which a replica goes on after it announced that it leaves.
const LEAVING: Span = Span::from_millis(3_500);
/// Pause between two entries that are stopped in turn.
const TURN: Span = Span::from_millis(500);
/// Number of entries stopped in turn. Each takes its whole grace period while callers keep connections open.
const IN_TURN: usize = 3;

/// All nodes of a run that faults act on.
pub struct World {
    /// State shared by all nodes.
    pub shared: Rc<Shared>,
    /// Entries.
    pub entries: Vec<Rc<Program>>,
    /// Replicas.
    pub replicas: Vec<Rc<Replica>>,
}

impl World {
    /// Applies a fault, and ends it after its duration.
    pub async fn carry_out(&self, step: &Step) {
        match step.fault {
            Fault::Kill(entry) => self.kill(&[entry]).await,
            Fault::KillAll => self.kill(&Vec::from_iter(0..self.entries.len())).await,
            Fault::Stop(entry) => self.entries[entry].stop().await,
            Fault::StopInTurn => {
                for entry in self.entries.iter().take(IN_TURN) {
                    entry.stop().await;
                    wait(TURN).await;
                }
            }
            Fault::Pause(entry) => {
                let target = Target::Entry(entry);
                let program = &self.entries[entry];
                let pause = || program.signal(Signal::STOP);
                let go_on = || program.signal(Signal::CONT);
                self.during(target, step.lasts, pause, go_on).await;
            }
            Fault::Reload(entry) => self.entries[entry].signal(Signal::HUP),
            Fault::Callers(entry, mode) => {
                let link = &self.entries[entry].callers;
                self.link(Target::Entry(entry), step.lasts, mode, |mode| {
                    link.set(mode)
                })
                .await;
            }
            Fault::Peers(entry, mode) => {
                let link = &self.entries[entry].peers;
                self.link(Target::Entry(entry), step.lasts, mode, |mode| {
                    link.set(mode)
                })
                .await;
            }
            Fault::TablesWay(entry, mode) => {
                let link = &self.entries[entry].tables;
                self.link(Target::Entry(entry), step.lasts, mode, |mode| {
                    link.set(mode)
                })
                .await;
            }
            Fault::ReplicaWay(replica, mode) => {
                let link = &self.replicas[replica].link;
                self.link(Target::Replica(replica), step.lasts, mode, |mode| {
                    link.set(mode)
                })
                .await;
            }
            Fault::Tables(trouble) => {
                let tables = &self.shared.tables;
                let begin = || tables.set(trouble);
                let end = || tables.set(Trouble::None);
                self.during(Target::Tables, step.lasts, begin, end).await;
            }
            Fault::Forget => self.shared.tables.forget(),
            Fault::Crash(replica) => self.crash(replica, step.lasts).await,
            Fault::Leave(replica) => self.leave(replica, step.lasts).await,
            Fault::Works(replica, manner) => {
                let replica = &self.replicas[replica];
                let target = Target::Replica(replica.index);
                let begin = || replica.set(manner);
                let end = || replica.set(Manner::Good);
                self.during(target, step.lasts, begin, end).await;
            }
            Fault::Configure => self.configure(),
        }
    }

    /// Publishes a configuration that switches the route that changes to the other service.
    pub fn configure(&self) {
        let mut ledger = self.shared.ledger.borrow_mut();
        let version = ledger.configured.len() as u64 + 1;
        let service = SmolStr::new_static(APPS[version as usize % APPS.len()]);
        let document = document_of(version, service.clone());
        let tables = &self.shared.tables;
        tables.put(document::TABLE, document::KEY, Some(document.encode()));
        ledger.configured.push((self.shared.clock.now(), service));
    }

    async fn kill(&self, entries: &[usize]) {
        let now = self.shared.clock.now();
        let disturbed: Vec<usize> = entries
            .iter()
            .map(|entry| self.disturb(Target::Entry(*entry)))
            .collect();
        for entry in entries {
            self.entries[*entry].signal(Signal::KILL);
        }
        wait(BACK).await;
        for disturbance in disturbed {
            let mut ledger = self.shared.ledger.borrow_mut();
            ledger.heal(disturbance, now + BACK);
        }
    }

    async fn crash(&self, replica: usize, lasts: Span) {
        let replica = &self.replicas[replica];
        let disturbance = self.disturb(Target::Replica(replica.index));
        replica.crash();
        wait(ROW).await;
        replica.forget();
        wait(lasts).await;
        replica.revive();
        self.heal(disturbance);
    }

    async fn leave(&self, replica: usize, lasts: Span) {
        let replica = &self.replicas[replica];
        replica.leave();
        wait(LEAVING).await;
        replica.forget();
        self.crash(replica.index, lasts).await;
    }

    async fn link(&self, target: Target, lasts: Span, mode: Mode, set: impl Fn(Mode)) {
        self.during(target, lasts, || set(mode), || set(Mode::Pass))
            .await;
    }

    async fn during(&self, target: Target, lasts: Span, begin: impl Fn(), end: impl Fn()) {
        let disturbance = self.disturb(target);
        begin();
        wait(lasts).await;
        end();
        self.heal(disturbance);
    }

    fn disturb(&self, target: Target) -> usize {
        let now = self.shared.clock.now();
        self.shared.ledger.borrow_mut().disturb(target, now)
    }

    fn heal(&self, disturbance: usize) {
        let now = self.shared.clock.now();
        self.shared.ledger.borrow_mut().heal(disturbance, now);
    }
}

async fn wait(span: Span) {
    tokio::time::sleep(span.as_duration()).await;
}

fn document_of(version: u64, moving: SmolStr) -> Document {
    let route = |(class, _): (Class, u32)| {
        let (kind, service) = match class {
            Class::Look => (Kind::Idempotent, SmolStr::new_static(APPS[0])),
            Class::File => (Kind::NonIdempotent, SmolStr::new_static(APPS[0])),
            Class::Chat => (Kind::Stream, SmolStr::new_static(ENGINES)),
            Class::Move => (Kind::Idempotent, moving.clone()),
        };
        Route {
            prefix: SmolStr::new_static(class.name()),
            kind,
            service,
            timeout_ms: class.timeout().as_millis(),
            attempts: 2,
        }
    };
    Document {
        version,
        host: HOST.into(),
        routes: Class::ALL.into_iter().map(route).collect(),
        engines: vec![ENGINES.into()],
        services: APPS.iter().map(SmolStr::new).collect(),
        accounts: vec![("soak".into(), KEY.into())],
    }
}
