//! Chooses zones, machine classes and markets for a pool's instances.
//!
//! *Pattern*: reclaimable instances are cheap, differ in price by zone and class, go a zone at a
//! time, and are refused just then. *Without it*: a pool bought where it is cheapest is lost whole;
//! one bought by halves costs double; one that follows each price restarts all day, paying for
//! instances that load models. *How*: the cheapest set that carries the demand without any one
//! zone. What exists counts as a little cheaper, so that only a lasting gain moves work. A refused
//! kind isn't counted on for a while: the next cheapest takes its place, on-demand if need be, and
//! when it is granted again it is the on-demand instances that are too many. They are stopped only
//! once what replaces them is live, and has been for a while. Ground of the capacity rule: with Z
//! equal zones, Z/(Z-1) of the demand survives a zone's loss, half as much again for three.
//!
//! The plan follows from prices, demand and what exists; only refusals and the time since when
//! something is too many are remembered. Cost: at most 65 passes over zones times kinds.

mod fill;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Time;
use smol_str::SmolStr;

use crate::configs::mix::Config;

use self::fill::Tier;

/// Where and as what an instance is had.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// Its zone.
    pub zone: SmolStr,
    /// Its machine class.
    pub class: SmolStr,
    /// How it is paid.
    pub market: Market,
}

/// How an instance is paid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Market {
    /// Cheap, and taken back on seconds of notice.
    Reclaimable,
    /// Dear, and kept.
    OnDemand,
}

/// What the cloud asks for an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// What is offered.
    pub kind: Kind,
    /// Price of an hour, in any currency.
    pub per_hour: f64,
    /// What one can carry, in the unit of the demand.
    pub capacity: u32,
}

/// An instance that exists or was ordered, and isn't leaving. One that was ordered and isn't listed
/// yet must be given too, or it is ordered again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its identity.
    pub id: SmolStr,
    /// What it is.
    pub kind: Kind,
    /// Whether it serves already; if not, it is starting.
    pub live: bool,
}

/// What the cloud is to be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start so many.
    Start(Kind, u32),
    /// Stop this one, gracefully.
    Stop(SmolStr),
}

/// What is to be done, and what will then hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Starts first.
    pub orders: Vec<Order>,
    /// Whether the demand is carried without any one zone once all is live.
    pub survives_zone: bool,
    /// Price of an hour of what is wanted.
    pub per_hour: f64,
}

/// Plans one pool.
#[derive(Debug)]
pub struct Mix {
    config: Config,
    /// Kinds that the cloud refused, with the end of our patience.
    refused: BTreeMap<Kind, Time>,
    /// Instances that are too many, since when.
    surplus: BTreeMap<SmolStr, Time>,
}

impl Mix {
    /// Nothing refused so far.
    pub fn new(config: Config) -> Mix {
        Mix {
            config,
            refused: BTreeMap::new(),
            surplus: BTreeMap::new(),
        }
    }

    /// The cloud had none of that kind: plan again at once, another will take its place.
    pub fn refused(&mut self, now: Time, kind: Kind) {
        self.refused.insert(kind, now + self.config.refusal);
    }

    /// What to do so that `demand` is carried without any one zone at the least price.
    pub fn plan(
        &mut self,
        now: Time,
        demand: u32,
        offers: &[Offer],
        instances: &[Instance],
    ) -> Plan {
        self.refused.retain(|_, until| now < *until);
        let market = Listing::new(offers);
        let held = market.held(instances);
        let mut tiers = self.tiers(&market, &held);
        let choice = fill::cheapest(&tiers, market.zones.len(), demand);
        let (old, new) = choice.counts.split_at(held.len());
        let starts = new.iter().zip(tiers.split_off(held.len()));
        let starts: Vec<Order> = starts
            .zip(self.startable(&market))
            .filter(|((count, _), _)| **count > 0)
            .map(|((count, _), offer)| Order::Start(offer.kind.clone(), *count))
            .collect();
        let pending = !starts.is_empty() || instances.iter().any(|instance| !instance.live);
        let survives_zone = choice.without_one >= u64::from(demand);
        let stops = self.stops(now, &held, old, pending || !survives_zone);
        Plan {
            per_hour: self.price(&market, &held, &choice.counts),
            orders: starts.into_iter().chain(stops).collect(),
            survives_zone,
        }
    }

    /// First what exists, by kind, then what can be started.
    fn tiers(&self, market: &Listing, held: &[Held]) -> Vec<Tier> {
        let old = held.iter().map(|held| Tier {
            price: held.offer.per_hour * (1.0 - self.config.stay),
            count: Some(held.instances.len() as u32),
            ..market.tier(held.offer)
        });
        let new = self.startable(market).map(|offer| market.tier(offer));
        old.chain(new).collect()
    }

    fn startable<'a>(&self, market: &Listing<'a>) -> impl Iterator<Item = &'a Offer> {
        let refused: BTreeSet<Kind> = self.refused.keys().cloned().collect();
        let offers: Vec<&Offer> = market.offers.values().copied().collect();
        offers
            .into_iter()
            .filter(move |offer| !refused.contains(&offer.kind))
    }

    /// Stops what has been too many for long enough, if nothing is in motion.
    fn stops(&mut self, now: Time, held: &[Held], kept: &[u32], in_motion: bool) -> Vec<Order> {
        let extra: BTreeSet<SmolStr> = held
            .iter()
            .zip(kept)
            .flat_map(|(held, kept)| &held.instances[*kept as usize..])
            .map(|instance| instance.id.clone())
            .collect();
        self.surplus.retain(|id, _| extra.contains(id));
        for id in extra {
            self.surplus.entry(id).or_insert(now);
        }
        if in_motion {
            return Vec::new();
        }
        let linger = self.config.linger;
        let due = self
            .surplus
            .iter()
            .filter(|(_, since)| now.since(**since) >= linger);
        due.map(|(id, _)| Order::Stop(id.clone())).collect()
    }

    fn price(&self, market: &Listing, held: &[Held], counts: &[u32]) -> f64 {
        let old = held.iter().map(|held| held.offer);
        let offers = old.chain(self.startable(market));
        let price = |(offer, count): (&Offer, &u32)| offer.per_hour * f64::from(*count);
        offers.zip(counts).map(price).sum()
    }
}

/// Offers by kind, and zones by number.
struct Listing<'a> {
    offers: BTreeMap<&'a Kind, &'a Offer>,
    zones: Vec<&'a SmolStr>,
}

/// Instances of one kind.
struct Held<'a> {
    offer: &'a Offer,
    /// Live ones first, then by name: those at the end are given up first.
    instances: Vec<&'a Instance>,
}

impl<'a> Listing<'a> {
    fn new(offers: &'a [Offer]) -> Listing<'a> {
        let usable = offers.iter().filter(|offer| offer.capacity > 0);
        let zones: BTreeSet<&SmolStr> = offers.iter().map(|offer| &offer.kind.zone).collect();
        Listing {
            offers: usable.map(|offer| (&offer.kind, offer)).collect(),
            zones: zones.into_iter().collect(),
        }
    }

    /// What exists, by kind; an instance whose price isn't known is left alone.
    fn held(&self, instances: &'a [Instance]) -> Vec<Held<'a>> {
        let mut held: BTreeMap<&Kind, Vec<&Instance>> = BTreeMap::new();
        for instance in instances {
            held.entry(&instance.kind).or_default().push(instance);
        }
        let known = held.into_iter().filter_map(|(kind, mut instances)| {
            instances.sort_by_key(|instance| (!instance.live, &instance.id));
            let offer = *self.offers.get(kind)?;
            Some(Held { offer, instances })
        });
        known.collect()
    }

    fn tier(&self, offer: &Offer) -> Tier {
        let zone = self.zones.binary_search(&&offer.kind.zone);
        Tier {
            zone: zone.unwrap_or(0),
            price: offer.per_hour,
            capacity: offer.capacity,
            count: None,
        }
    }
}
