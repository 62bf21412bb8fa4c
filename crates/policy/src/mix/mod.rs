//! Chooses zones, machine classes and markets for a pool's instances.
//!
//! Reclaimable instances are cheap, differ in price by zone and class, are reclaimed a zone at a time, and
//! are refused just then. A pool bought only where it is cheapest is lost whole, one bought in two halves
//! that each suffice costs double, and one that follows each price restarts all day and pays for instances
//! that load models.
//!
//! The plan is the cheapest set that carries the demand without any one zone. Existing instances get a small
//! discount, so that only a lasting gain moves work. A refused kind is excluded for a while: the next
//! cheapest takes its place, on-demand if necessary, and when it is granted again the on-demand instances
//! become surplus. Surplus is stopped only after its replacements have been live for a while. With Z equal
//! zones, Z/(Z-1) of the demand is needed to survive the loss of one: half as much again for three.
//!
//! The plan follows from prices, demand and existing instances; only refusals and the start of each surplus
//! are remembered. Cost: at most 65 passes over zones times kinds.

mod fill;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Time;
use smol_str::SmolStr;

use crate::configs::mix::Config;

use self::fill::Tier;

/// Zone, machine class and market of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// Availability zone.
    pub zone: SmolStr,
    /// Machine class.
    pub class: SmolStr,
    /// Market.
    pub market: Market,
}

/// Pricing of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Market {
    /// Cheap, and reclaimed at seconds of notice.
    Reclaimable,
    /// Expensive, and not reclaimed.
    OnDemand,
}

/// Price and capacity of a kind that the cloud offers.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Offered kind.
    pub kind: Kind,
    /// Price per hour, in any currency.
    pub per_hour: f64,
    /// Capacity of one instance, in the unit of the demand.
    pub capacity: u32,
}

/// An instance that exists or was ordered and isn't leaving. Ordered instances must be included before
/// they are listed, or they are ordered again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Identity.
    pub id: SmolStr,
    /// Kind.
    pub kind: Kind,
    /// Whether the instance serves; if not, it is starting.
    pub live: bool,
}

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start that many instances.
    Start(Kind, u32),
    /// Stop this instance gracefully.
    Stop(SmolStr),
}

/// Orders, and the state that they lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Orders, starts first.
    pub orders: Vec<Order>,
    /// Whether the demand survives the loss of any one zone once all instances are live.
    pub survives_zone_loss: bool,
    /// Price per hour of the planned instances.
    pub per_hour: f64,
}

/// Planner of one pool.
#[derive(Debug)]
pub struct Mix {
    config: Config,
    /// Kinds that the cloud refused, and until when they are excluded.
    refused: BTreeMap<Kind, Time>,
    /// Surplus instances, and since when they are.
    surplus: BTreeMap<SmolStr, Time>,
}

impl Mix {
    /// Creates a planner without refusals.
    pub fn new(config: Config) -> Mix {
        Mix {
            config,
            refused: BTreeMap::new(),
            surplus: BTreeMap::new(),
        }
    }

    /// Records that the cloud refused a kind; the caller should plan again, since another takes its place.
    pub fn refused(&mut self, now: Time, kind: Kind) {
        self.refused.insert(kind, now + self.config.refusal_backoff);
    }

    /// Returns the cheapest orders that carry `demand` without any one zone.
    pub fn plan(
        &mut self,
        now: Time,
        demand: u32,
        offers: &[Offer],
        instances: &[Instance],
    ) -> Plan {
        self.refused.retain(|_, until| now < *until);
        let listing = Listing::new(offers);
        let held = listing.held(instances);
        let mut tiers = self.tiers(&listing, &held);
        let choice = fill::cheapest(&tiers, listing.zones.len(), demand);
        let (existing, added) = choice.counts.split_at(held.len());
        let starts = added.iter().zip(tiers.split_off(held.len()));
        let starts: Vec<Order> = starts
            .zip(self.startable(&listing))
            .filter(|((count, _), _)| **count > 0)
            .map(|((count, _), offer)| Order::Start(offer.kind.clone(), *count))
            .collect();
        let pending = !starts.is_empty() || instances.iter().any(|instance| !instance.live);
        let survives_zone_loss = choice.without_one >= u64::from(demand);
        let stops = self.stops(now, &held, existing, pending || !survives_zone_loss);
        Plan {
            per_hour: self.price(&listing, &held, &choice.counts),
            orders: starts.into_iter().chain(stops).collect(),
            survives_zone_loss,
        }
    }

    /// Returns tiers of existing instances, by kind, followed by those that can be started.
    fn tiers(&self, listing: &Listing, held: &[Held]) -> Vec<Tier> {
        let existing = held.iter().map(|held| Tier {
            price: held.offer.per_hour * (1.0 - self.config.hysteresis),
            count: Some(held.instances.len() as u32),
            ..listing.tier(held.offer)
        });
        let startable = self.startable(listing).map(|offer| listing.tier(offer));
        existing.chain(startable).collect()
    }

    fn startable<'a>(&self, listing: &Listing<'a>) -> impl Iterator<Item = &'a Offer> {
        let refused: BTreeSet<Kind> = self.refused.keys().cloned().collect();
        let offers: Vec<&Offer> = listing.offers.values().copied().collect();
        offers
            .into_iter()
            .filter(move |offer| !refused.contains(&offer.kind))
    }

    /// Returns stops for instances that were surplus long enough, unless changes are in progress.
    fn stops(&mut self, now: Time, held: &[Held], kept: &[u32], in_progress: bool) -> Vec<Order> {
        let excess: BTreeSet<SmolStr> = held
            .iter()
            .zip(kept)
            .flat_map(|(held, kept)| &held.instances[*kept as usize..])
            .map(|instance| instance.id.clone())
            .collect();
        self.surplus.retain(|id, _| excess.contains(id));
        for id in excess {
            self.surplus.entry(id).or_insert(now);
        }
        if in_progress {
            return Vec::new();
        }
        let delay = self.config.surplus_delay;
        let due = self
            .surplus
            .iter()
            .filter(|(_, since)| now.since(**since) >= delay);
        due.map(|(id, _)| Order::Stop(id.clone())).collect()
    }

    fn price(&self, listing: &Listing, held: &[Held], counts: &[u32]) -> f64 {
        let existing = held.iter().map(|held| held.offer);
        let offers = existing.chain(self.startable(listing));
        let price = |(offer, count): (&Offer, &u32)| offer.per_hour * f64::from(*count);
        offers.zip(counts).map(price).sum()
    }
}

/// Offers by kind, and zones by index.
struct Listing<'a> {
    offers: BTreeMap<&'a Kind, &'a Offer>,
    zones: Vec<&'a SmolStr>,
}

/// Existing instances of one kind.
struct Held<'a> {
    offer: &'a Offer,
    /// Live ones first, then by name; those at the end are stopped first.
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

    /// Groups existing instances by kind, without those whose price isn't known.
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
