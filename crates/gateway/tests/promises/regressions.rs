//! Cases that failed before, named after the behaviour that they guard.

use crate::operations::CallKind;
use crate::operations::Operation;
use crate::simulation;

/// Guards against an agent that exits while a start order is in transit: it could not refuse the
/// order, so the gateway could not tell whether the booking ran.
#[test]
fn planned_stop_waits_for_start_order_in_transit() {
    let operations = [
        Operation::Call(29, CallKind::Stream, 0),
        Operation::Call(31, CallKind::Stream, 0),
        Operation::Call(1, CallKind::Stream, 0),
        Operation::Call(11, CallKind::Booking, 0),
        Operation::StopAgent(14, 10),
    ];

    check_recoverable_case(0, &operations);
}

/// Guards against an agent that exits while a refusal is in transit: the refusal was lost, so the
/// gateway could not tell whether the booking ran.
#[test]
fn planned_stop_waits_until_refusal_arrives() {
    let operations = [
        Operation::Advance(291),
        Operation::StopAgent(23, 10),
        Operation::Call(30, CallKind::Stream, 0),
        Operation::Call(7, CallKind::Booking, 0),
        Operation::Call(8, CallKind::Buffered, 0),
        Operation::Advance(50),
    ];

    check_recoverable_case(13_178_954_627_111_608_656, &operations);
}

/// Guards against an agent that exits before the hello of an open link arrives: it did not know the
/// link's gateway, so it did not wait for that gateway's acknowledgement.
#[test]
fn planned_stop_waits_for_stalled_hello() {
    let operations = [
        Operation::Advance(20),
        Operation::Disconnect(0),
        Operation::Call(44, CallKind::Booking, 0),
        Operation::StopAgent(38, 10),
        Operation::Advance(20),
    ];

    check_recoverable_case(11_287_902_179_992_809_657, &operations);
}

/// Guards against a resume order that arrives late and keeps the stream: the caller resumed at one
/// gateway, then at another, and the order of the first stalled until after that of the second. The
/// agent sent the tokens to the gateway that the caller had left, and ended the caller's call as
/// superseded.
#[test]
fn delayed_resume_order_does_not_supersede_later_resumption() {
    let operations = [
        Operation::Call(0, CallKind::Booking, 0),
        Operation::Advance(721),
        Operation::Advance(51),
        Operation::Advance(10),
        Operation::Advance(3_001),
        Operation::Call(0, CallKind::Stream, 17),
        Operation::Advance(191),
        Operation::Disconnect(0),
        Operation::ResumeStream(0, 7),
        Operation::Disconnect(0),
        Operation::ResumeStream(0, 14),
        Operation::Advance(10),
    ];

    check_recoverable_case(12_868_839_044_441_072_496, &operations);
}

fn check_recoverable_case(seed: u64, operations: &[Operation]) {
    let mut simulation = simulation::ClusterSimulation::new(seed).with_long_start_timeouts();
    simulation.run(operations);
    simulation.check_all_completed();
}
