//! Reclaimable and on-demand replicas, by what is left to carry the work.

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
        reclaimable: standing(reclaimable),
        on_demand: standing(on_demand),
        open,
    }
}

fn standing(count: u32) -> Stock {
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

/// While reclaimable replicas are to be had, dear ones are given back, however many stand there.
#[test]
fn an_open_market_needs_no_on_demand_replicas() {
    let zones = [zone(3, 3, true), zone(3, 3, true), zone(3, 3, true)];
    let wanted = plan(&Config::default(), 2.4, &zones, BOUNDS);
    assert_eq!(on_demand(&wanted), 0);
    assert!(wanted.iter().all(|zone| zone.reclaimable == 3));
}

/// One zone's reclaimable replicas are taken back and the market is dry. Another zone may be next: what
/// would then be left must carry the work until others have started, so on-demand replicas are ordered now.
/// More than that isn't kept for it: they cost five times as much, and a reclaim is announced.
#[test]
fn a_dry_market_is_made_up_for_before_the_next_reclaim() {
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

/// Three zones are reclaimed in a row, and none are to be had anywhere: once a zone's replicas are announced to go,
/// those that remain and those that were ordered by then must carry the work when the ordered ones serve.
#[test]
fn three_reclaims_in_a_row_leave_enough_to_carry_the_work() {
    for busy in [1.5, 2.4, 3.3, 5.0] {
        let mut zones = [zone(6, 0, true), zone(6, 0, true), zone(6, 0, true)];
        for gone in 0..3 {
            for zone in &mut zones {
                zone.open = false;
            }
            zones[gone].reclaimable = standing(0);
            let left: u32 = zones.iter().map(|zone| zone.reclaimable.live).sum();
            let served: u32 = zones.iter().map(|zone| zone.on_demand.live).sum();
            assert!(f64::from(left + served) >= busy * 0.5 || gone == 2);
            let wanted = plan(&Config::default(), busy, &zones, BOUNDS);
            for (zone, wanted) in zones.iter_mut().zip(&wanted) {
                zone.on_demand = standing(wanted.on_demand);
            }
            let after = left + on_demand(&wanted);
            assert!(f64::from(after) >= busy / 0.6, "{busy}: {after}");
        }
    }
}

/// All reclaimable replicas are gone: on-demand ones carry the work alone, those that stand stay.
#[test]
fn on_demand_replicas_carry_the_work_alone() {
    let zones = [zone(0, 0, false), zone(0, 4, false), zone(0, 0, false)];
    let wanted = plan(&Config::default(), 2.4, &zones, BOUNDS);
    assert_eq!(on_demand(&wanted), 4);
    assert_eq!(wanted[1].on_demand, 4);
}

/// Bounds hold for both markets of a zone together, whatever the work asks for.
#[test]
fn no_zone_gets_more_than_it_may() {
    for busy in [0.0, 3.0, 9.0, 50.0] {
        for open in [true, false] {
            let zones = [zone(2, 0, open), zone(6, 0, open), zone(0, 6, true)];
            for wanted in plan(&Config::default(), busy, &zones, BOUNDS) {
                assert!(wanted.reclaimable + wanted.on_demand <= BOUNDS.max);
            }
        }
    }
}

/// A platform without reclaimable replicas still gets the comfortable number.
#[test]
fn one_market_alone_carries_the_work() {
    let bounds = Bounds {
        reclaimable: false,
        ..BOUNDS
    };
    let zones = [zone(0, 0, true), zone(0, 0, true), zone(0, 0, true)];
    let wanted = plan(&Config::default(), 2.4, &zones, bounds);
    assert_eq!(on_demand(&wanted), 8);
}

/// The market opens again and reclaimable replicas start. Those that stood in for them go on until the new
/// ones serve: given back at the order, they left four seconds in which nobody carried the work.
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

/// On-demand replicas fill their zones to the bound when the market opens. Six reclaimable ones more in
/// each would not fit beside them, and the order for those took the others' places four seconds before
/// they served.
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

/// The same number is wanted while replicas start in one zone and serve in another. Given back where
/// they serve, for the price, they were missing until the others had started.
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
