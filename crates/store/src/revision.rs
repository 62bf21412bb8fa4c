//! Revisions of rows, through all eras of the table service.
//!
//! Failure guarded against: the service comes back from a copy some seconds old and gives numbers out again. By number
//! alone new rows would count as old ones, and a check could hold on a row that its writer never saw.

/// Bits of a packed revision below the era.
const NUMBER_BITS: u32 = 48;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// Where a change stands. Packed into a number, a later era always counts more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// Rises each time that the service has lost what it had acknowledged; below 65,536.
    pub era: u64,
    /// The service's own number, which rises within an era.
    pub number: u64,
}

impl Revision {
    /// The form in which revisions are kept and compared.
    pub const fn packed(self) -> u64 {
        self.era << NUMBER_BITS | self.number & NUMBER_MASK
    }

    /// The parts of a packed revision.
    pub const fn unpacked(packed: u64) -> Revision {
        Revision {
            era: packed >> NUMBER_BITS,
            number: packed & NUMBER_MASK,
        }
    }

    /// Whether one packed revision is of an older era than another.
    pub const fn is_of_older_era(packed: u64, than: u64) -> bool {
        Revision::unpacked(packed).era < Revision::unpacked(than).era
    }
}
