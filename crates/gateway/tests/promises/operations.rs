//! Operations of a case, and strategies that generate them.

use proptest::prelude::*;

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A generation whose tokens are sent as they arrive.
    Stream,
    /// A generation returned in one reply at its end.
    Buffered,
    /// A booking; only a repeat of it is sent with an idempotency key.
    Booking,
}

/// One operation of a case. An index is taken modulo the number of candidates; without a candidate,
/// the operation does nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Let this many milliseconds pass.
    Advance(u64),
    /// Make a call at a gateway; a generation has one token more than the number says.
    Call(usize, CallKind, u64),
    /// Repeat a booking at a gateway, with the idempotency key that its caller received.
    RepeatBooking(usize, usize),
    /// Close a caller's connection.
    Disconnect(usize),
    /// Resume a disconnected caller's stream at a gateway.
    ResumeStream(usize, usize),
    /// Close a link at both ends and drop its frames in transit.
    CloseLink(usize),
    /// Make a link discard all frames without closing.
    SilenceLink(usize),
    /// Kill a gateway; it restarts after this many milliseconds.
    KillGateway(usize, u64),
    /// Kill an agent and its target; they restart after this many milliseconds.
    KillAgent(usize, u64),
    /// Kill a target but not its agent; it restarts after this many milliseconds.
    KillTarget(usize, u64),
    /// Pause a gateway for this many milliseconds.
    PauseGateway(usize, u64),
    /// Pause an agent for this many milliseconds.
    PauseAgent(usize, u64),
    /// Request a planned stop of an agent; it restarts this many milliseconds after its exit.
    StopAgent(usize, u64),
}

/// Returns a strategy for any operation.
pub fn any_operation() -> impl Strategy<Value = Operation> {
    let index = 0_usize..64;
    let duration_ms = prop_oneof![10_u64..400, 400_u64..6_000, 6_000_u64..40_000];
    let kind = prop_oneof![
        Just(CallKind::Stream),
        Just(CallKind::Buffered),
        Just(CallKind::Booking)
    ];

    prop_oneof![
        6 => duration_ms.clone().prop_map(Operation::Advance),
        8 => (index.clone(), kind, 0_u64..40)
            .prop_map(|(gateway, kind, tokens)| Operation::Call(gateway, kind, tokens)),
        2 => (index.clone(), index.clone())
            .prop_map(|(call, gateway)| Operation::RepeatBooking(call, gateway)),
        2 => index.clone().prop_map(Operation::Disconnect),
        2 => (index.clone(), index.clone())
            .prop_map(|(call, gateway)| Operation::ResumeStream(call, gateway)),
        1 => index.clone().prop_map(Operation::CloseLink),
        1 => index.clone().prop_map(Operation::SilenceLink),
        1 => (index.clone(), duration_ms.clone())
            .prop_map(|(node, ms)| Operation::KillGateway(node, ms)),
        1 => (index.clone(), duration_ms.clone())
            .prop_map(|(node, ms)| Operation::KillAgent(node, ms)),
        1 => (index.clone(), duration_ms.clone())
            .prop_map(|(node, ms)| Operation::KillTarget(node, ms)),
        1 => (index.clone(), duration_ms.clone())
            .prop_map(|(node, ms)| Operation::PauseGateway(node, ms)),
        1 => (index.clone(), duration_ms.clone())
            .prop_map(|(node, ms)| Operation::PauseAgent(node, ms)),
        1 => (index, duration_ms)
            .prop_map(|(node, ms)| Operation::StopAgent(node, ms)),
    ]
}

/// Returns a strategy for operations that kill and pause no process.
///
/// Under these, every caller that stays connected must receive its response.
pub fn recoverable_operation() -> impl Strategy<Value = Operation> {
    let index = 0_usize..64;
    let duration_ms = 10_u64..4_000;
    let kind = prop_oneof![
        Just(CallKind::Stream),
        Just(CallKind::Buffered),
        Just(CallKind::Booking)
    ];

    prop_oneof![
        6 => duration_ms.clone().prop_map(Operation::Advance),
        8 => (index.clone(), kind, 0_u64..40)
            .prop_map(|(gateway, kind, tokens)| Operation::Call(gateway, kind, tokens)),
        2 => index.clone().prop_map(Operation::Disconnect),
        2 => (index.clone(), index.clone())
            .prop_map(|(call, gateway)| Operation::ResumeStream(call, gateway)),
        1 => index.clone().prop_map(Operation::CloseLink),
        1 => index.clone().prop_map(Operation::SilenceLink),
        1 => (index, duration_ms)
            .prop_map(|(node, ms)| Operation::StopAgent(node, ms)),
    ]
}
