//! Acceptance of section texts: which text is active, held or rejected, and the status that
//! operators see.

use kingcupfall_core::measures;
use kingcupfall_document::acceptance;
use kingcupfall_document::sections;

const MODEL: &str = "[models.report]\nversion = \"1\"\nmax_tokens = 100\n";
const OTHER_MODEL: &str = "[models.draft]\nversion = \"1\"\nmax_tokens = 100\n";
const INVALID_MODEL: &str = "[models.report]\nversion = 1\nmax_tokens = 0\n";
const TARGET: &str = "[targets.engine-1]\nkind = \"engine\"\nvm = \"vm-1\"\nzone = \"a\"\n\
                      agent = \"10.0.0.1:7001\"\nmodels = [\"report\"]\n";

fn section_text(
    section: sections::SectionName,
    version: u64,
    text: &str,
) -> acceptance::SectionText {
    acceptance::SectionText {
        section,
        version: measures::SectionVersion::new(version),
        text: text.into(),
    }
}

fn models_text(version: u64, content: &str) -> acceptance::SectionText {
    section_text(sections::SectionName::Models, version, content)
}

fn model_names(state: &acceptance::DocumentAcceptance) -> Vec<String> {
    let names = state.document().models.keys();
    names.map(|name| name.to_string()).collect()
}

fn model_version(state: &acceptance::DocumentAcceptance) -> Option<u64> {
    let id = state.active_id(sections::SectionName::Models)?;
    Some(id.version.get())
}

#[test]
fn offer_higher_version_activates_it() {
    let mut state = acceptance::DocumentAcceptance::default();

    assert_eq!(
        state.offer(models_text(1, MODEL)),
        acceptance::OfferOutcome::Activated
    );
    assert_eq!(
        state.offer(models_text(2, OTHER_MODEL)),
        acceptance::OfferOutcome::Activated
    );

    assert_eq!(model_names(&state), ["draft"]);
}

#[test]
fn offer_lower_or_same_version_changes_nothing() {
    let mut state = acceptance::DocumentAcceptance::default();
    state.offer(models_text(2, MODEL));

    assert_eq!(
        state.offer(models_text(1, OTHER_MODEL)),
        acceptance::OfferOutcome::Outdated
    );
    assert_eq!(
        state.offer(models_text(2, MODEL)),
        acceptance::OfferOutcome::Duplicate
    );

    assert_eq!(model_names(&state), ["report"]);
}

#[test]
fn offer_with_findings_keeps_active_text() {
    let mut state = acceptance::DocumentAcceptance::default();
    state.offer(models_text(1, MODEL));
    state.offer(section_text(sections::SectionName::Targets, 1, TARGET));

    assert_eq!(
        state.offer(models_text(2, INVALID_MODEL)),
        acceptance::OfferOutcome::Rejected
    );

    assert_eq!(model_version(&state), Some(1));
    assert_eq!(model_names(&state), ["report"]);
    assert_eq!(state.document().targets.len(), 1);
}

#[test]
fn offer_between_accepted_and_rejected_activates_only_valid_text() {
    let mut state = acceptance::DocumentAcceptance::default();
    state.offer(models_text(1, MODEL));
    state.offer(models_text(5, INVALID_MODEL));

    assert_eq!(
        state.offer(models_text(3, OTHER_MODEL)),
        acceptance::OfferOutcome::Activated
    );
    assert_eq!(
        state.offer(models_text(4, INVALID_MODEL)),
        acceptance::OfferOutcome::Outdated
    );

    assert_eq!(model_version(&state), Some(3));
}

#[test]
fn offer_different_texts_of_same_version_reports_conflict() {
    let mut forward = acceptance::DocumentAcceptance::default();
    forward.offer(models_text(1, MODEL));
    forward.offer(models_text(1, OTHER_MODEL));
    let mut backward = acceptance::DocumentAcceptance::default();
    backward.offer(models_text(1, OTHER_MODEL));
    backward.offer(models_text(1, MODEL));

    assert_eq!(forward, backward);
    let status = &forward.status()[0];
    assert!(status.conflict.is_some());

    forward.offer(models_text(2, MODEL));
    assert!(forward.status()[0].conflict.is_none());
}

#[test]
fn record_digest_holds_lower_first_text() {
    let mut informed = acceptance::DocumentAcceptance::default();
    informed.offer(models_text(7, MODEL));
    let digest = informed.digest();
    let section = sections::SectionName::Models;

    let mut fresh = acceptance::DocumentAcceptance::default();
    fresh.record_digest(section, &digest[&section]);
    assert_eq!(
        fresh.offer(models_text(5, OTHER_MODEL)),
        acceptance::OfferOutcome::Held
    );
    assert_eq!(model_version(&fresh), None);
    assert_eq!(fresh.outdated_sections(&digest), [section]);

    for missing in informed.texts_missing_from(&fresh.digest()) {
        fresh.offer(missing);
    }
    assert_eq!(model_version(&fresh), Some(7));
    assert!(fresh.outdated_sections(&digest).is_empty());
}

#[test]
fn activate_held_sections_activates_lower_text() {
    let mut informed = acceptance::DocumentAcceptance::default();
    informed.offer(models_text(7, MODEL));
    let section = sections::SectionName::Models;
    let mut fresh = acceptance::DocumentAcceptance::default();
    fresh.record_digest(section, &informed.digest()[&section]);
    fresh.offer(models_text(5, OTHER_MODEL));

    assert_eq!(fresh.held_sections(), [section]);
    fresh.activate_held_sections();

    assert_eq!(model_version(&fresh), Some(5));
    assert_eq!(
        fresh.offer(models_text(6, MODEL)),
        acceptance::OfferOutcome::Activated
    );
}

#[test]
fn record_digest_after_activation_keeps_active_text() {
    let mut informed = acceptance::DocumentAcceptance::default();
    informed.offer(models_text(7, MODEL));
    let section = sections::SectionName::Models;
    let mut state = acceptance::DocumentAcceptance::default();
    state.offer(models_text(5, OTHER_MODEL));

    state.record_digest(section, &informed.digest()[&section]);

    assert_eq!(model_version(&state), Some(5));
    assert_eq!(
        state.offer(models_text(6, MODEL)),
        acceptance::OfferOutcome::Activated
    );
    assert_eq!(
        state.status()[0].awaited,
        Some(measures::SectionVersion::new(7))
    );
}

#[test]
fn dangling_reference_is_reported_until_other_section_arrives() {
    let mut state = acceptance::DocumentAcceptance::default();

    let target = section_text(sections::SectionName::Targets, 1, TARGET);
    assert_eq!(state.offer(target), acceptance::OfferOutcome::Activated);
    let dangling = state.status()[2].dangling.to_string();
    let expected = "targets.engine-1.models[0]: refers to models.report, which is missing \
                    (line 6, column 11)\n";
    assert_eq!(dangling, expected);

    state.offer(models_text(1, MODEL));
    assert!(state.status()[2].dangling.is_empty());
}

#[test]
fn status_of_all_sections() {
    let mut state = acceptance::DocumentAcceptance::default();
    state.offer(models_text(1, OTHER_MODEL));
    state.offer(models_text(3, INVALID_MODEL));
    state.offer(section_text(sections::SectionName::Targets, 4, TARGET));
    state.offer(section_text(
        sections::SectionName::Limits,
        2,
        "[models.a]\n[limits",
    ));

    let written: Vec<String> = state
        .status()
        .iter()
        .map(|status| status.to_string())
        .collect();
    insta::assert_snapshot!(written.concat());
}

#[test]
fn validate_section_changes_nothing() {
    let mut state = acceptance::DocumentAcceptance::default();
    state.offer(models_text(1, MODEL));
    state.offer(section_text(sections::SectionName::Targets, 1, TARGET));
    let before = state.clone();

    let section = sections::SectionName::Models;
    let valid = state.validate_section(section, MODEL);
    let invalid = state.validate_section(section, INVALID_MODEL);
    let dangling = state.validate_section(section, OTHER_MODEL);

    assert!(valid.is_empty());
    assert_eq!(invalid.len(), 2);
    let expected = "targets.engine-1.models[0]: refers to models.report, which is missing \
                    (line 6, column 11)\n";
    assert_eq!(dangling.to_string(), expected);
    assert_eq!(state, before);
}
