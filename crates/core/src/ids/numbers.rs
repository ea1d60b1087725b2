//! Numbers that are unique within one life of a process.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

macro_rules! process_number {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Makes an id from its number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

process_number! {
    /// A link between two processes, numbered by the process that uses the number.
    LinkId
}
process_number! {
    /// A call of a caller, numbered by its gateway.
    CallId
}
