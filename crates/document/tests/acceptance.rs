//! Acceptance of section texts: what is in force, what is kept back, and what operators are told.

use kingcupfall_core::measures;
use kingcupfall_document::acceptance;
use kingcupfall_document::sections;

const MODEL: &str = "[models.report]\nversion = \"1\"\nmax_tokens = 100\n";
const OTHER_MODEL: &str = "[models.draft]\nversion = \"1\"\nmax_tokens = 100\n";
const BAD_MODEL: &str = "[models.report]\nversion = 1\nmax_tokens = 0\n";
const TARGET: &str = "[targets.engine-1]\nkind = \"engine\"\nvm = \"vm-1\"\nzone = \"a\"\n\
                      agent = \"10.0.0.1:7001\"\nmodels = [\"report\"]\n";

fn text(section: sections::SectionName, version: u64, text: &str) -> acceptance::SectionText {
    acceptance::SectionText {
        section,
        version: measures::SectionVersion::new(version),
        text: text.into(),
    }
}

fn models(version: u64, content: &str) -> acceptance::SectionText {
    text(sections::SectionName::Models, version, content)
}

fn model_names(state: &acceptance::DocumentAcceptance) -> Vec<String> {
    let names = state.document().models.keys();
    names.map(|name| name.to_string()).collect()
}

fn model_version(state: &acceptance::DocumentAcceptance) -> Option<u64> {
    let mark = state.in_force(sections::SectionName::Models)?;
    Some(mark.version.get())
}

#[test]
fn offer_higher_version() {
    let mut state = acceptance::DocumentAcceptance::default();

    assert_eq!(
        state.offer(models(1, MODEL)),
        acceptance::OfferOutcome::InForce
    );
    assert_eq!(
        state.offer(models(2, OTHER_MODEL)),
        acceptance::OfferOutcome::InForce
    );

    assert_eq!(model_names(&state), ["draft"]);
}

#[test]
fn offer_stale_version() {
    let mut state = acceptance::DocumentAcceptance::default();
    state.offer(models(2, MODEL));

    assert_eq!(
        state.offer(models(1, OTHER_MODEL)),
        acceptance::OfferOutcome::Outdated
    );
    assert_eq!(
        state.offer(models(2, MODEL)),
        acceptance::OfferOutcome::Known
    );

    assert_eq!(model_names(&state), ["report"]);
}

#[test]
fn offer_with_findings_keeps_last_accepted() {
    let mut state = acceptance::DocumentAcceptance::default();
    state.offer(models(1, MODEL));
    state.offer(text(sections::SectionName::Targets, 1, TARGET));

    assert_eq!(
        state.offer(models(2, BAD_MODEL)),
        acceptance::OfferOutcome::Rejected
    );

    assert_eq!(model_version(&state), Some(1));
    assert_eq!(model_names(&state), ["report"]);
    assert_eq!(state.document().targets.len(), 1);
}

#[test]
fn offer_between_accepted_and_rejected() {
    let mut state = acceptance::DocumentAcceptance::default();
    state.offer(models(1, MODEL));
    state.offer(models(5, BAD_MODEL));

    assert_eq!(
        state.offer(models(3, OTHER_MODEL)),
        acceptance::OfferOutcome::InForce
    );
    assert_eq!(
        state.offer(models(4, BAD_MODEL)),
        acceptance::OfferOutcome::Outdated
    );

    assert_eq!(model_version(&state), Some(3));
}

#[test]
fn offer_same_version_differs() {
    let mut forward = acceptance::DocumentAcceptance::default();
    forward.offer(models(1, MODEL));
    forward.offer(models(1, OTHER_MODEL));
    let mut backward = acceptance::DocumentAcceptance::default();
    backward.offer(models(1, OTHER_MODEL));
    backward.offer(models(1, MODEL));

    assert_eq!(forward, backward);
    let status = &forward.status()[0];
    assert!(status.conflict.is_some());

    forward.offer(models(2, MODEL));
    assert!(forward.status()[0].conflict.is_none());
}

#[test]
fn observe_floor_holds_stale_first_text() {
    let mut informed = acceptance::DocumentAcceptance::default();
    informed.offer(models(7, MODEL));
    let digest = informed.digest();
    let section = sections::SectionName::Models;

    let mut fresh = acceptance::DocumentAcceptance::default();
    fresh.observe(section, &digest[&section]);
    assert_eq!(
        fresh.offer(models(5, OTHER_MODEL)),
        acceptance::OfferOutcome::Held
    );
    assert_eq!(model_version(&fresh), None);
    assert_eq!(fresh.sections_behind(&digest), [section]);

    for missing in informed.texts_beyond(&fresh.digest()) {
        fresh.offer(missing);
    }
    assert_eq!(model_version(&fresh), Some(7));
    assert!(fresh.sections_behind(&digest).is_empty());
}

#[test]
fn release_floors_when_holder_is_gone() {
    let mut informed = acceptance::DocumentAcceptance::default();
    informed.offer(models(7, MODEL));
    let section = sections::SectionName::Models;
    let mut fresh = acceptance::DocumentAcceptance::default();
    fresh.observe(section, &informed.digest()[&section]);
    fresh.offer(models(5, OTHER_MODEL));

    assert_eq!(fresh.held_sections(), [section]);
    fresh.release_floors();

    assert_eq!(model_version(&fresh), Some(5));
    assert_eq!(
        fresh.offer(models(6, MODEL)),
        acceptance::OfferOutcome::InForce
    );
}

#[test]
fn observe_floor_after_force_keeps_section() {
    let mut informed = acceptance::DocumentAcceptance::default();
    informed.offer(models(7, MODEL));
    let section = sections::SectionName::Models;
    let mut state = acceptance::DocumentAcceptance::default();
    state.offer(models(5, OTHER_MODEL));

    state.observe(section, &informed.digest()[&section]);

    assert_eq!(model_version(&state), Some(5));
    assert_eq!(
        state.offer(models(6, MODEL)),
        acceptance::OfferOutcome::InForce
    );
    assert_eq!(
        state.status()[0].awaited,
        Some(measures::SectionVersion::new(7))
    );
}

#[test]
fn reference_missing_until_other_section_comes() {
    let mut state = acceptance::DocumentAcceptance::default();

    let target = text(sections::SectionName::Targets, 1, TARGET);
    assert_eq!(state.offer(target), acceptance::OfferOutcome::InForce);
    let dangling = state.status()[2].dangling.to_string();
    let expected = "targets.engine-1.models[0]: refers to models.report, which is missing \
                    (line 6, column 11)\n";
    assert_eq!(dangling, expected);

    state.offer(models(1, MODEL));
    assert!(state.status()[2].dangling.is_empty());
}

#[test]
fn status_of_all_sections() {
    let mut state = acceptance::DocumentAcceptance::default();
    state.offer(models(1, OTHER_MODEL));
    state.offer(models(3, BAD_MODEL));
    state.offer(text(sections::SectionName::Targets, 4, TARGET));
    state.offer(text(
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
fn try_section_changes_nothing() {
    let mut state = acceptance::DocumentAcceptance::default();
    state.offer(models(1, MODEL));
    state.offer(text(sections::SectionName::Targets, 1, TARGET));
    let before = state.clone();

    let section = sections::SectionName::Models;
    let good = state.try_section(section, MODEL);
    let bad = state.try_section(section, BAD_MODEL);
    let orphaning = state.try_section(section, OTHER_MODEL);

    assert!(good.is_empty());
    assert_eq!(bad.len(), 2);
    let expected = "targets.engine-1.models[0]: refers to models.report, which is missing \
                    (line 6, column 11)\n";
    assert_eq!(orphaning.to_string(), expected);
    assert_eq!(state, before);
}
