//! Cases that once failed, by what they showed.

use crate::operations::CallKind;
use crate::operations::Operation;
use crate::world;

#[test]
fn planned_stop_waits_for_a_start_under_way() {
    let operations = [
        Operation::Call(29, CallKind::Stream, 0),
        Operation::Call(31, CallKind::Stream, 0),
        Operation::Call(1, CallKind::Stream, 0),
        Operation::Call(11, CallKind::Booking, 0),
        Operation::LeaveAgent(14, 10),
    ];

    check_mild_case(0, &operations);
}

#[test]
fn planned_stop_waits_for_a_refusal_to_arrive() {
    let operations = [
        Operation::Advance(291),
        Operation::LeaveAgent(23, 10),
        Operation::Call(30, CallKind::Stream, 0),
        Operation::Call(7, CallKind::Booking, 0),
        Operation::Call(8, CallKind::Whole, 0),
        Operation::Advance(50),
    ];

    check_mild_case(13_178_954_627_111_608_656, &operations);
}

#[test]
fn planned_stop_waits_for_a_stalled_hello() {
    let operations = [
        Operation::Advance(20),
        Operation::Leave(0),
        Operation::Call(44, CallKind::Booking, 0),
        Operation::LeaveAgent(38, 10),
        Operation::Advance(20),
    ];

    check_mild_case(11_287_902_179_992_809_657, &operations);
}

#[test]
fn late_word_of_a_takeover_spares_the_caller_who_came_back() {
    let operations = [
        Operation::Call(0, CallKind::Booking, 0),
        Operation::Advance(721),
        Operation::Advance(51),
        Operation::Advance(10),
        Operation::Advance(3_001),
        Operation::Call(0, CallKind::Stream, 17),
        Operation::Advance(191),
        Operation::Leave(0),
        Operation::Resume(0, 7),
        Operation::Leave(0),
        Operation::Resume(0, 14),
        Operation::Advance(10),
    ];

    check_mild_case(12_868_839_044_441_072_496, &operations);
}

fn check_mild_case(seed: u64, operations: &[Operation]) {
    let mut world = world::CaseWorld::new(seed).with_patience();
    world.run(operations);
    world.check_all_completed();
}
