//! Ablation: each module off in turn, on the pattern that it addresses.

use policy::configs::scheduler::Settings;

use crate::support::engine::Health;
use crate::support::load::Pattern;
use crate::support::patterns;
use crate::support::variant::Variant;
use crate::table;

/// A module, its pattern, and how to turn the module off.
struct Case {
    module: &'static str,
    pattern: Pattern,
    off: fn(&mut Settings),
}

/// Prints two rows for each module: on and off.
pub fn print(seeds: u64, prefix: &str) {
    println!("\nEach module off in turn, on the pattern that it answers.\n");
    table::head("module, pattern", "state");
    for case in cases() {
        if !case.module.starts_with(prefix) {
            continue;
        }
        let mut settings = Settings::default();
        (case.off)(&mut settings);
        let name = format!("{}, {}", case.module, case.pattern.name);
        let on = table::runs(&Variant::scheduler(), &case.pattern, seeds);
        let off = table::runs(
            &Variant::Scheduler(Box::new(settings)),
            &case.pattern,
            seeds,
        );
        table::row(&name, "on", &on);
        table::row(&name, "off", &off);
    }
}

fn cases() -> Vec<Case> {
    let case = |module, pattern, off| Case {
        module,
        pattern,
        off,
    };
    vec![
        case("admission", patterns::burst(), |settings| {
            settings.admission.enabled = false
        }),
        case("fair", patterns::hot_caller(), |settings| {
            settings.fair.enabled = false
        }),
        case("size", patterns::long_among_short(), |settings| {
            settings.size.enabled = false
        }),
        case("brownout", patterns::priorities(), |settings| {
            settings.brownout.enabled = false
        }),
        case("retry", patterns::outage(), |settings| {
            settings.retry.enabled = false
        }),
        case("limit", patterns::limited(), |settings| {
            settings.limit.enabled = false
        }),
        case("slots", patterns::overload("overload-2", 2.0), |settings| {
            settings.slots.enabled = false;
        }),
        case("concurrency", patterns::tight_gap(), |settings| {
            settings.placement.concurrency = false;
        }),
        case("affinity", patterns::hot_key(), |settings| {
            settings.placement.affinity = false
        }),
        case(
            "health",
            patterns::slow_replica(Health::Slow(6.0), "slow-replica"),
            |settings| {
                settings.placement.health = false;
            },
        ),
        case(
            "health",
            patterns::slow_replica(Health::Frozen, "frozen-replica"),
            |settings| {
                settings.placement.health = false;
            },
        ),
        case("quarantine", patterns::killer(), |settings| {
            settings.placement.quarantine = false
        }),
        case("warmup", patterns::cold_return(), |settings| {
            settings.placement.warmup = false
        }),
        case("wave", patterns::zone_reclaim(), |settings| {
            settings.placement.wave = false
        }),
    ]
}
