//! What a process concludes from having read all members' rows.

use clock::Time;

use crate::holder;

/// All members, as read from the table service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// When the read was sent: it shows every row written before.
    pub requested_at: Time,
    /// Every row, of live and of lapsed members.
    pub members: Vec<Member>,
}

/// One member's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Which member.
    pub id: holder::Id,
    /// The configuration version it said it had applied.
    pub applied: u64,
    /// Whether its lease has lapsed for certain, see [`crate::watch`].
    pub lapsed: bool,
}
