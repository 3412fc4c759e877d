//! Versions of a store that may come back from an older copy.
//!
//! After such a return the store has lost its latest writes and assigns their version numbers to
//! others, so that numbers alone order nothing. The store counts its returns in an era, and the
//! pair of era and number orders everything that is derived from the store, also between daemons of
//! which some have not seen the return yet.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::store_version::StoreVersion;
//!
//! let lost = StoreVersion::new(1, 43);
//! let copied = StoreVersion::new(2, 36);
//! assert!(copied > lost);
//! assert!(!copied.continues(lost));
//! ```

use std::fmt;

use acaciabank_protocol::value_type;

/// Era of a store that has never come back from a copy. Stores that do not state an era are in era
/// zero, for which the same holds.
pub const FIRST_ERA: u64 = 1;
/// Bits of a fencing token that hold the number; the bits above hold the era. A store that assigns
/// a thousand numbers a second reaches 2^40 after 34 years, and eras below 2^13 keep tokens within
/// the integers that JSON parsers represent exactly.
const NUMBER_BITS: u32 = 40;

value_type!(
    /// A version of the store: of a row, or of everything that the store holds.
    ///
    /// Versions are ordered by era, then by number: what a daemon has read after a return replaces
    /// what was read before it, whatever the numbers.
    #[derive(Copy, Default, Eq, Hash, PartialOrd, Ord)]
    pub struct StoreVersion {
        /// Number of the returns from older copies that the store has counted.
        pub era: u64,
        /// Number that the store assigned within the era; zero before the first write.
        pub number: u64,
    }
);

impl StoreVersion {
    /// Version before everything that the store has ever held.
    pub const ZERO: Self = Self::new(0, 0);
    /// Version after everything that the store will ever hold.
    pub const MAX: Self = Self::new(u64::MAX, u64::MAX);

    /// Creates a version from its parts.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Whether the changes from `earlier` to this version are a range of one history, so that a
    /// reader that knows `earlier` misses nothing if it is told of all of them.
    pub fn continues(self, earlier: Self) -> bool {
        self.era == earlier.era && self.number >= earlier.number
    }

    /// Whether acknowledged writes may have been lost before this era.
    pub fn is_after_return(self) -> bool {
        self.era > FIRST_ERA
    }

    /// Returns the version as one integer with the same order, for receivers that compare integers.
    pub fn to_fencing_token(self) -> u64 {
        (self.era << NUMBER_BITS) | (self.number & ((1 << NUMBER_BITS) - 1))
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.number)
    }
}
