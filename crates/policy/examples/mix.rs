//! Cost and restarts of a pool by the preference for existing instances, under random prices.
//!
//! `cargo run --release -p policy --example mix`

use clock::Span;
use clock::Time;
use policy::configs::mix::Config;
use policy::mix::Instance;
use policy::mix::Kind;
use policy::mix::Market;
use policy::mix::Mix;
use policy::mix::Offer;
use policy::mix::Order;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;

const SEEDS: u64 = 10;
const DAYS: u32 = 7;
const MINUTES: u32 = DAYS * 24 * 60;
const DEMAND: u32 = 6;
/// Time that a new instance is paid for before it serves.
const LOADING_MINUTES: u64 = 5;
/// Fraction of the distance to its mean by which a price reverts per minute.
const PULL: f64 = 0.005;
/// Standard deviation of a price's logarithm.
const SWING: f64 = 0.2;

fn main() {
    println!("prefer existing  starts/day  cost/hour  (sd)  against least possible");
    for stay in [0.0, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5] {
        let runs: Vec<Run> = (0..SEEDS).map(|seed| run(stay, seed)).collect();
        let count = runs.len() as f64;
        let mean = |value: fn(&Run) -> f64| runs.iter().map(value).sum::<f64>() / count;
        let cost = mean(|run| run.cost);
        let variance = runs
            .iter()
            .map(|run| (run.cost - cost).powi(2))
            .sum::<f64>()
            / count;
        println!(
            "{stay:15.2}  {:10.1}  {cost:9.3}  {:.2}  {:.3}",
            mean(|run| run.starts),
            variance.sqrt(),
            mean(|run| run.cost / run.lower_bound),
        );
    }
}

/// Results of one simulated week.
struct Run {
    starts: f64,
    cost: f64,
    /// Cost if instances could be moved instantly and free of charge.
    lower_bound: f64,
}

fn run(stay: f64, seed: u64) -> Run {
    let mut random = Pcg32::seed_from_u64(seed);
    let config = Config {
        hysteresis: stay,
        ..Config::default()
    };
    let (mut mix, mut unconstrained) = (Mix::new(config), Mix::new(config));
    let mut offers = offers();
    let means: Vec<f64> = offers.iter().map(|offer| offer.per_hour).collect();
    let mut instances: Vec<(Instance, u64)> = Vec::new();
    let (mut starts, mut cost, mut lower_bound) = (0_u32, 0.0, 0.0);
    for minute in 0..u64::from(MINUTES) {
        for (offer, mean) in offers.iter_mut().zip(&means) {
            offer.per_hour = step(offer, *mean, &mut random);
        }
        let now = Time::ZERO + Span::from_seconds(60 * minute);
        for (instance, since) in &mut instances {
            instance.live = minute >= *since + LOADING_MINUTES;
        }
        let held: Vec<Instance> = instances
            .iter()
            .map(|(instance, _)| instance.clone())
            .collect();
        for order in mix.plan(now, DEMAND, &offers, &held).orders {
            match order {
                Order::Stop(id) => instances.retain(|(instance, _)| instance.id != id),
                Order::Start(kind, count) => {
                    for _ in 0..count {
                        starts += 1;
                        let id = format!("i-{starts}").into();
                        let kind = kind.clone();
                        instances.push((
                            Instance {
                                id,
                                kind,
                                live: false,
                            },
                            minute,
                        ));
                    }
                }
            }
        }
        cost += instances
            .iter()
            .map(|(instance, _)| price(&offers, &instance.kind))
            .sum::<f64>();
        lower_bound += unconstrained.plan(now, DEMAND, &offers, &[]).per_hour;
    }
    Run {
        starts: f64::from(starts) / f64::from(DAYS),
        cost: cost / f64::from(MINUTES),
        lower_bound: lower_bound / f64::from(MINUTES),
    }
}

/// Returns offers for two classes in each of three zones, reclaimable at about a third of
/// on-demand.
fn offers() -> Vec<Offer> {
    let mut offers = Vec::new();
    for zone in ["a", "b", "c"] {
        for class in ["g4", "g5"] {
            for (market, per_hour) in [(Market::Reclaimable, 1.0), (Market::OnDemand, 3.0)] {
                let (zone, class) = (zone.into(), class.into());
                let kind = Kind {
                    zone,
                    class,
                    market,
                };
                offers.push(Offer {
                    kind,
                    per_hour,
                    capacity: 1,
                });
            }
        }
    }
    offers
}

/// Returns the next price; reclaimable ones revert to their mean.
fn step(offer: &Offer, mean: f64, random: &mut Pcg32) -> f64 {
    if offer.kind.market == Market::OnDemand {
        return mean;
    }
    let log = (offer.per_hour / mean).ln();
    // The sum of twelve uniform draws is approximately normal.
    let normal = (0..12).map(|_| random.random_range(-0.5..0.5)).sum::<f64>();
    mean * (log * (1.0 - PULL) + normal * SWING * (2.0 * PULL).sqrt()).exp()
}

fn price(offers: &[Offer], kind: &Kind) -> f64 {
    let offer = offers.iter().find(|offer| offer.kind == *kind);
    offer.map_or(0.0, |offer| offer.per_hour)
}
