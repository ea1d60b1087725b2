//! Operations that a case is made of.

use proptest::prelude::*;

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A streamed generation.
    Stream,
    /// A whole generation.
    Whole,
    /// A booking without a key of the caller.
    Booking,
}

/// One operation. Indexes are taken modulo what there is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Let time pass, in milliseconds.
    Advance(u64),
    /// Make a call at a gateway.
    Call(usize, CallKind, u64),
    /// Repeat a booking, with the key its caller was given, at a gateway.
    Repeat(usize, usize),
    /// Break a caller's connection.
    Leave(usize),
    /// Resume a stream whose connection is broken, at a gateway.
    Resume(usize, usize),
    /// Close a link.
    CloseLink(usize),
    /// Let a link fall silent.
    Silence(usize),
    /// Kill a gateway; it returns after this many milliseconds.
    KillGateway(usize, u64),
    /// Kill an agent with its target; it returns after this many milliseconds.
    KillAgent(usize, u64),
    /// Kill a target under its agent; it returns after this many milliseconds.
    KillTarget(usize, u64),
    /// Pause a gateway for this many milliseconds.
    PauseGateway(usize, u64),
    /// Pause an agent for this many milliseconds.
    PauseAgent(usize, u64),
    /// Tell an agent to leave; it is replaced after this many milliseconds.
    LeaveAgent(usize, u64),
}

/// Draws one operation.
pub fn operation() -> impl Strategy<Value = Operation> {
    let index = 0_usize..64;
    let span = prop_oneof![10_u64..400, 400_u64..6_000, 6_000_u64..40_000];
    let kind = prop_oneof![
        Just(CallKind::Stream),
        Just(CallKind::Whole),
        Just(CallKind::Booking)
    ];

    prop_oneof![
        6 => span.clone().prop_map(Operation::Advance),
        8 => (index.clone(), kind, 0_u64..40)
            .prop_map(|(gateway, kind, tokens)| Operation::Call(gateway, kind, tokens)),
        2 => (index.clone(), index.clone())
            .prop_map(|(call, gateway)| Operation::Repeat(call, gateway)),
        2 => index.clone().prop_map(Operation::Leave),
        2 => (index.clone(), index.clone())
            .prop_map(|(call, gateway)| Operation::Resume(call, gateway)),
        1 => index.clone().prop_map(Operation::CloseLink),
        1 => index.clone().prop_map(Operation::Silence),
        1 => (index.clone(), span.clone()).prop_map(|(node, span)| Operation::KillGateway(node, span)),
        1 => (index.clone(), span.clone()).prop_map(|(node, span)| Operation::KillAgent(node, span)),
        1 => (index.clone(), span.clone()).prop_map(|(node, span)| Operation::KillTarget(node, span)),
        1 => (index.clone(), span.clone()).prop_map(|(node, span)| Operation::PauseGateway(node, span)),
        1 => (index.clone(), span.clone()).prop_map(|(node, span)| Operation::PauseAgent(node, span)),
        1 => (index, span).prop_map(|(node, span)| Operation::LeaveAgent(node, span)),
    ]
}

/// Draws one operation that must not keep any answer from its caller.
pub fn mild_operation() -> impl Strategy<Value = Operation> {
    let index = 0_usize..64;
    let span = 10_u64..4_000;
    let kind = prop_oneof![
        Just(CallKind::Stream),
        Just(CallKind::Whole),
        Just(CallKind::Booking)
    ];

    prop_oneof![
        6 => span.clone().prop_map(Operation::Advance),
        8 => (index.clone(), kind, 0_u64..40)
            .prop_map(|(gateway, kind, tokens)| Operation::Call(gateway, kind, tokens)),
        2 => index.clone().prop_map(Operation::Leave),
        2 => (index.clone(), index.clone())
            .prop_map(|(call, gateway)| Operation::Resume(call, gateway)),
        1 => index.clone().prop_map(Operation::CloseLink),
        1 => index.clone().prop_map(Operation::Silence),
        1 => (index, span).prop_map(|(node, span)| Operation::LeaveAgent(node, span)),
    ]
}
