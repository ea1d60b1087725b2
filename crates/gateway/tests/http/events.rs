//! Decoding of server-sent events on the caller's side.

use serde_json::Value;

/// The events of one stream, with the tokens of all events joined.
///
/// The number of tokens in one event depends on thread timing, so snapshots hold the joined tokens.
#[derive(Debug, Default)]
pub struct StreamText {
    /// Index of the first token.
    pub first: Option<u64>,
    /// All tokens in order.
    pub tokens: Vec<String>,
    /// Id of the last event that had one.
    pub last_id: Option<String>,
    /// Name and data of the last event.
    pub end: Option<(String, Value)>,
}

impl StreamText {
    /// Parses the events in `body`, and checks that their indexes and ids are consecutive.
    pub fn parse(body: &str) -> Self {
        let mut stream = Self::default();
        for event in body.split_terminator("\n\n") {
            stream.push_event(event);
        }
        stream
    }

    /// Parses the events of a truncated stream, without the last event if that is incomplete.
    pub fn parse_complete_events(body: &str) -> Self {
        let end = body.rfind("\n\n").map_or(0, |index| index + 2);
        Self::parse(&body[..end])
    }

    /// Renders the stream for a snapshot.
    pub fn render(&self) -> String {
        let end = self.end.as_ref();
        format!(
            "first: {:?}\ntokens: {:?}\nlast id: {}\nend: {}",
            self.first,
            self.tokens,
            self.last_id.as_deref().unwrap_or("none"),
            end.map_or("none".into(), |(name, data)| format!("{name} {data}")),
        )
    }

    fn push_event(&mut self, event: &str) {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let Some(name) = field("event: ") else {
            assert!(event.starts_with(':'), "not an event: {event:?}");
            return;
        };
        let data: Value = serde_json::from_str(field("data: ").unwrap()).unwrap();
        if name != "tokens" {
            self.end = Some((name.into(), data));
            return;
        }

        assert!(self.end.is_none(), "tokens after the end");
        let index = data["index"].as_u64().unwrap();
        let first = *self.first.get_or_insert(index);
        assert_eq!(
            index,
            first + self.tokens.len() as u64,
            "tokens out of order"
        );
        let tokens = data["tokens"].as_array().unwrap();
        self.tokens
            .extend(tokens.iter().map(|token| token.as_str().unwrap().into()));

        let id = field("id: ").expect("tokens have an id");
        let last = first + self.tokens.len() as u64 - 1;
        assert!(
            id.ends_with(&format!("~{last}")),
            "{id} is not of token {last}"
        );
        self.last_id = Some(id.into());
    }
}
