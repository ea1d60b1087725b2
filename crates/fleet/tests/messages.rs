//! Encoding of messages, and handling of arbitrary and damaged bytes from peers.

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_fleet::messages;
use kingcupfall_fleet::reducer;
use kingcupfall_fleet::validation;
use proptest::collection;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;

fn departures(count: usize) -> messages::FleetMessage {
    let vms = (0..count).map(|index| format!("vm-{index}").parse().unwrap());
    messages::FleetMessage::Departures(vms.collect())
}

fn gateway_reducer() -> reducer::FleetReducer {
    let identity = reducer::FleetIdentity {
        vm: "vm-1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        process: ids::ProcessId::from_u128(1),
        role: reducer::FleetRole::Gateway,
        seed: 1,
    };
    let validator = Box::new(validation::PrefixValidator);
    reducer::FleetReducer::new(identity, validator, time::Timestamp::ZERO)
}

#[test]
fn message_decodes_to_the_encoded_value() {
    let message = departures(messages::MAX_LIST_LENGTH);
    let bytes = messages::encode(&message).unwrap();

    assert_eq!(messages::decode(&bytes), Ok(message));
}

#[test]
fn message_with_a_too_long_list_is_rejected() {
    let bytes = messages::encode(&departures(messages::MAX_LIST_LENGTH + 1)).unwrap();

    let length = messages::MAX_LIST_LENGTH + 1;
    let expected = Err(messages::MessageError::TooLong(length));
    assert_eq!(messages::decode(&bytes), expected);
}

#[test]
fn too_large_message_is_rejected() {
    let length = messages::MAX_MESSAGE_BYTES + 1;

    let expected = Err(messages::MessageError::TooLarge(length));
    assert_eq!(messages::decode(&vec![0; length]), expected);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in collection::vec(any::<u8>(), 0..300)) {
        let _ = messages::decode(&bytes);
    }

    #[test]
    fn reducer_never_panics_on_a_damaged_message(
        at in any::<proptest::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = messages::encode(&departures(20)).unwrap();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let link = ids::LinkId::new(1);
        let event = match messages::decode(&bytes) {
            Ok(message) => reducer::FleetEvent::MessageReceived { link, message },
            Err(_) => reducer::FleetEvent::MalformedReceived { link },
        };

        let mut reducer = gateway_reducer();
        let mut effects = Vec::new();
        let kind = reducer::LinkKind::Incoming;
        let opened = reducer::FleetEvent::LinkOpened { link, kind };
        reducer.apply(time::Timestamp::ZERO, opened, &mut effects);
        reducer.apply(time::Timestamp::ZERO, event, &mut effects);
    }
}
