//! Counts, sizes, ranks and rates, each a type of its own. Additions and subtractions of counts
//! saturate.

mod rate;

pub use rate::RateError;
pub use rate::RequestRate;

use std::fmt;
use std::num;
use std::ops;
use std::result;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Result of parsing a measure.
pub type Result<T> = result::Result<T, num::ParseIntError>;

macro_rules! count {
    ($(#[$meta:meta])* $name:ident, $inner:ty) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// The value zero.
            pub const ZERO: Self = Self(0);

            /// Creates a value from its number.
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// Returns the number.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the difference, or zero if `other` is larger.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl ops::Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl ops::AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }

        impl FromStr for $name {
            type Err = num::ParseIntError;

            fn from_str(text: &str) -> Result<Self> {
                text.parse().map(Self)
            }
        }
    };
}

count! {
    /// Number of tokens.
    TokenCount, u64
}
count! {
    /// Position of a token in its generation, counted from zero; also a number of tokens.
    SequenceNumber, u64
}
count! {
    /// Size in bytes.
    ByteSize, u64
}
count! {
    /// Priority of a class; a higher number is served first.
    Priority, u8
}
count! {
    /// Share of an organisation in weighted fair queueing.
    Weight, u32
}
count! {
    /// Version of a section of the document; a higher number is newer.
    SectionVersion, u64
}
count! {
    /// Number of an order to an engine. The engine refuses orders whose number is not above that of
    /// the last one it accepted.
    FencingNumber, u64
}
