//! Server-sent events are parsed the same however the stream's bytes are split.

use kingcupfall_relay::protocol;
use proptest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nweight-versions: 3\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

fn parse_events(parts: &[&[u8]]) -> Vec<protocol::StreamEvent> {
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
fn next_event_incomplete_event_is_not_returned() {
    let mut parser = protocol::EventParser::default();
    parser.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(parser.next_event().unwrap().id, Some(1));
    assert_eq!(parser.next_event(), None);
    assert!(parser.has_partial_event());
}

proptest! {
    #[test]
    fn next_event_any_split_returns_the_same_events(
        first in 0..STREAM.len(),
        second in 0..STREAM.len(),
    ) {
        let (low, high) = (first.min(second), first.max(second));
        let events = parse_events(&[&STREAM[..low], &STREAM[low..high], &STREAM[high..]]);
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        let bytes: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(ids, vec![Some(1), Some(2), Some(3)]);
        prop_assert_eq!(bytes, STREAM);
    }
}
