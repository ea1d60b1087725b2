//! Scenario files: engines, classes of requests, faults, and the arrivals drawn from them.

mod arrivals;
mod duration;
mod file;

use std::io;
use std::result;

use quick_error::quick_error;

pub use arrivals::OUTPUT_LIMIT_TOKENS;
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
    /// Reason why a scenario can't be used.
    #[derive(Debug)]
    pub enum ScenarioError {
        /// The file can't be read.
        Unreadable(error: io::Error) {
            from()
            display("the scenario can't be read: {}", error)
        }
        /// The text is not a scenario.
        Malformed(error: Box<toml::de::Error>) {
            from(error: toml::de::Error) -> (Box::new(error))
            display("{}", error)
        }
        /// A value is outside its range.
        OutOfRange(message: Box<str>) {
            display("{}", message)
        }
    }
}

/// Result of reading a scenario.
pub type Result<T> = result::Result<T, ScenarioError>;
