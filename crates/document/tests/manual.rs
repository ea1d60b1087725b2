//! Checks the operators' reference of the document: its examples are valid, and it describes every
//! key that they use.

use std::collections::BTreeSet;

use kingcupfall_document::check;
use kingcupfall_document::sections;

const MANUAL: &str = include_str!("../../../docs/operators/document.md");
const FENCE: &str = "```";

/// Returns the TOML examples under the heading of `section`.
fn section_examples(section: sections::SectionName) -> Vec<&'static str> {
    let heading = format!("\n## {section}\n");
    let (_, rest) = MANUAL
        .split_once(&heading)
        .expect("each section has a heading");
    let chapter = rest.split("\n## ").next().unwrap_or(rest);

    let examples = chapter.split("```toml\n").skip(1);
    examples
        .map(|example| example.split(FENCE).next().unwrap_or(example))
        .collect()
}

#[test]
fn each_section_has_valid_examples() {
    for section in sections::SectionName::ALL {
        let examples = section_examples(section);
        assert!(!examples.is_empty(), "{section} has no example");

        for example in examples {
            let findings = check::check_section(section, example).findings;
            assert!(findings.is_empty(), "{findings}");
        }
    }
}

#[test]
fn examples_form_valid_document() {
    let text: String = sections::SectionName::ALL
        .into_iter()
        .flat_map(section_examples)
        .collect();

    let checked = check::check_document(&text);

    assert!(checked.findings.is_empty(), "{}", checked.findings);
}

#[test]
fn keys_of_examples_are_described() {
    let text: String = sections::SectionName::ALL
        .into_iter()
        .flat_map(section_examples)
        .collect();
    let document = check::check_document(&text).document;
    let written = toml::to_string(&document).unwrap();

    let keys: BTreeSet<&str> = written
        .lines()
        .filter_map(|line| line.split_once(" = "))
        .map(|(key, _)| key)
        .collect();

    assert!(keys.len() > 10);
    for key in keys {
        let is_described = MANUAL.lines().any(|line| {
            let cell = line
                .strip_prefix("| `")
                .and_then(|rest| rest.split('`').next());
            cell.is_some_and(|cell| cell == key || cell.ends_with(&format!(".{key}")))
        });
        assert!(is_described, "{key} is not described");
    }
}
