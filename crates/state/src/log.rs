//! Terms and positions of a group's replicated log.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Term of a primary. Each promotion uses a higher term than all before it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// Returns the term after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Position of an entry in a group's log: its term and its offset.
///
/// # Invariants
///
/// The derived order compares the term before the offset. This order is correct
/// for accepted entries because each promotion appends an entry at its own term:
/// a log that ends at a higher term contains every accepted entry of all lower
/// terms.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct LogPosition {
    /// Term at which the entry was written.
    pub term: Term,
    /// Offset of the entry; offsets start at one and rise by one.
    pub offset: u64,
}

impl LogPosition {
    /// Position before the first entry of any log.
    pub const START: Self = Self {
        term: Term(0),
        offset: 0,
    };

    /// Builds a position from the number of a term and an offset.
    pub const fn new(term: u64, offset: u64) -> Self {
        Self {
            term: Term(term),
            offset,
        }
    }

    /// Returns whether a log that ends at this position contains the accepted
    /// entry at `other`.
    pub fn reaches(self, other: Self) -> bool {
        self >= other
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.term, self.offset)
    }
}
