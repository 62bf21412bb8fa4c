//! The operator's order.

use clock::Span;
use smol_str::SmolStr;

/// Move a service's traffic to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Which service.
    pub service: SmolStr,
    /// The version.
    pub to: SmolStr,
    /// How long it may take, from the order on.
    pub within: Span,
    /// Names the order: the revision at which it was written.
    pub revision: u64,
}
