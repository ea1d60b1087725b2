//! Limits on the requests to cold targets, which have just started or lost their caches.

/// Bounds on the requests that a cold target gets in any one second from all relays together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Multiple of the rate that the target tolerates.
    pub overrun: f64,
    /// Requests beyond that.
    pub allowance: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self {
            overrun: 1.0,
            allowance: 0.0,
        }
    }
}
