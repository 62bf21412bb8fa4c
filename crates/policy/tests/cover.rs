//! Planned reclaimable and on-demand replicas in reclaims and shortages.

use policy::configs::cover::Config;
use policy::cover::Bounds;
use policy::cover::Stock;
use policy::cover::Wanted;
use policy::cover::Zone;
use policy::cover::plan;

const BOUNDS: Bounds = Bounds {
    min: 1,
    max: 6,
    reclaimable: true,
};

fn zone(reclaimable: u32, on_demand: u32, open: bool) -> Zone {
    Zone {
        price: 1.0,
        reclaimable: serving(reclaimable),
        on_demand: serving(on_demand),
        open,
    }
}

fn serving(count: u32) -> Stock {
    Stock {
        live: count,
        expected: count,
    }
}

fn starting(count: u32) -> Stock {
    Stock {
        live: 0,
        expected: count,
    }
}

fn on_demand(wanted: &[Wanted]) -> u32 {
    wanted.iter().map(|zone| zone.on_demand).sum()
}

/// While reclaimable replicas are available, all on-demand replicas are released.
#[test]
fn an_open_market_needs_no_on_demand_replicas() {
    let zones = [zone(3, 3, true), zone(3, 3, true), zone(3, 3, true)];
    let wanted = plan(&Config::default(), 2.4, &zones, BOUNDS);
    assert_eq!(on_demand(&wanted), 0);
    assert!(wanted.iter().all(|zone| zone.reclaimable == 3));
}

/// One zone's reclaimable replicas are reclaimed and the market has no others. If the next zone is
/// reclaimed too, the rest must carry the work until replacements have started, so on-demand
/// replicas are ordered now, but no more than that: they cost five times as much, and a reclaim is
/// announced.
#[test]
fn on_demand_replicas_prepare_for_the_next_reclaim() {
    let zones = [zone(0, 0, false), zone(3, 0, false), zone(3, 0, false)];
    let wanted = plan(&Config::default(), 2.4, &zones, BOUNDS);
    assert_eq!(on_demand(&wanted), 0, "three are left for 2.4");
    let wanted = plan(&Config::default(), 3.0, &zones, BOUNDS);
    assert_eq!(on_demand(&wanted), 1, "three are left for 3.0");
    let zones = [zone(0, 1, false), zone(0, 0, false), zone(3, 0, false)];
    let wanted = plan(&Config::default(), 2.4, &zones, BOUNDS);
    assert_eq!(on_demand(&wanted), 3);
    assert_eq!(wanted[2].reclaimable, 3, "what is there stays");
}

/// Three zones are reclaimed in a row and the market has no replacements. At each announcement the
/// remaining replicas and those ordered at it must carry the work once the ordered ones serve.
#[test]
fn three_reclaims_in_a_row_leave_enough_to_carry_the_work() {
    for busy in [1.5, 2.4, 3.3, 5.0] {
        let mut zones = [zone(6, 0, true), zone(6, 0, true), zone(6, 0, true)];
        for reclaimed in 0..3 {
            for zone in &mut zones {
                zone.open = false;
            }
            zones[reclaimed].reclaimable = serving(0);
            let left: u32 = zones.iter().map(|zone| zone.reclaimable.live).sum();
            let served: u32 = zones.iter().map(|zone| zone.on_demand.live).sum();
            assert!(f64::from(left + served) >= busy * 0.5 || reclaimed == 2);
            let wanted = plan(&Config::default(), busy, &zones, BOUNDS);
            for (zone, wanted) in zones.iter_mut().zip(&wanted) {
                zone.on_demand = serving(wanted.on_demand);
            }
            let capacity = left + on_demand(&wanted);
            assert!(f64::from(capacity) >= busy / 0.6, "{busy}: {capacity}");
        }
    }
}

/// Without reclaimable replicas, on-demand replicas carry the work alone, and serving ones stay.
#[test]
fn on_demand_replicas_carry_the_work_alone() {
    let zones = [zone(0, 0, false), zone(0, 4, false), zone(0, 0, false)];
    let wanted = plan(&Config::default(), 2.4, &zones, BOUNDS);
    assert_eq!(on_demand(&wanted), 4);
    assert_eq!(wanted[1].on_demand, 4);
}

/// The bounds of a zone hold for both markets together, whatever the load.
#[test]
fn bounds_hold_for_both_markets_together() {
    for busy in [0.0, 3.0, 9.0, 50.0] {
        for open in [true, false] {
            let zones = [zone(2, 0, open), zone(6, 0, open), zone(0, 6, true)];
            for wanted in plan(&Config::default(), busy, &zones, BOUNDS) {
                assert!(wanted.reclaimable + wanted.on_demand <= BOUNDS.max);
            }
        }
    }
}

/// A platform without reclaimable replicas gets enough on-demand ones for the target utilization.
#[test]
fn on_demand_replicas_suffice_without_a_reclaimable_market() {
    let bounds = Bounds {
        reclaimable: false,
        ..BOUNDS
    };
    let zones = [zone(0, 0, true), zone(0, 0, true), zone(0, 0, true)];
    let wanted = plan(&Config::default(), 2.4, &zones, bounds);
    assert_eq!(on_demand(&wanted), 8);
}

/// The market reopens and reclaimable replicas start. Released when those are ordered, the
/// on-demand replicas would leave four seconds in which nothing carries the work.
#[test]
fn on_demand_replicas_stay_until_others_serve() {
    let mut zones = [zone(0, 0, true), zone(0, 4, true), zone(0, 0, true)];
    for zone in &mut zones {
        zone.reclaimable = starting(3);
    }
    let wanted = plan(&Config::default(), 2.4, &zones, BOUNDS);
    assert_eq!(on_demand(&wanted), 4);
    let zones = [zone(3, 0, true), zone(3, 4, true), zone(3, 0, true)];
    let wanted = plan(&Config::default(), 2.4, &zones, BOUNDS);
    assert_eq!(on_demand(&wanted), 0);
}

/// On-demand replicas fill their zones to the bound when the market reopens. Ordering the full
/// number of reclaimable ones beside them would displace on-demand replicas four seconds before the
/// reclaimable ones serve.
#[test]
fn reclaimable_replicas_take_only_the_room_that_is_left() {
    let zones = [zone(0, 6, true), zone(0, 4, true), zone(0, 6, true)];
    let wanted = plan(&Config::default(), 5.3, &zones, BOUNDS);
    assert_eq!(on_demand(&wanted), 9, "{wanted:?}");
    assert!(
        wanted
            .iter()
            .all(|zone| zone.reclaimable + zone.on_demand <= 6)
    );
    assert!(wanted.iter().map(|zone| zone.reclaimable).sum::<u32>() > 0);
}

/// The planned number is unchanged while replicas start in one zone and serve in a dearer one.
/// Released there for the price, they would be missing until the others have started.
#[test]
fn replicas_that_serve_go_before_cheaper_ones_that_start() {
    let dear = Zone {
        price: 2.0,
        ..zone(0, 5, false)
    };
    let cheap = Zone {
        on_demand: starting(6),
        ..zone(0, 0, false)
    };
    let wanted = plan(&Config::default(), 2.9, &[dear, cheap], BOUNDS);
    assert_eq!(wanted[0].on_demand, 5, "{wanted:?}");
}
