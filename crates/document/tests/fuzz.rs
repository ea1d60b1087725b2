//! Property tests with arbitrary and mutated texts: reading never panics, and the number of
//! findings is bounded.

use kingcupfall_document::check;
use kingcupfall_document::sections;
use proptest::prelude::*;
use proptest::test_runner;

const VALID: &str = include_str!("texts/valid.toml");

/// Upper bound for the findings of one text, including those about references between sections.
const MAX_FINDINGS: usize = 2_000;

/// One change of a text; positions and lengths count characters.
#[derive(Debug, Clone)]
enum TextMutation {
    Remove {
        position: usize,
        length: usize,
    },
    Insert {
        position: usize,
        piece: String,
    },
    Copy {
        position: usize,
        length: usize,
        to: usize,
    },
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(0x6b63_6601),
        ..ProptestConfig::default()
    }
}

fn any_piece() -> impl Strategy<Value = String> {
    let tokens = prop::sample::select(vec![
        "[",
        "]",
        "[[",
        "]]",
        "{",
        "}",
        "=",
        ".",
        ",",
        "\"",
        "'",
        "\"\"\"",
        "\n",
        "#",
        "\\u00zz",
        "1e999",
        "-1",
        "nan",
        "0x",
        "2026-05-01",
        "true",
        "models",
        "targets",
        "\u{feff}",
        "é",
    ]);
    prop_oneof![
        tokens.prop_map(String::from),
        any::<String>(),
        "[a-z.=\\[\\]{}\"\n]{0,20}",
    ]
}

fn any_mutation() -> impl Strategy<Value = TextMutation> {
    let position = 0..VALID.len();
    prop_oneof![
        (position.clone(), 0..80usize)
            .prop_map(|(position, length)| TextMutation::Remove { position, length }),
        (position.clone(), any_piece())
            .prop_map(|(position, piece)| TextMutation::Insert { position, piece }),
        (position.clone(), 0..200usize, position).prop_map(|(position, length, to)| {
            TextMutation::Copy {
                position,
                length,
                to,
            }
        }),
    ]
}

fn apply_mutation(text: &str, mutation: &TextMutation) -> String {
    let mut characters: Vec<char> = text.chars().collect();
    let end = characters.len();

    match mutation {
        TextMutation::Remove { position, length } => {
            let start = (*position).min(end);
            characters.drain(start..(start + length).min(end));
        }
        TextMutation::Insert { position, piece } => {
            let start = (*position).min(end);
            characters.splice(start..start, piece.chars());
        }
        TextMutation::Copy {
            position,
            length,
            to,
        } => {
            let start = (*position).min(end);
            let piece = characters[start..(start + length).min(end)].to_vec();
            let to = (*to).min(end);
            characters.splice(to..to, piece);
        }
    }
    characters.into_iter().collect()
}

fn assert_findings_bounded(text: &str) {
    let document_check = check::check_document(text);
    assert!(document_check.findings.len() <= MAX_FINDINGS);

    for section in sections::SectionName::ALL {
        let section_check = check::check_section(section, text);
        assert!(section_check.findings.len() <= MAX_FINDINGS);
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_text_has_bounded_findings(text in any::<String>()) {
        assert_findings_bounded(&text);
    }

    #[test]
    fn text_of_tokens_has_bounded_findings(pieces in prop::collection::vec(any_piece(), 0..40)) {
        assert_findings_bounded(&pieces.concat());
    }

    #[test]
    fn mutated_text_has_bounded_findings(mutations in prop::collection::vec(any_mutation(), 1..8)) {
        let text = mutations.iter().fold(String::from(VALID), |text, mutation| {
            apply_mutation(&text, mutation)
        });
        assert_findings_bounded(&text);
    }

    #[test]
    fn text_without_findings_survives_rewriting(
        mutations in prop::collection::vec(any_mutation(), 1..3),
    ) {
        let text = mutations.iter().fold(String::from(VALID), |text, mutation| {
            apply_mutation(&text, mutation)
        });

        let checked = check::check_document(&text);
        if checked.findings.is_empty() {
            let written = toml::to_string(&checked.document).unwrap();
            let reread = check::check_document(&written);
            prop_assert!(reread.findings.is_empty(), "{}", reread.findings);
            prop_assert_eq!(reread.document, checked.document);
        }
    }
}
