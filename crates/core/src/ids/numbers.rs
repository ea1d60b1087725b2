//! Numeric ids that are unique within one incarnation of a process.

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
            /// Creates an id from its number.
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
    /// Id of a link to another process. Each end of a link assigns its own.
    LinkId
}
process_number! {
    /// Id of a call, assigned by the gateway that received it.
    CallId
}
