//! Rates of requests.

use std::fmt;
use std::result;
use std::str::FromStr;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// Result of parsing a rate.
pub type Result<T> = result::Result<T, RateError>;

quick_error! {
    /// Reason why a number or a text is no rate.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RateError {
        /// The text is not a decimal number.
        NotNumeric(text: Box<str>) {
            display("{:?} is not a number", text)
        }
        /// The number is negative, infinite or not a number.
        OutOfRange(number: Box<str>) {
            display("{} is not a rate", number)
        }
    }
}

/// Requests per second; finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate.
    ///
    /// # Errors
    ///
    /// [`RateError::OutOfRange`] for a number that is negative, infinite or not a number.
    pub fn new(per_second: f64) -> Result<Self> {
        match per_second.is_finite() && per_second >= 0.0 {
            true => Ok(Self(per_second)),
            false => Err(RateError::OutOfRange(per_second.to_string().into())),
        }
    }

    /// Returns the number of requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.trim().parse::<f64>();
        Self::new(number.map_err(|_| RateError::NotNumeric(text.into()))?)
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(per_second: f64) -> Result<Self> {
        Self::new(per_second)
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.per_second()
    }
}
