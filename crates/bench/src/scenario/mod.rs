//! Scenario files, which describe engines, request classes and faults, and the requests drawn
//! from them.

mod arrivals;
mod duration;
mod file;

use std::io;
use std::result;

use quick_error::quick_error;

pub use arrivals::MAX_OUTPUT_TOKENS;
pub use arrivals::OfferedRequest;
pub use arrivals::draw_requests;
pub use duration::DurationText;
pub use file::ClassSection;
pub use file::EngineSection;
pub use file::FaultKind;
pub use file::FaultSection;
pub use file::Scenario;
pub use file::SizeSection;

quick_error! {
    /// Error of reading a scenario.
    #[derive(Debug)]
    pub enum ScenarioError {
        /// The file can't be read.
        Unreadable(error: io::Error) {
            from()
            display("can't read the scenario file: {}", error)
        }
        /// The text is not valid TOML, or a key is unknown or missing.
        Malformed(error: Box<toml::de::Error>) {
            from(error: toml::de::Error) -> (Box::new(error))
            display("can't parse the scenario file: {}", error)
        }
        /// Values are out of range; the message has one line for each.
        OutOfRange(message: Box<str>) {
            display("{}", message)
        }
    }
}

/// Result of reading a scenario.
pub type Result<T> = result::Result<T, ScenarioError>;
