//! Server-sent events as a caller reads them.

use serde_json::Value;

/// The events of one stream, with the batches of tokens joined.
///
/// How many tokens come in one event depends on the machine's threads, so that golden files hold
/// the joined tokens.
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
    /// Reads the events in `body`, and checks that their indexes and ids follow each other.
    pub fn parse(body: &str) -> Self {
        let mut stream = Self::default();
        for event in body.split_terminator("\n\n") {
            stream.push_event(event);
        }
        stream
    }

    /// Reads the events of a stream that broke off, without the one that it broke off in.
    pub fn parse_complete_events(body: &str) -> Self {
        let end = body.rfind("\n\n").map_or(0, |index| index + 2);
        Self::parse(&body[..end])
    }

    /// Writes the stream for a golden file.
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
