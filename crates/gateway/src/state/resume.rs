//! Event ids of streams, by which a caller resumes through any gateway.

use std::fmt;
use std::str::FromStr;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use quick_error::quick_error;

const PARTS: usize = 4;
const SEPARATOR: char = '~';

quick_error! {
    /// Reason why a text is not an event id.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ResumeError {
        /// The text does not have the form of an event id.
        Malformed {
            display("Last-Event-ID is not an event id of this system")
        }
    }
}

/// Names the last token that a caller has, and where the next ones are.
///
/// Text form: `TARGET~INCARNATION~ATTEMPT~SEQUENCE`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeToken {
    /// Target that generates.
    pub target: ids::TargetName,
    /// Life of its agent.
    pub incarnation: ids::Incarnation,
    /// Attempt, and so generation.
    pub attempt: ids::AttemptId,
    /// Place of the last token the caller has.
    pub sequence: measures::SequenceNumber,
}

impl fmt::Display for ResumeToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}{SEPARATOR}{}{SEPARATOR}{}{SEPARATOR}{}",
            self.target, self.incarnation, self.attempt, self.sequence
        )
    }
}

impl FromStr for ResumeToken {
    type Err = ResumeError;

    fn from_str(text: &str) -> Result<Self, ResumeError> {
        let parts: Vec<&str> = text.split(SEPARATOR).collect();
        if parts.len() != PARTS {
            return Err(ResumeError::Malformed);
        }

        Ok(Self {
            target: parse_part(parts[0])?,
            incarnation: parse_part(parts[1])?,
            attempt: parse_part(parts[2])?,
            sequence: parse_part(parts[3])?,
        })
    }
}

fn parse_part<T: FromStr>(part: &str) -> Result<T, ResumeError> {
    part.parse().map_err(|_| ResumeError::Malformed)
}
