//! Derives the configuration of the reducer and the outbox from the settings.

use std::time::SystemTime;

use clock::Span;
use settings::Settings;
use settings::configs::gateway::Duty;
use smol_str::ToSmolStr;

use crate::configs::outbox;

/// Returns the reducer's part of the settings.
pub fn gateway_settings(settings: &Settings) -> gateway::configs::gateway::Settings {
    let defaults = gateway::configs::gateway::Settings::default();
    let seeds = settings.peers.seeds.iter();
    let options = &settings.gateway;
    gateway::configs::gateway::Settings {
        seeds: seeds.map(|seed| seed.to_smolstr()).collect(),
        entries: options.entries,
        capacity: relative_capacity(&options.processor),
        address_ttl: Span::from_millis(settings.callers.address_ttl_ms),
        grace: Span::from_millis(settings.shutdown.grace_ms),
        repeat_ratio: f64::from(options.repeats_percent) / 100.0,
        repeat_allowance: f64::from(options.repeats_allowed),
        quota: policy::configs::quota::Config {
            // The other half covers charges that other entries haven't reported yet.
            overrun_burst: options.quota_allowance / 2,
            overrun_fraction: decimal("gateway.quota_overrun", &options.quota_overrun)
                .unwrap_or(0.0)
                / 2.0,
            ..defaults.quota
        },
        zero_unix_ms: unix_ms(),
        report_usage: options.duties.contains(&Duty::Usage),
        usage_window: Span::from_millis(options.usage_window_ms),
        usage_delay: Span::from_millis(options.usage_delay_ms),
        order_replicas: options.duties.contains(&Duty::Replicas),
        lease: lease::configs::claim::Settings {
            term: defaults
                .lease
                .term
                .max(Span::from_millis(options.duty_term_ms)),
            ..defaults.lease
        },
        members: member_settings(settings),
        store: store::configs::budget::Settings {
            writes_per_second: f64::from(settings.platform.writes_per_second),
            reads_per_second: f64::from(settings.platform.reads_per_second),
            ..store::configs::budget::Settings::default()
        },
        ..defaults
    }
    .per_entry()
}

/// Returns the outbox's limits for this entry's link.
pub fn outbox_config(settings: &Settings) -> outbox::Config {
    let megabits = decimal("gateway.link_mbps", &settings.gateway.link_mbps);
    let megabits = megabits.filter(|megabits| *megabits > 0.0);
    megabits.map_or_else(outbox::Config::default, outbox::Config::for_link)
}

/// Returns an entry's relative capacity, 1 to 255; 255 is one processor core or more.
fn relative_capacity(processor: &str) -> u8 {
    let share = decimal("gateway.processor", processor);
    share.map_or(u8::MAX, |share| {
        (share * f64::from(u8::MAX)).clamp(1.0, f64::from(u8::MAX)) as u8
    })
}

/// Parses a decimal setting; logs a warning and returns `None` if it is malformed.
fn decimal(option: &str, text: &str) -> Option<f64> {
    let number = text.parse::<f64>();
    if number.is_err() {
        log::warn!(event = "setting_unreadable", option = option, value = text; "");
    }
    number.ok()
}

/// Returns the settings of membership.
fn member_settings(settings: &Settings) -> member::configs::membership::Settings {
    let leases = &settings.leases;
    member::configs::membership::Settings {
        renewal_interval: Span::from_millis(leases.renew_interval_ms),
        renewals_per_term: leases.term_ms / leases.renew_interval_ms.max(1),
        margin: Span::from_millis(leases.margin_ms),
        gossip_interval: Span::from_millis(settings.peers.digest_interval_ms),
        fanout: settings.peers.fan_out as usize,
        ..gateway::configs::gateway::Settings::default().members
    }
}

/// Returns the wall clock time, milliseconds since 1970; read only once, since it may jump.
fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
