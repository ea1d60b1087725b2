//! Checks of documents: a valid one without findings, and all findings of invalid ones.

use kingcupfall_document::check;
use kingcupfall_document::reader;
use kingcupfall_document::sections;
use yare::parameterized;

const VALID: &str = include_str!("texts/valid.toml");
const REJECTED: &str = include_str!("texts/rejected.toml");
const BROKEN: &str = include_str!("texts/broken.toml");

#[test]
fn document_valid() {
    let checked = check::check_document(VALID);
    assert_eq!(checked.findings.to_string(), "");

    let summary = check::DocumentSummary::of_document(&checked.document);
    insta::assert_snapshot!(summary);
}

#[test]
fn document_valid_values() {
    let document = check::check_document(VALID).document;
    let written = toml::to_string(&document).unwrap();
    insta::assert_snapshot!(written);
}

#[test]
fn document_rejected() {
    let checked = check::check_document(REJECTED);
    insta::assert_snapshot!(checked.findings);
}

#[test]
fn document_broken_syntax() {
    let checked = check::check_document(BROKEN);
    insta::assert_snapshot!(checked.findings);
}

#[test]
fn document_survives_rewriting() {
    let document = check::check_document(VALID).document;
    let written = toml::to_string(&document).unwrap();

    let reread = check::check_document(&written);

    assert!(reread.findings.is_empty());
    assert_eq!(reread.document, document);
}

#[test]
fn document_too_long() {
    let text = "#".repeat(reader::MAX_TEXT_SIZE.get() as usize + 1);
    let checked = check::check_document(&text);
    insta::assert_snapshot!(checked.findings);
}

#[test]
fn document_with_too_many_findings_counts_the_rest() {
    let text: String = (0..5_000)
        .map(|index| format!("key-{index} = 1\n"))
        .collect();
    let findings = check::check_document(&text).findings;

    assert_eq!(findings.len(), 1_001);
    let last = findings.iter().last().unwrap();
    assert_eq!(&*last.message, "4000 more findings are not listed");
}

#[test]
fn section_text_with_other_section_is_reported() {
    let text = "[models.a]\nversion = \"1\"\nmax_tokens = 1\n[limits.x]\ncalls_per_s = 1.0\n";
    let checked = check::check_section(sections::SectionName::Models, text);
    let expected = "limits: does not belong in the text of section models (line 4, column 2)\n";
    assert_eq!(checked.findings.to_string(), expected);
}

#[test]
fn section_text_with_references_to_other_sections_is_valid() {
    let text = "[limits.x]\ncalls_per_s = 1.0\n";
    let checked = check::check_section(sections::SectionName::Limits, text);
    assert!(checked.findings.is_empty());
}

#[parameterized(
    models = { "[models.a]\nversion = \"1\"\nmax_tokens = 1", "" },
    unknown_model = { "[targets.e]\nkind = \"engine\"\nvm = \"v\"\nzone = \"z\"\nagent = \"[::1]:1\"\nmodels = [\"a\"]", "targets.e.models[0]" },
    unknown_service = { "[targets.e]\nkind = \"service\"\nvm = \"v\"\nzone = \"z\"\nagent = \"[::1]:1\"\nservice = \"a\"", "targets.e.service" },
    unknown_priority_owner = { "[priorities.x]\na = { priority = 1 }", "priorities.x" },
    unknown_limit_owner = { "[limits.x]\ncalls_per_s = 1.0", "limits.x" },
    whole_number_as_rate = { "[organisations.x]\nkey_hashes = []\n[limits.x]\ncalls_per_s = 20", "" },
    section_is_no_table = { "models = 3", "models" },
    entry_is_no_table = { "[models]\na = 3", "models.a" },
    name_with_dot = { "[models.\"a.b\"]\nversion = \"1\"", "models.\"a.b\".max_tokens" },
    name_too_long = { "[organisations.aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]\nkey_hashes = []", "organisations.aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" },
)]
fn document_with_at_most_one_finding(text: &str, path: &str) {
    let findings = check::check_document(text).findings;
    let paths: Vec<&str> = findings.iter().map(|finding| &*finding.path).collect();
    let expected: Vec<&str> = Some(path)
        .filter(|path| !path.is_empty())
        .into_iter()
        .collect();
    assert_eq!(paths, expected);
}
