//! All settings of [`crate::scheduler`].

use crate::configs::admission;
use crate::configs::affinity;
use crate::configs::brownout;
use crate::configs::concurrency;
use crate::configs::fair;
use crate::configs::health;
use crate::configs::limit;
use crate::configs::pace;
use crate::configs::placement;
use crate::configs::quarantine;
use crate::configs::retry;
use crate::configs::size;
use crate::configs::slots;
use crate::configs::warmup;
use crate::configs::wave;

/// One part for each module.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settings {
    /// Prediction and bounded queue.
    pub admission: admission::Config,
    /// Equal prefixes to equal replicas.
    pub affinity: affinity::Config,
    /// Shedding by priority and share.
    pub brownout: brownout::Config,
    /// Load estimates and limits of replicas.
    pub concurrency: concurrency::Config,
    /// Fair queueing.
    pub fair: fair::Config,
    /// Ejection of replicas.
    pub health: health::Config,
    /// Account limits.
    pub limit: limit::Config,
    /// Replicas that name limits.
    pub pace: pace::Config,
    /// Choice of replica.
    pub placement: placement::Config,
    /// Killer requests.
    pub quarantine: quarantine::Config,
    /// Retries and returns.
    pub retry: retry::Config,
    /// Size classes.
    pub size: size::Config,
    /// Slots shared among entries.
    pub slots: slots::Config,
    /// New replicas.
    pub warmup: warmup::Config,
    /// Reclaim waves.
    pub wave: wave::Config,
}
