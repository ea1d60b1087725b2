//! Events cut out of bytes, however these come in.

use kingcupfall_relay::protocol;
use proptest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nweight-versions: 3\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

fn collect(parts: &[&[u8]]) -> Vec<protocol::StreamEvent> {
    let mut parser = protocol::EventParser::default();
    let mut events = Vec::new();
    for part in parts {
        parser.push(part);
        while let Some(event) = parser.next_event() {
            events.push(event);
        }
    }
    events
}

#[test]
fn next_event_half_an_event_is_held_back() {
    let mut parser = protocol::EventParser::default();
    parser.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(parser.next_event().unwrap().id, Some(1));
    assert_eq!(parser.next_event(), None);
    assert!(parser.has_rest());
}

proptest! {
    #[test]
    fn next_event_any_split_gives_the_same(split in 0..STREAM.len(), second in 0..STREAM.len()) {
        let (low, high) = (split.min(second), split.max(second));
        let events = collect(&[&STREAM[..low], &STREAM[low..high], &STREAM[high..]]);
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        let bytes: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(ids, vec![Some(1), Some(2), Some(3)]);
        prop_assert_eq!(bytes, STREAM);
    }
}
