//! Property tests of acceptance: texts in any order, repeated texts, and exchange between
//! processes.

use kingcupfall_core::measures;
use kingcupfall_document::acceptance;
use kingcupfall_document::check;
use kingcupfall_document::sections;
use proptest::prelude::*;
use proptest::test_runner;

const CONTENTS: [&str; 6] = [
    "",
    "[models.a]\nversion = \"1\"\nmax_tokens = 1\n",
    "[models.b]\nversion = \"1\"\nmax_tokens = 1\n",
    "[limits.x]\ncalls_per_s = 1.0\n",
    "[limits.x]\ncalls_per_s = -1.0\n",
    "[models.a\n",
];

const SECTIONS: [sections::SectionName; 2] =
    [sections::SectionName::Models, sections::SectionName::Limits];

/// One step of the simulated processes.
#[derive(Debug, Clone)]
enum NodeStep {
    /// A process receives a text.
    Offer {
        node: usize,
        text: acceptance::SectionText,
    },
    /// Process `to` fetches digests and texts from process `from`.
    Pull { from: usize, to: usize },
    /// A process stops waiting for higher versions.
    ActivateHeld { node: usize },
}

const NODES: usize = 3;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(0x6b63_6602),
        ..ProptestConfig::default()
    }
}

fn any_text() -> impl Strategy<Value = acceptance::SectionText> {
    let section = prop::sample::select(SECTIONS.to_vec());
    let content = prop::sample::select(CONTENTS.to_vec());
    (section, 1..6u64, content).prop_map(|(section, version, content)| acceptance::SectionText {
        section,
        version: measures::SectionVersion::new(version),
        text: content.into(),
    })
}

fn any_step() -> impl Strategy<Value = NodeStep> {
    prop_oneof![
        4 => (0..NODES, any_text()).prop_map(|(node, text)| NodeStep::Offer { node, text }),
        3 => (0..NODES, 0..NODES).prop_map(|(from, to)| NodeStep::Pull { from, to }),
        1 => (0..NODES).prop_map(|node| NodeStep::ActivateHeld { node }),
    ]
}

fn offer_all(texts: &[acceptance::SectionText]) -> acceptance::DocumentAcceptance {
    let mut state = acceptance::DocumentAcceptance::default();
    for text in texts {
        state.offer(text.clone());
    }
    state
}

/// Reference implementation: returns the highest of all texts without findings.
fn expected_active_id(
    texts: &[acceptance::SectionText],
    section: sections::SectionName,
) -> Option<acceptance::TextId> {
    texts
        .iter()
        .filter(|text| text.section == section)
        .filter(|text| {
            check::check_section(section, &text.text)
                .findings
                .is_empty()
        })
        .map(acceptance::SectionText::id)
        .max()
}

fn pull(nodes: &mut [acceptance::DocumentAcceptance], from: usize, to: usize) {
    for (section, digest) in nodes[from].digest() {
        nodes[to].record_digest(section, &digest);
    }
    for text in nodes[from].texts_missing_from(&nodes[to].digest()) {
        nodes[to].offer(text);
    }
}

fn active_ids(state: &acceptance::DocumentAcceptance) -> Vec<Option<acceptance::TextId>> {
    SECTIONS
        .iter()
        .map(|section| state.active_id(*section))
        .collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn same_texts_in_any_order_give_same_state(
        (texts, shuffled) in prop::collection::vec(any_text(), 0..12)
            .prop_flat_map(|texts| (Just(texts.clone()), Just(texts).prop_shuffle())),
        repeated in prop::collection::vec(any::<prop::sample::Index>(), 0..8),
    ) {
        let mut reordered = shuffled.clone();
        if !shuffled.is_empty() {
            reordered.extend(repeated.iter().map(|index| index.get(&shuffled).clone()));
        }

        prop_assert_eq!(offer_all(&texts), offer_all(&reordered));
    }

    #[test]
    fn active_text_is_highest_without_findings(texts in prop::collection::vec(any_text(), 0..12)) {
        let mut state = acceptance::DocumentAcceptance::default();

        for count in 1..=texts.len() {
            let before = active_ids(&state);
            state.offer(texts[count - 1].clone());
            let after = active_ids(&state);

            for (before, after) in before.iter().zip(&after) {
                prop_assert!(after >= before);
            }
            for section in SECTIONS {
                prop_assert_eq!(
                    state.active_id(section),
                    expected_active_id(&texts[..count], section)
                );
            }
        }
    }

    #[test]
    fn nodes_converge_after_exchange(steps in prop::collection::vec(any_step(), 0..30)) {
        let mut nodes = vec![acceptance::DocumentAcceptance::default(); NODES];

        for step in steps {
            let before: Vec<_> = nodes.iter().map(active_ids).collect();
            match step {
                NodeStep::Offer { node, text } => {
                    nodes[node].offer(text);
                }
                NodeStep::Pull { from, to } => pull(&mut nodes, from, to),
                NodeStep::ActivateHeld { node } => nodes[node].activate_held_sections(),
            }

            for (node, before) in nodes.iter().zip(before) {
                for (before, after) in before.iter().zip(active_ids(node)) {
                    prop_assert!(after >= *before);
                }
            }
        }

        for _ in 0..2 {
            for to in 0..NODES {
                for from in 0..NODES {
                    pull(&mut nodes, from, to);
                }
            }
        }
        for node in &nodes[1..] {
            prop_assert_eq!(node.document(), nodes[0].document());
            prop_assert_eq!(node.digest(), nodes[0].digest());
            prop_assert!(node.held_sections().is_empty());
            prop_assert!(node.outdated_sections(&nodes[0].digest()).is_empty());
        }
    }
}
