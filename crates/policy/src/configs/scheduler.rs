//! Settings of [`crate::scheduler`].

use crate::configs::admission;
use crate::configs::affinity;
use crate::configs::brownout;
use crate::configs::concurrency;
use crate::configs::contention;
use crate::configs::division;
use crate::configs::fair;
use crate::configs::health;
use crate::configs::limit;
use crate::configs::pace;
use crate::configs::placement;
use crate::configs::quarantine;
use crate::configs::retry;
use crate::configs::size;
use crate::configs::slots;
use crate::configs::speed;
use crate::configs::warmup;
use crate::configs::wave;

/// Settings of the modules that the scheduler composes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settings {
    /// Admission control: predicted wait and bounded queue.
    pub admission: admission::Config,
    /// Prefix affinity.
    pub affinity: affinity::Config,
    /// Load shedding by priority and share.
    pub brownout: brownout::Config,
    /// Load estimates and limits of replicas.
    pub concurrency: concurrency::Config,
    /// Jobs that give way where slots are divided.
    pub contention: contention::Config,
    /// Slots divided among more entries than a replica has slots.
    pub division: division::Config,
    /// Fair queueing.
    pub fair: fair::Config,
    /// Ejection of unhealthy replicas.
    pub health: health::Config,
    /// Account limits.
    pub limit: limit::Config,
    /// Rate limits set by replicas.
    pub pace: pace::Config,
    /// Choice of replica.
    pub placement: placement::Config,
    /// Quarantine of requests that crash replicas.
    pub quarantine: quarantine::Config,
    /// Retries, and retry times of refused callers.
    pub retry: retry::Config,
    /// Size classes.
    pub size: size::Config,
    /// Slots shared among entries.
    pub slots: slots::Config,
    /// Relative speeds of replicas.
    pub speed: speed::Config,
    /// Warm-up of new replicas.
    pub warmup: warmup::Config,
    /// Moves of running jobs in reclaim waves.
    pub wave: wave::Config,
}
