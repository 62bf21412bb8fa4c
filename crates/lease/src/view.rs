//! The membership as one read of all member rows shows it.

use clock::Time;

use crate::holder;

/// All members, as read from the table service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Time at which the read was sent; it shows every row written before.
    pub requested_at: Time,
    /// Rows of live and of lapsed members.
    pub members: Vec<Member>,
}

/// One member's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Incarnation of the member.
    pub id: holder::Id,
    /// Configuration version that the member announced as applied.
    pub applied: u64,
    /// Whether its lease has certainly lapsed, see [`crate::watch`].
    pub lapsed: bool,
}
