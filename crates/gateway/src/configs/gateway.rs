//! Settings of [`crate::gateway::Gateway`].

use clock::Span;
use policy::configs::scheduler;
use smol_str::SmolStr;

/// Times and bounds of one entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of peers to try while no members are known.
    pub seeds: Vec<SmolStr>,
    /// Entries expected; fewer known ones are taken for silent.
    pub entries: u32,
    /// How much this entry can take against others, 1 to 255.
    pub capacity: u8,
    /// How long callers may keep an address answer: short enough that they leave a stopped entry soon.
    pub address_ttl: Span,
    /// From the request to stop until the process must be gone.
    pub grace: Span,
    /// How long rows of servers may be missing after the table service is back: servers whose leases
    /// lapsed meanwhile need a heartbeat to return.
    pub missing_row_grace: Span,
    /// Time between two bulletins.
    pub bulletin_interval: Span,
    /// Repeats allowed for each first attempt, over all entries.
    pub repeat_ratio: f64,
    /// Repeats allowed besides, over all entries and in one window.
    pub repeat_allowance: f64,
    /// Unix time when the process's clock read zero, milliseconds.
    pub zero_unix_ms: u64,
    /// Whether usage is reported.
    pub report_usage: bool,
    /// Length of a window of usage.
    pub usage_window: Span,
    /// Time after a window's end by which it must be reported.
    pub usage_delay: Span,
    /// Whether replicas are ordered.
    pub order_replicas: bool,
    /// The lease of both duties.
    pub lease: lease::configs::claim::Settings,
    /// The choice of replicas.
    pub cover: policy::configs::cover::Config,
    /// Decisions under load.
    pub scheduler: scheduler::Settings,
    /// Sharing of quotas.
    pub quota: policy::configs::quota::Config,
    /// Waiting for the entries that decide on quotas.
    pub charge: policy::configs::charge::Config,
    /// Following the list of servers.
    pub watch: watch::configs::watch::Config,
    /// Membership.
    pub members: member::configs::membership::Settings,
    /// Our share of the table service.
    pub store: store::configs::budget::Settings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            seeds: Vec::new(),
            entries: 8,
            capacity: u8::MAX,
            address_ttl: Span::from_seconds(2),
            grace: Span::from_seconds(8),
            missing_row_grace: Span::from_millis(2_500),
            bulletin_interval: Span::from_millis(250),
            repeat_ratio: 0.15,
            repeat_allowance: 40.0,
            zero_unix_ms: 0,
            report_usage: false,
            usage_window: Span::from_seconds(5),
            usage_delay: Span::from_seconds(10),
            order_replicas: false,
            lease: lease_settings(),
            cover: policy::configs::cover::Config::default(),
            scheduler: scheduler_settings(),
            quota: policy::configs::quota::Config::default(),
            charge: policy::configs::charge::Config::default(),
            watch: watch::configs::watch::Config::default(),
            members: member_settings(),
            store: store::configs::budget::Settings::default(),
        }
    }
}

impl Settings {
    /// Gives this entry its part of what is allowed over all.
    pub fn per_entry(mut self) -> Settings {
        let entries = f64::from(self.entries.max(1));
        self.scheduler.retry.fraction = self.repeat_ratio;
        self.scheduler.retry.max_saved = (self.repeat_allowance / entries).max(1.0);
        self.scheduler.concurrency.entries = self.entries;
        self
    }
}

/// Decisions under load, where they differ from those of entries that serve model calls themselves.
fn scheduler_settings() -> scheduler::Settings {
    let mut settings = scheduler::Settings::default();
    // Quotas are kept by counts over all entries instead.
    settings.limit.enabled = false;
    // Loads of all entries are told several times a second and need no reports of the replicas.
    settings.concurrency.report_decay = Span::from_seconds(1);
    settings.concurrency.herd = 0.0;
    // Parts of a replica's slots say nothing among many entries: 64 slots are less than one for each of 79, and
    // an entry with many callers refused them beside idle replicas. The sums of what all run there do.
    settings.slots.enabled = false;
    // A starting entry meets replicas that have long been warm.
    settings.placement.warmup = false;
    // On once a configuration says that replicas can move runs.
    settings.placement.wave = false;
    settings.wave = wave_settings();
    // A killer crashes replicas as they begin to run it.
    settings.placement.blame_streams = false;
    settings
}

/// Moves of runs between replicas that do all of it themselves.
fn wave_settings() -> policy::configs::wave::Config {
    policy::configs::wave::Config {
        // A call and the request after it, three round trips between zones, and a step of the engine.
        setup: Span::from_millis(12),
        // What was gathered of one wave, a tick of the clock and a late notice.
        margin: Span::from_millis(300),
        // A broken stream that may be resumed goes on elsewhere by itself.
        reruns: false,
        ..policy::configs::wave::Config::default()
    }
}

/// A lease that is back in other hands soon enough that a window's usage is still reported in time.
fn lease_settings() -> lease::configs::claim::Settings {
    lease::configs::claim::Settings {
        term: Span::from_millis(4_000),
        renewal: Span::from_millis(1_300),
        poll: Span::from_millis(1_500),
        margin: Span::from_millis(500),
        longest_gap: Span::from_millis(2_000),
        ..lease::configs::claim::Settings::default()
    }
}

/// Membership among few entries on a fast network: a killed one must not be named to callers for long.
fn member_settings() -> member::configs::membership::Settings {
    member::configs::membership::Settings {
        heartbeat_timeout: Span::from_millis(2_500),
        digest_bytes: 2_048,
        gossip_bytes_per_second: 16_384,
        renewals_per_second: 30,
        // Members of a zone share its reads: what one of them finds it passes on.
        scan_bytes_per_second: 125,
        ..member::configs::membership::Settings::default()
    }
}
