//! One leader a deployment: who acts, what engines are told, how many instances there are.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use fleet::configs::leader::Settings;
use fleet::event::Assignment;
use fleet::event::Bounds;
use fleet::event::Effect;
use fleet::event::Event;
use fleet::event::Instance;
use fleet::leader::Leader;
use lease::holder;
use lease::order::Target;
use policy::mix::Kind;
use policy::mix::Market;
use policy::mix::Offer;
use smol_str::SmolStr;
use store::fake::Table;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn kind(zone: &str, market: Market) -> Kind {
    Kind {
        zone: zone.into(),
        class: "g4".into(),
        market,
    }
}

fn offers() -> Vec<Offer> {
    let reclaimable = ZONES.map(|zone| (kind(zone, Market::Reclaimable), 1.0));
    let on_demand = ZONES.map(|zone| (kind(zone, Market::OnDemand), 3.0));
    reclaimable
        .into_iter()
        .chain(on_demand)
        .map(|(kind, per_hour)| Offer {
            kind,
            per_hour,
            capacity: 1,
        })
        .collect()
}

fn instance(number: usize) -> Instance {
    Instance {
        id: format!("i-{number}").into(),
        incarnation: format!("i-{number}.1").into(),
        kind: kind(ZONES[number % 3], Market::Reclaimable),
    }
}

fn target(version: &str) -> Target {
    Target {
        model: "thesis".into(),
        adapter: SmolStr::default(),
        version: version.into(),
        role: "serve".into(),
    }
}

fn assignment(version: &str, bounds: Option<Bounds>) -> Assignment {
    Assignment {
        target: Some(target(version)),
        checks_fencing: true,
        bounds,
    }
}

/// Some leaders before one table, in virtual time.
struct Scene {
    now: Time,
    table: Table,
    leads: Vec<Leader>,
    said: Vec<(usize, Effect)>,
}

impl Scene {
    fn new(leaders: u64) -> Scene {
        let lead = |id| {
            let settings = Settings::default();
            Leader::new(holder::Id(id + 1), "thesis".into(), settings, id)
        };
        Scene {
            now: Time::ZERO,
            table: Table::default(),
            leads: (0..leaders).map(lead).collect(),
            said: Vec::new(),
        }
    }

    /// Feeds one event, and store answers until none is asked for.
    fn feed(&mut self, at: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut effects = Vec::new();
            self.leads[at].step(self.now, event, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Store { id, call } => {
                        let outcome = self.table.apply(&call);
                        events.push(Event::Store { id, outcome });
                    }
                    effect => self.said.push((at, effect)),
                }
            }
        }
    }

    /// Lets time pass for those who are awake.
    fn pass(&mut self, span: Span, awake: &[usize]) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Span::from_millis(100);
            for at in awake {
                self.feed(*at, Event::Wake);
            }
        }
    }

    fn said_by(&self, at: usize) -> Vec<&Effect> {
        let said = self.said.iter().filter(|(by, _)| *by == at);
        said.map(|(_, effect)| effect).collect()
    }
}

/// Engines that do what they are told at once.
#[derive(Default)]
struct Engines {
    at: BTreeMap<SmolStr, (Target, u32)>,
}

impl Engines {
    /// Carries out what was said, and answers reads.
    fn serve(&mut self, scene: &mut Scene, lead: usize) {
        let said = std::mem::take(&mut scene.said);
        for (by, effect) in said {
            match &effect {
                Effect::Order { engine, target, .. } => {
                    let held = self.at.get_mut(engine).expect("a known engine");
                    let takes_away = !held.0.model.is_empty() && !held.0.has_same_model(target);
                    assert!(!takes_away || held.1 == 0, "{engine} lost what it ran");
                    held.0 = target.clone();
                }
                Effect::Read(engine) if by == lead => {
                    let (target, running) = self.at[engine].clone();
                    let engine = engine.clone();
                    scene.feed(
                        lead,
                        Event::EngineRead {
                            engine,
                            target,
                            running,
                        },
                    );
                }
                _ => {}
            }
        }
    }
}

#[test]
fn only_the_holder_acts() {
    let mut scene = Scene::new(2);
    let size = Bounds {
        capacity: 1,
        least: 3,
        most: 9,
    };
    for at in 0..2 {
        scene.feed(at, Event::Priced(offers()));
        scene.feed(at, Event::Assigned(Some(assignment("v1", Some(size)))));
    }
    scene.pass(Span::from_seconds(5), &[0, 1]);
    let starts = |at| {
        let said = scene.said_by(at).into_iter();
        said.filter(|effect| matches!(effect, Effect::Start { .. }))
            .count()
    };
    assert!(starts(0) >= 3, "{}", starts(0));
    assert_eq!(starts(1), 0);
}

/// An operator would see two leaders give orders: the first is paused past its lease and thaws.
#[test]
fn a_paused_leader_says_nothing_after_its_lease() {
    let mut scene = Scene::new(2);
    for at in 0..2 {
        scene.feed(at, Event::Assigned(Some(assignment("v1", None))));
    }
    scene.pass(Span::from_seconds(2), &[0, 1]);
    assert!(scene.leads[0].leads(scene.now));
    scene.pass(Span::from_seconds(20), &[1]);
    assert!(scene.leads[1].leads(scene.now));
    scene.said.clear();
    scene.feed(0, Event::Listed(vec![instance(0)]));
    scene.feed(
        0,
        Event::EngineRead {
            engine: instance(0).incarnation,
            target: Target::default(),
            running: 0,
        },
    );
    let orders = scene.said_by(0).into_iter();
    let orders = orders.filter(|effect| matches!(effect, Effect::Order { .. }));
    assert_eq!(orders.count(), 0);
}

/// The cloud has no reclaimable instances left in the middle of a wave: on-demand ones are started in
/// their place, at once.
#[test]
fn a_refused_kind_is_replaced_by_the_next_cheapest() {
    let mut scene = Scene::new(1);
    let size = Bounds {
        capacity: 1,
        least: 2,
        most: 9,
    };
    scene.feed(0, Event::Priced(offers()));
    scene.feed(0, Event::Assigned(Some(assignment("v1", Some(size)))));
    scene.pass(Span::from_millis(500), &[0]);
    for _ in 0..4 {
        let said = std::mem::take(&mut scene.said);
        for (_, effect) in &said {
            if let Effect::Start { token, kind, .. } = effect
                && kind.market == Market::Reclaimable
            {
                scene.feed(
                    0,
                    Event::Refused {
                        token: token.clone(),
                    },
                );
            }
        }
        scene.said.extend(said.into_iter().filter(
            |(_, effect)| matches!(effect, Effect::Start { kind, .. } if kind.market == Market::OnDemand),
        ));
    }
    let on_demand = scene.said.iter().filter(
        |(_, effect)| matches!(effect, Effect::Start { kind, .. } if kind.market == Market::OnDemand),
    );
    assert!(on_demand.count() >= 3);
}

/// A new version of the model is rolled out under load: no stream is cut, and never more than a third
/// of the engines is out of use.
#[test]
fn a_change_of_model_goes_over_the_engines_in_turn() {
    let mut scene = Scene::new(1);
    let instances: Vec<Instance> = (0..9).map(instance).collect();
    let mut engines = Engines::default();
    for one in &instances {
        engines
            .at
            .insert(one.incarnation.clone(), (target("v1"), 2));
    }
    scene.feed(0, Event::Assigned(Some(assignment("v2", None))));
    scene.feed(0, Event::Listed(instances));
    for _ in 0..1_200 {
        scene.pass(Span::from_millis(100), &[0]);
        engines.serve(&mut scene, 0);
        let out = engines
            .at
            .values()
            .filter(|(target, _)| target.role != "serve");
        assert!(out.count() <= 3);
        for (target, running) in engines.at.values_mut() {
            if target.role == "drain" {
                *running = running.saturating_sub(1);
            }
        }
    }
    for (engine, (held, _)) in &engines.at {
        assert_eq!(*held, target("v2"), "{engine}");
    }
}
