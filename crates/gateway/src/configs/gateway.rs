//! Settings of [`crate::gateway::Gateway`].

use clock::Span;
use policy::configs::scheduler;
use smol_str::SmolStr;

/// Times and bounds of one entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of peers to contact while no members are known.
    pub seeds: Vec<SmolStr>,
    /// Expected number of entries; missing ones are presumed silent.
    pub entries: u32,
    /// Capacity relative to other entries, 1 to 255.
    pub capacity: u8,
    /// How long callers may cache an address answer: short, so that they leave a stopped entry soon.
    pub address_ttl: Span,
    /// Time from the request to stop until the process must have exited.
    pub grace: Span,
    /// How long the rows of servers may be missing after the table service recovers. Servers whose leases
    /// lapsed in the meantime need a heartbeat to return.
    pub missing_row_grace: Span,
    /// Time between two bulletins.
    pub bulletin_interval: Span,
    /// Retries allowed per first attempt, over all entries.
    pub repeat_ratio: f64,
    /// Retries allowed in addition, over all entries and in one window.
    pub repeat_allowance: f64,
    /// Unix time at the zero of the process's clock, in milliseconds.
    pub zero_unix_ms: u64,
    /// Whether usage is reported.
    pub report_usage: bool,
    /// Length of a usage window.
    pub usage_window: Span,
    /// Time after a window's end by which it must be reported.
    pub usage_delay: Span,
    /// Whether replicas are ordered.
    pub order_replicas: bool,
    /// Lease for both duties.
    pub lease: lease::configs::claim::Settings,
    /// Number and markets of ordered replicas.
    pub cover: policy::configs::cover::Config,
    /// Scheduling.
    pub scheduler: scheduler::Settings,
    /// The part of the offered work that is admitted under overload.
    pub plan: policy::configs::plan::Config,
    /// Sharing of quotas.
    pub quota: policy::configs::quota::Config,
    /// Timeouts of charges at other entries.
    pub charge: policy::configs::charge::Config,
    /// Watch on the list of servers.
    pub watch: watch::configs::watch::Config,
    /// Membership.
    pub members: member::configs::membership::Settings,
    /// This entry's share of the table service.
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
            plan: policy::configs::plan::Config::default(),
            quota: policy::configs::quota::Config::default(),
            charge: policy::configs::charge::Config::default(),
            watch: watch::configs::watch::Config::default(),
            members: member_settings(),
            store: store::configs::budget::Settings::default(),
        }
    }
}

impl Settings {
    /// Reduces limits that hold over all entries to this entry's share.
    pub fn per_entry(mut self) -> Settings {
        let entries = f64::from(self.entries.max(1));
        self.scheduler.retry.fraction = self.repeat_ratio;
        self.scheduler.retry.max_saved = (self.repeat_allowance / entries).max(1.0);
        self.scheduler.concurrency.entries = self.entries;
        self
    }
}

/// Returns the scheduler's settings, where they differ from those of entries that serve model calls
/// themselves.
fn scheduler_settings() -> scheduler::Settings {
    let mut settings = scheduler::Settings::default();
    // Quotas are enforced by counts over all entries instead.
    settings.limit.enabled = false;

    // Entries exchange their loads several times a second and need no reports from replicas.
    settings.concurrency.report_decay = Span::from_seconds(1);
    settings.concurrency.herd = 0.0;
    // With 79 entries, 64 slots are less than one each. Owning slots at a few replicas would keep an entry from
    // those that have its prompts cached, so the sum of all entries' attempts limits them instead.
    settings.slots.enabled = false;
    // A starting entry finds replicas that have long been warm.
    settings.placement.warmup = false;
    // Enabled once a configuration says that replicas can move runs.
    settings.placement.wave = false;
    settings.wave = wave_settings();
    // A poison request crashes replicas as they start to run it, not later in a stream.
    settings.placement.blame_streams = false;
    settings
}

/// Returns the settings for runs that the replicas move among themselves.
fn wave_settings() -> policy::configs::wave::Config {
    policy::configs::wave::Config {
        // A call and the request after it: three round trips between zones and one engine step.
        setup: Span::from_millis(12),
        // Covers collecting one wave of notices, a clock tick and a late notice.
        margin: Span::from_millis(300),
        // A broken stream that may be resumed is retried elsewhere anyway.
        reruns: false,
        ..policy::configs::wave::Config::default()
    }
}

/// Returns lease times that let a successor still report a window's usage in time.
fn lease_settings() -> lease::configs::claim::Settings {
    lease::configs::claim::Settings {
        term: Span::from_millis(4_000),
        renewal_interval: Span::from_millis(1_300),
        poll_interval: Span::from_millis(1_500),
        margin: Span::from_millis(500),
        max_step_gap: Span::from_millis(2_000),
        ..lease::configs::claim::Settings::default()
    }
}

/// Returns membership times for few entries on a fast network: callers must soon stop being sent to a
/// killed one.
fn member_settings() -> member::configs::membership::Settings {
    member::configs::membership::Settings {
        heartbeat_timeout: Span::from_millis(2_500),
        digest_bytes: 2_048,
        gossip_bytes_per_second: 16_384,
        renewals_per_second: 30,
        // Members of a zone share their reads: each passes its results on.
        scan_bytes_per_second: 125,
        ..member::configs::membership::Settings::default()
    }
}
