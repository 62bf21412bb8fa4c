//! Choice of zones, machine classes and markets.

use clock::Span;
use clock::Time;
use policy::configs::mix::Config;
use policy::mix::Instance;
use policy::mix::Kind;
use policy::mix::Market;
use policy::mix::Mix;
use policy::mix::Offer;
use policy::mix::Order;
use policy::mix::Plan;
use proptest::prelude::*;
use proptest::test_runner::Config as Proptest;
use proptest::test_runner::RngSeed;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn kind(zone: &str, market: Market) -> Kind {
    Kind {
        zone: zone.into(),
        class: "g4".into(),
        market,
    }
}

fn offer(zone: &str, market: Market, per_hour: f64) -> Offer {
    Offer {
        kind: kind(zone, market),
        per_hour,
        capacity: 1,
    }
}

/// A cloud that starts what is ordered, except for refused kinds, and a pool planned on it.
struct Cloud {
    now: Time,
    mix: Mix,
    offers: Vec<Offer>,
    instances: Vec<Instance>,
    unavailable: Vec<Kind>,
    started: u32,
}

impl Cloud {
    /// Three zones: reclaimable at 1.0, 1.1 and 1.2, on-demand at 3.0.
    fn new() -> Cloud {
        let mut offers = Vec::new();
        for (zone, price) in ZONES.iter().zip([1.0, 1.1, 1.2]) {
            offers.push(offer(zone, Market::Reclaimable, price));
            offers.push(offer(zone, Market::OnDemand, 3.0));
        }
        Cloud {
            now: Time::ZERO,
            mix: Mix::new(Config::default()),
            offers,
            instances: Vec::new(),
            unavailable: Vec::new(),
            started: 0,
        }
    }

    /// Plans once a minute; instances ordered a minute ago are live.
    fn run(&mut self, demand: u32, minutes: u64) -> Plan {
        let mut plan = self.plan_minute(demand);
        for _ in 1..minutes {
            plan = self.plan_minute(demand);
        }
        plan
    }

    fn plan_minute(&mut self, demand: u32) -> Plan {
        self.now = self.now + Span::from_seconds(60);
        for instance in &mut self.instances {
            instance.live = true;
        }
        loop {
            let offers = &self.offers;
            let plan = self.mix.plan(self.now, demand, offers, &self.instances);
            if !self.carry_out(&plan.orders) {
                return plan;
            }
        }
    }

    /// Carries out orders; returns whether one was refused.
    fn carry_out(&mut self, orders: &[Order]) -> bool {
        let mut refused = false;
        for order in orders {
            match order {
                Order::Stop(id) => self.instances.retain(|instance| instance.id != *id),
                Order::Start(kind, _) if self.unavailable.contains(kind) => {
                    self.mix.refused(self.now, kind.clone());
                    refused = true;
                }
                Order::Start(kind, count) => self.start(kind, *count),
            }
        }
        refused
    }

    fn start(&mut self, kind: &Kind, count: u32) {
        for _ in 0..count {
            self.started += 1;
            self.instances.push(Instance {
                id: format!("i-{}", self.started).into(),
                kind: kind.clone(),
                live: false,
            });
        }
    }

    fn count(&self, predicate: impl Fn(&Kind) -> bool) -> usize {
        let matches = |instance: &&Instance| predicate(&instance.kind);
        self.instances.iter().filter(matches).count()
    }

    fn on_demand(&self) -> usize {
        self.count(|kind| kind.market == Market::OnDemand)
    }
}

/// The cheapest zone alone would be cheapest, but losing it would leave nothing until replacements have
/// loaded. Any two zones must be enough.
#[test]
fn any_zone_may_go() {
    let mut cloud = Cloud::new();
    let plan = cloud.run(6, 20);
    assert!(plan.survives_zone_loss);
    assert_eq!(cloud.started, 9);
    for zone in ZONES {
        assert_eq!(cloud.count(|kind| kind.zone != zone), 6);
    }
}

/// A zone is reclaimed and the cloud refuses replacements of its kind everywhere. On-demand instances fill
/// the gap and are stopped after reclaimable replacements are live, without oscillation in between.
#[test]
fn on_demand_fills_the_gap_and_is_given_back() {
    let mut cloud = Cloud::new();
    cloud.run(6, 20);
    cloud.unavailable = ZONES.map(|zone| kind(zone, Market::Reclaimable)).to_vec();
    cloud.instances.retain(|instance| instance.kind.zone != "a");
    let plan = cloud.run(6, 20);
    assert!(plan.survives_zone_loss);
    assert_eq!(cloud.on_demand(), 3);
    assert_eq!(cloud.started, 12);

    cloud.unavailable.clear();
    for _ in 0..20 {
        cloud.plan_minute(6);
        let live = |instance: &&Instance| instance.live;
        assert!(cloud.instances.iter().filter(live).count() >= 9);
    }
    assert_eq!(cloud.on_demand(), 0);
    assert_eq!(cloud.instances.len(), 9);
    assert_eq!(cloud.started, 15);
}

/// Prices swing by a few per cent each minute. A pool that followed them would keep restarting instances,
/// each of which loads a model before it serves anyone.
#[test]
fn small_swings_of_price_move_nothing() {
    let mut cloud = Cloud::new();
    cloud.run(6, 20);
    let before = cloud.instances.clone();
    for minute in 0..200_u32 {
        for (index, offer) in cloud.offers.iter_mut().enumerate() {
            let is_high = (minute + index as u32).is_multiple_of(3);
            offer.per_hour = if is_high { 1.1 } else { 1.0 };
        }
        cloud.plan_minute(6);
    }
    assert_eq!(cloud.instances, before);
}

/// Only one zone is left in the whole cloud. No plan survives its loss, but an empty pool would be worse.
#[test]
fn one_zone_is_better_than_none() {
    let mut cloud = Cloud::new();
    cloud.offers.truncate(2);
    let plan = cloud.run(6, 20);
    assert!(!plan.survives_zone_loss);
    assert_eq!(cloud.instances.len(), 6);
}

proptest! {
    #![proptest_config(Proptest {
        cases: 96,
        rng_seed: RngSeed::Fixed(10),
        failure_persistence: None,
        ..Proptest::default()
    })]

    /// With instances of one size the plan costs as much as the best of all choices.
    #[test]
    fn plan_is_the_cheapest(
        need in 1_u32..7,
        prices in proptest::collection::vec((0.5_f64..3.0, 0.5_f64..6.0), 3),
    ) {
        let mut mix = Mix::new(Config::default());
        let offers: Vec<Offer> = ZONES.iter().zip(&prices).flat_map(|(zone, (reclaimable, on_demand))| [
            offer(zone, Market::Reclaimable, *reclaimable),
            offer(zone, Market::OnDemand, *on_demand),
        ]).collect();
        let plan = mix.plan(Time::ZERO, need, &offers, &[]);
        let price = |zone: usize| prices[zone].0.min(prices[zone].1);
        let mut best = f64::INFINITY;
        for a in 0..=need {
            for b in 0..=need {
                for c in 0..=need {
                    if a + b + c - a.max(b).max(c) >= need {
                        let cost = f64::from(a) * price(0) + f64::from(b) * price(1) + f64::from(c) * price(2);
                        best = best.min(cost);
                    }
                }
            }
        }
        prop_assert!(plan.survives_zone_loss);
        prop_assert!(plan.per_hour <= best + 1e-9, "{} over {}", plan.per_hour, best);
    }

    /// For any sizes and prices, a plan that was carried out leaves nothing more to do.
    #[test]
    fn plans_converge(
        need in 1_u32..40,
        kinds in proptest::collection::vec((0_usize..3, 0_u8..3, any::<bool>(), 0.5_f64..6.0, 1_u32..5), 1..12),
    ) {
        let mut cloud = Cloud::new();
        cloud.offers = kinds.iter().map(|(zone, class, reclaimable, per_hour, capacity)| Offer {
            kind: Kind {
                class: format!("g{class}").into(),
                ..kind(ZONES[*zone], if *reclaimable { Market::Reclaimable } else { Market::OnDemand })
            },
            per_hour: *per_hour,
            capacity: *capacity,
        }).collect();
        cloud.run(need, 30);
        let last = cloud.run(need, 1);
        prop_assert_eq!(last.orders, vec![]);
        let total: u32 = cloud.instances.iter().map(|instance| {
            cloud.offers.iter().rfind(|offer| offer.kind == instance.kind).expect("a price").capacity
        }).sum();
        prop_assert!(total >= need);
    }
}
