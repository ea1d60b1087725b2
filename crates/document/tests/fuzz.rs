//! Arbitrary and damaged texts: reading never panics and keeps its findings bounded.

use kingcupfall_document::check;
use kingcupfall_document::sections;
use proptest::prelude::*;
use proptest::test_runner;

const VALID: &str = include_str!("texts/valid.toml");

/// Findings that one reading may have, with room for those across sections.
const FINDING_BOUND: usize = 2_000;

/// One change of a text.
#[derive(Debug, Clone)]
enum TextDamage {
    Remove {
        place: usize,
        length: usize,
    },
    Insert {
        place: usize,
        piece: String,
    },
    Copy {
        place: usize,
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

fn any_damage() -> impl Strategy<Value = TextDamage> {
    let place = 0..VALID.len();
    prop_oneof![
        (place.clone(), 0..80usize)
            .prop_map(|(place, length)| TextDamage::Remove { place, length }),
        (place.clone(), any_piece()).prop_map(|(place, piece)| TextDamage::Insert { place, piece }),
        (place.clone(), 0..200usize, place).prop_map(|(place, length, to)| TextDamage::Copy {
            place,
            length,
            to
        }),
    ]
}

fn apply_damage(text: &str, damage: &TextDamage) -> String {
    let mut characters: Vec<char> = text.chars().collect();
    let end = characters.len();

    match damage {
        TextDamage::Remove { place, length } => {
            let start = (*place).min(end);
            characters.drain(start..(start + length).min(end));
        }
        TextDamage::Insert { place, piece } => {
            let start = (*place).min(end);
            characters.splice(start..start, piece.chars());
        }
        TextDamage::Copy { place, length, to } => {
            let start = (*place).min(end);
            let piece = characters[start..(start + length).min(end)].to_vec();
            let to = (*to).min(end);
            characters.splice(to..to, piece);
        }
    }
    characters.into_iter().collect()
}

fn check_bounds(text: &str) {
    let whole = check::check_document(text);
    assert!(whole.findings.len() <= FINDING_BOUND);

    for section in sections::SectionName::ALL {
        let part = check::check_section(section, text);
        assert!(part.findings.len() <= FINDING_BOUND);
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn text_arbitrary(text in any::<String>()) {
        check_bounds(&text);
    }

    #[test]
    fn text_of_tokens(pieces in prop::collection::vec(any_piece(), 0..40)) {
        check_bounds(&pieces.concat());
    }

    #[test]
    fn text_damaged(damages in prop::collection::vec(any_damage(), 1..8)) {
        let text = damages.iter().fold(String::from(VALID), |text, damage| {
            apply_damage(&text, damage)
        });
        check_bounds(&text);
    }

    #[test]
    fn text_without_findings_is_read_whole(damages in prop::collection::vec(any_damage(), 1..3)) {
        let text = damages.iter().fold(String::from(VALID), |text, damage| {
            apply_damage(&text, damage)
        });

        let checked = check::check_document(&text);
        if checked.findings.is_empty() {
            let written = toml::to_string(&checked.document).unwrap();
            let again = check::check_document(&written);
            prop_assert!(again.findings.is_empty(), "{}", again.findings);
            prop_assert_eq!(again.document, checked.document);
        }
    }
}
