//! Effects that the upgrade reducer asks for.

use kingcupfall_core::engine;
use kingcupfall_core::measures;
use kingcupfall_core::time;

use super::QuestionNumber;
use super::UpgradeNote;

/// One effect.
#[derive(Debug, Clone, PartialEq)]
pub enum UpgradeEffect {
    /// Tell the agents of other targets.
    Announce(UpgradeNote),
    /// Take no new work, finish what runs, then report that the agent is drained.
    Drain,
    /// Ask the engine for its state and check that the exclusive port is still held.
    Prepare {
        /// Number for the answer.
        question: QuestionNumber,
    },
    /// Give the engine an order.
    GiveOrder {
        /// Number for the answer.
        question: QuestionNumber,
        /// Fencing number of the order.
        fencing: measures::FencingNumber,
        /// The order.
        order: engine::EngineOrder,
        /// Time after which it must not be sent. A process that was paused between the check and
        /// the order finds it passed.
        expires_at: time::Timestamp,
    },
    /// Serve again, as a new incarnation.
    Rejoin,
}
