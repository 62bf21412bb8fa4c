//! Leaders of one deployment: which one acts, its orders to engines, and the number of instances.

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

/// Leaders on one table, in virtual time.
struct World {
    now: Time,
    table: Table,
    leaders: Vec<Leader>,
    effects: Vec<(usize, Effect)>,
}

impl World {
    fn new(leaders: u64) -> World {
        let leader = |id| {
            let settings = Settings::default();
            Leader::new(holder::Id(id + 1), "thesis".into(), settings, id)
        };
        World {
            now: Time::ZERO,
            table: Table::default(),
            leaders: (0..leaders).map(leader).collect(),
            effects: Vec::new(),
        }
    }

    /// Feeds one event and the outcomes of all resulting store calls.
    fn feed(&mut self, index: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut effects = Vec::new();
            self.leaders[index].step(self.now, event, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Store { id, call } => {
                        let outcome = self.table.apply(&call);
                        events.push(Event::Store { id, outcome });
                    }
                    effect => self.effects.push((index, effect)),
                }
            }
        }
    }

    /// Advances the virtual time while only the leaders in `awake` run.
    fn run(&mut self, span: Span, awake: &[usize]) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Span::from_millis(100);
            for index in awake {
                self.feed(*index, Event::Wake);
            }
        }
    }

    fn effects_of(&self, index: usize) -> Vec<&Effect> {
        let effects = self.effects.iter().filter(|(leader, _)| *leader == index);
        effects.map(|(_, effect)| effect).collect()
    }
}

/// Engines that carry out orders immediately.
#[derive(Default)]
struct Engines {
    states: BTreeMap<SmolStr, (Target, u32)>,
}

impl Engines {
    /// Carries out the orders of all leaders and answers the reads of one.
    fn apply(&mut self, world: &mut World, leader: usize) {
        let effects = std::mem::take(&mut world.effects);
        for (sender, effect) in effects {
            match &effect {
                Effect::Order { engine, target, .. } => {
                    let state = self.states.get_mut(engine).expect("a known engine");
                    let is_unload = !state.0.model.is_empty() && !state.0.has_same_model(target);
                    assert!(!is_unload || state.1 == 0, "{engine} lost what it ran");
                    state.0 = target.clone();
                }
                Effect::Read(engine) if sender == leader => {
                    let (target, running) = self.states[engine].clone();
                    let engine = engine.clone();
                    world.feed(
                        leader,
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
    let mut world = World::new(2);
    let bounds = Bounds {
        capacity: 1,
        least: 3,
        most: 9,
    };
    for index in 0..2 {
        world.feed(index, Event::Priced(offers()));
        world.feed(index, Event::Assigned(Some(assignment("v1", Some(bounds)))));
    }
    world.run(Span::from_seconds(5), &[0, 1]);
    let starts = |index| {
        let effects = world.effects_of(index).into_iter();
        effects
            .filter(|effect| matches!(effect, Effect::Start { .. }))
            .count()
    };
    assert!(starts(0) >= 3, "{}", starts(0));
    assert_eq!(starts(1), 0);
}

/// A leader is paused past its lease and continues. It must send no orders, because another one leads.
#[test]
fn a_paused_leader_sends_no_orders_after_its_lease() {
    let mut world = World::new(2);
    for index in 0..2 {
        world.feed(index, Event::Assigned(Some(assignment("v1", None))));
    }
    world.run(Span::from_seconds(2), &[0, 1]);
    assert!(world.leaders[0].is_leading(world.now));
    world.run(Span::from_seconds(20), &[1]);
    assert!(world.leaders[1].is_leading(world.now));
    world.effects.clear();
    world.feed(0, Event::Listed(vec![instance(0)]));
    world.feed(
        0,
        Event::EngineRead {
            engine: instance(0).incarnation,
            target: Target::default(),
            running: 0,
        },
    );
    let orders = world.effects_of(0).into_iter();
    let orders = orders.filter(|effect| matches!(effect, Effect::Order { .. }));
    assert_eq!(orders.count(), 0);
}

/// The cloud runs out of reclaimable instances. The leader must request on-demand instances immediately.
#[test]
fn a_refused_kind_is_replaced_by_the_next_cheapest() {
    let mut world = World::new(1);
    let bounds = Bounds {
        capacity: 1,
        least: 2,
        most: 9,
    };
    world.feed(0, Event::Priced(offers()));
    world.feed(0, Event::Assigned(Some(assignment("v1", Some(bounds)))));
    world.run(Span::from_millis(500), &[0]);
    for _ in 0..4 {
        let effects = std::mem::take(&mut world.effects);
        for (_, effect) in &effects {
            if let Effect::Start { token, kind, .. } = effect
                && kind.market == Market::Reclaimable
            {
                world.feed(
                    0,
                    Event::Refused {
                        token: token.clone(),
                    },
                );
            }
        }
        world.effects.extend(effects.into_iter().filter(
            |(_, effect)| matches!(effect, Effect::Start { kind, .. } if kind.market == Market::OnDemand),
        ));
    }
    let on_demand = world.effects.iter().filter(
        |(_, effect)| matches!(effect, Effect::Start { kind, .. } if kind.market == Market::OnDemand),
    );
    assert!(on_demand.count() >= 3);
}

/// A new version of the model is rolled out under load. No stream may be cut, and at most a third of the
/// engines may be out of service.
#[test]
fn a_change_of_model_is_rolled_out_in_turn() {
    let mut world = World::new(1);
    let instances: Vec<Instance> = (0..9).map(instance).collect();
    let mut engines = Engines::default();
    for instance in &instances {
        engines
            .states
            .insert(instance.incarnation.clone(), (target("v1"), 2));
    }
    world.feed(0, Event::Assigned(Some(assignment("v2", None))));
    world.feed(0, Event::Listed(instances));
    for _ in 0..1_200 {
        world.run(Span::from_millis(100), &[0]);
        engines.apply(&mut world, 0);
        let unavailable = engines
            .states
            .values()
            .filter(|(target, _)| target.role != "serve");
        assert!(unavailable.count() <= 3);
        for (target, running) in engines.states.values_mut() {
            if target.role == "drain" {
                *running = running.saturating_sub(1);
            }
        }
    }
    for (engine, (state, _)) in &engines.states {
        assert_eq!(*state, target("v2"), "{engine}");
    }
}
