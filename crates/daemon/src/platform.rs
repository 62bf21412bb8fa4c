//! Polls the instance list, reclaim notices and prices, and the engines' load and cache events.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use back::cloud::Cloud;
use back::cloud::Price;
use back::engine::CacheEvent;
use back::engine::Engine;
use back::engine::Load;
use back::http_client::HttpClient;
use clock::Span;
use entry::event::Event;
use entry::instance::CacheUpdate;
use entry::instance::Instance;
use entry::instance::Notice;
use policy::mix::Kind;
use policy::mix::Offer;
use policy::replica;
use smol_str::SmolStr;

use crate::fleet_port::market_of;
use crate::link::Link;

/// Kind of an entry in the instance list.
const ENTRY_KIND: &str = "entry";

/// Kind of a model engine in the instance list.
const ENGINE_KIND: &str = "engine";

/// State of an instance in the list that must get no new work.
const LEAVING_STATE: &str = "leaving";

/// Interval between two reads of the prices.
const PRICES_INTERVAL: Duration = Duration::from_secs(60);

/// Millionths in one unit of the currency.
const MICROS_PER_UNIT: f64 = 1_000_000.0;

/// Sequence number of the last cache event received from each engine.
type CachePositions = Rc<RefCell<BTreeMap<SmolStr, u64>>>;

/// Polls the platform until the future is dropped.
///
/// `own` is the advertised caller address of this entry, which identifies its instance in the list.
pub async fn poll(
    link: Rc<Link>,
    client: HttpClient,
    cloud_address: SmolStr,
    own: SmolStr,
    interval: Duration,
) {
    let mut last_notice = 0;
    let positions = CachePositions::default();
    let mut prices = Vec::new();
    let mut next_prices = Instant::now();
    let mut timer = tokio::time::interval(interval);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let cloud = Cloud::new(&client, &cloud_address);
        if Instant::now() >= next_prices
            && let Ok(newest) = cloud.prices().await
        {
            link.send_event(Event::PricesRead(newest.iter().map(offer_of).collect()));
            prices = newest;
            next_prices = Instant::now() + PRICES_INTERVAL;
        }
        if let Ok(notices) = cloud.notices(last_notice).await {
            last_notice = notices
                .iter()
                .map(|notice| notice.seq)
                .fold(last_notice, u64::max);
            let notices = notices.iter().map(notice_of).collect();
            link.send_event(Event::NoticesRead(notices));
        }
        if let Ok(instances) = cloud.instances().await {
            report_own_instance(&link, &instances, &own);
            poll_loads(&link, &client, &instances);
            poll_caches(&link, &client, &instances, &positions);
            let entries = instances
                .iter()
                .filter(|instance| instance.kind == ENTRY_KIND);
            let addresses = entries.map(|instance| instance.address.clone()).collect();
            link.send_event(Event::EntriesRead(addresses));
            let backends = instances
                .iter()
                .filter(|instance| instance.kind != ENTRY_KIND);
            link.send_event(Event::InstancesRead(
                backends
                    .map(|instance| instance_of(instance, &prices))
                    .collect(),
            ));
        }
    }
}

/// Reports this entry's own instance.
fn report_own_instance(link: &Rc<Link>, instances: &[back::cloud::Instance], own: &str) {
    let ours = instances
        .iter()
        .find(|instance| instance.kind == ENTRY_KIND && instance.address == own);
    if let Some(instance) = ours {
        link.send_event(Event::OwnInstanceRead {
            incarnation: instance.incarnation.clone(),
            leaving: instance.state == LEAVING_STATE,
        });
    }
}

/// Reads the load of every engine concurrently.
fn poll_loads(link: &Rc<Link>, client: &HttpClient, instances: &[back::cloud::Instance]) {
    for instance in instances
        .iter()
        .filter(|instance| instance.kind == ENGINE_KIND)
    {
        let link = Rc::clone(link);
        let client = client.clone();
        let address = instance.address.clone();
        let incarnation = instance.incarnation.clone();
        tokio::task::spawn_local(async move {
            if let Ok(load) = Engine::new(&client, &address).load().await {
                let report = report_of(&load);
                link.send_event(Event::LoadRead {
                    incarnation,
                    report,
                });
            }
        });
    }
}

/// Reads the new cache events of every engine concurrently.
fn poll_caches(
    link: &Rc<Link>,
    client: &HttpClient,
    instances: &[back::cloud::Instance],
    positions: &CachePositions,
) {
    let listed = |name: &SmolStr| {
        instances
            .iter()
            .any(|instance| instance.incarnation == *name)
    };
    positions.borrow_mut().retain(|name, _| listed(name));
    for instance in instances
        .iter()
        .filter(|instance| instance.kind == ENGINE_KIND)
    {
        let link = Rc::clone(link);
        let client = client.clone();
        let positions = Rc::clone(positions);
        let address = instance.address.clone();
        let incarnation = instance.incarnation.clone();
        let after = positions.borrow().get(&incarnation).copied().unwrap_or(0);
        tokio::task::spawn_local(async move {
            let read = Engine::new(&client, &address).cache_events(after).await;
            let events: Vec<CacheUpdate> = read
                .unwrap_or_default()
                .iter()
                .filter_map(cache_update_of)
                .collect();
            let Some(last) = events.last() else {
                return;
            };
            positions
                .borrow_mut()
                .insert(incarnation.clone(), last.sequence);
            link.send_event(Event::CacheRead {
                incarnation,
                events,
            });
        });
    }
}

/// Converts a cache event for the reducer.
fn cache_update_of(event: &CacheEvent) -> Option<CacheUpdate> {
    Some(CacheUpdate {
        sequence: event.seq,
        prefix: u64::from_str_radix(&event.prefix, 16).ok()?,
        stored: event.stored,
    })
}

/// Converts an engine's load for the reducer.
fn report_of(load: &Load) -> replica::Report {
    replica::Report {
        running: load.running,
        waiting: load.waiting,
        kv_used: load.kv_used,
        age: Span::from_millis(load.as_of_ms),
    }
}

/// Converts an instance for the reducer.
fn instance_of(instance: &back::cloud::Instance, prices: &[Price]) -> Instance {
    Instance {
        id: instance.id.clone(),
        kind: Kind {
            zone: instance.zone.clone(),
            class: instance.class.clone(),
            market: market_of(&instance.market),
        },
        incarnation: instance.incarnation.clone(),
        address: instance.address.clone(),
        zone: instance.zone.clone(),
        pool: instance.pool.clone(),
        hourly_micros: prices
            .iter()
            .find(|price| {
                price.zone == instance.zone
                    && price.class == instance.class
                    && price.market == instance.market
            })
            .map_or(0, |price| (price.per_hour * MICROS_PER_UNIT) as u64),
        leaving: instance.state == LEAVING_STATE,
    }
}

/// Converts a price for the reducer; each deployment determines an instance's capacity itself.
fn offer_of(price: &Price) -> Offer {
    Offer {
        kind: Kind {
            zone: price.zone.clone(),
            class: price.class.clone(),
            market: market_of(&price.market),
        },
        per_hour: price.per_hour,
        capacity: 1,
    }
}

/// Converts a reclaim notice for the reducer.
fn notice_of(notice: &back::cloud::Notice) -> Notice {
    Notice {
        incarnation: notice.incarnation.clone(),
        time_left: Span::from_millis(notice.deadline_ms),
    }
}
