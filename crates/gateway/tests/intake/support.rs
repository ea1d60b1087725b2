//! Test fixture: an operator document, and the context in which requests are parsed.

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::time;
use kingcupfall_document::check;
use kingcupfall_document::sections;
use kingcupfall_gateway::intake;

/// Bearer key of the organisation `exaustao`.
pub const BEARER_KEY: &str = "key-of-exaustao";

const DOCUMENT_TEXT: &str = r#"
[models.report]
version = "7"
max_tokens = 200

[targets.engine-1]
kind = "engine"
models = ["report"]
vm = "vm-1"
zone = "a"
agent = "127.0.0.1:1"

[targets.bookings-1]
kind = "service"
service = "bookings"
vm = "vm-2"
zone = "a"
agent = "127.0.0.1:2"

[targets.records-1]
kind = "service"
service = "records"
vm = "vm-3"
zone = "a"
agent = "127.0.0.1:3"

[priorities.exaustao.report]
priority = 5

[services.bookings]
repeatable_paths = ["lookups", "crews/free"]

[services.records]
"#;

/// Document and signing key that requests are parsed with.
pub struct IntakeFixture {
    document: sections::OperatorDocument,
    signing_key: keys::SigningKey,
}

impl IntakeFixture {
    /// Creates the fixture; its document has one engine, two services and one organisation.
    pub fn new() -> Self {
        let hash = keys::KeyHash::of_key(BEARER_KEY);
        let text = format!(
            "{DOCUMENT_TEXT}\n[organisations.exaustao]\nkey_hashes = [\"{hash}\"]\nweight = 3\n"
        );
        let checked = check::check_document(&text);
        assert!(checked.findings.is_empty(), "{}", checked.findings);

        Self {
            document: checked.document,
            signing_key: keys::SigningKey::new(b"signing secret of the tests"),
        }
    }

    /// Returns the operator document.
    pub fn document(&self) -> &sections::OperatorDocument {
        &self.document
    }

    /// Returns the context to parse requests with, whose start deadline is at 60 s.
    pub fn context(&self) -> intake::IntakeContext<'_> {
        intake::IntakeContext {
            document: &self.document,
            signing_key: &self.signing_key,
            start_deadline: time::Timestamp::from_micros(60_000_000),
        }
    }

    /// Returns the organisation `exaustao` as an authenticated caller.
    pub fn caller(&self) -> intake::CallerIdentity {
        let authorization = format!("Bearer {BEARER_KEY}");
        let head = intake::RequestHead {
            authorization: Some(&authorization),
            ..intake::RequestHead::default()
        };
        intake::authenticate(&self.document, &head).unwrap()
    }

    /// Returns a signed idempotency key for `target` and callers of `organisation`.
    pub fn signed_key(&self, target: &str, organisation: &str) -> Box<str> {
        let key = keys::IdempotencyKey {
            target: target.parse().unwrap(),
            incarnation: ids::Incarnation::from_u128(1),
            expires_at: time::Timestamp::from_micros(1),
            nonce: ids::Nonce::from_u128(2),
        };
        self.signing_key.sign(&key, &organisation.parse().unwrap())
    }
}
