//! All settings of [`crate::scheduler`].

use crate::configs::admission::Admission;
use crate::configs::brownout::Brownout;
use crate::configs::fair::Fair;
use crate::configs::limit::Limit;
use crate::configs::placement::Placement;
use crate::configs::retry::Retry;
use crate::configs::size::Size;

/// One part for each module.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Settings {
    /// Prediction and bounded queue.
    pub admission: Admission,
    /// Shedding by priority and share.
    pub brownout: Brownout,
    /// Fair queueing.
    pub fair: Fair,
    /// Account limits.
    pub limit: Limit,
    /// Choice of replica.
    pub placement: Placement,
    /// Retries and returns.
    pub retry: Retry,
    /// Size classes.
    pub size: Size,
}
