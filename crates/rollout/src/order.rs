//! An operator's order to change a service's version.

use clock::Span;
use smol_str::SmolStr;

/// An order to move a service's traffic to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: SmolStr,
    /// The new version.
    pub to: SmolStr,
    /// Deadline, counted from the order.
    pub within: Span,
    /// Identifies the order: the revision that wrote it.
    pub revision: u64,
}
