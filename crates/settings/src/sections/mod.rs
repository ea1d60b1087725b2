//! Sections that the settings of both binaries have.

mod administration;
mod drain;
mod link;
mod log;
mod node;
mod ports;

pub use self::log::LogLevel;
pub use self::log::LogSettings;
pub use administration::AdministrationSettings;
pub use drain::DrainSettings;
pub use link::LinkKey;
pub use link::LinkSettings;
pub use node::NodeSettings;
pub use ports::check_loopback;
pub use ports::report_shared;
