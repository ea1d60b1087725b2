//! Sections that the settings of gateways and agents have in common.

mod addresses;
mod administration;
mod drain;
mod link;
mod log;
mod node;

pub use self::log::LogLevel;
pub use self::log::LogSettings;
pub use addresses::check_loopback;
pub use addresses::report_duplicate_addresses;
pub use administration::AdministrationSettings;
pub use drain::DrainSettings;
pub use link::LinkKey;
pub use link::LinkSettings;
pub use node::NodeSettings;
