//! Revisions of rows across eras of the table service.
//!
//! A service restored from a backup assigns revision numbers again. Compared by number alone, new rows would
//! look like old ones, and a check could pass on a row that its writer never read.

/// Bits of a packed revision that hold the number; the era is above them.
const NUMBER_BITS: u32 = 48;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// A revision qualified by its era. In packed form, a later era always compares greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// Incremented whenever the service has lost acknowledged writes; less than 65,536.
    pub era: u64,
    /// The service's own number, which increases within an era.
    pub number: u64,
}

impl Revision {
    /// Packs the revision into the form that is stored and compared.
    pub const fn packed(self) -> u64 {
        self.era << NUMBER_BITS | self.number & NUMBER_MASK
    }

    /// Unpacks a revision.
    pub const fn unpacked(packed: u64) -> Revision {
        Revision {
            era: packed >> NUMBER_BITS,
            number: packed & NUMBER_MASK,
        }
    }

    /// Returns whether one packed revision is from an older era than another.
    pub const fn is_of_older_era(packed: u64, than: u64) -> bool {
        Revision::unpacked(packed).era < Revision::unpacked(than).era
    }
}
