//! Cases that once failed, by what they showed.

use crate::operations::CallKind;
use crate::operations::Operation;
use crate::world;

#[test]
fn planned_stop_waits_for_a_refusal_to_arrive() {
    let mut world = world::CaseWorld::new(11_287_902_179_992_809_657).with_patience();

    world.run(&[
        Operation::Advance(10),
        Operation::Advance(10),
        Operation::Leave(0),
        Operation::Call(44, CallKind::Booking, 0),
        Operation::LeaveAgent(38, 10),
        Operation::Advance(10),
        Operation::Advance(10),
    ]);

    world.check_all_completed();
}
