//! The store of sections, and the patches and parts that it sends.

use kingcupfall_core::measures;
use kingcupfall_fleet::sections;
use proptest::collection;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;

fn value(version: u64, bytes: &[u8]) -> sections::SectionValue {
    let section = "models".parse().unwrap();
    sections::SectionValue::new(section, measures::SectionVersion::new(version), bytes)
}

fn accepted_head(value: &sections::SectionValue) -> sections::SectionHead {
    sections::SectionHead {
        slot: sections::SectionSlot {
            section: value.section.clone(),
            verdict: sections::SectionVerdict::Accepted,
        },
        head: value.head,
    }
}

fn accept(store: &mut sections::SectionStore, value: &sections::SectionValue) -> bool {
    store.replace(sections::SectionVerdict::Accepted, value.clone())
}

#[test]
fn store_keeps_its_version_when_offered_a_lower_or_equal_one() {
    let mut store = sections::SectionStore::default();
    let second = value(2, b"second");
    assert!(accept(&mut store, &second));

    assert!(!accept(&mut store, &value(1, b"first")));
    assert!(!accept(&mut store, &second));
    let verdict = sections::SectionVerdict::Accepted;
    assert_eq!(store.value(&second.section, verdict), Some(&second));
}

#[test]
fn stores_converge_on_one_of_two_contents_with_the_same_version() {
    let left = value(2, b"left");
    let right = value(2, b"right");
    let mut one = sections::SectionStore::default();
    accept(&mut one, &left);
    accept(&mut one, &right);
    let mut other = sections::SectionStore::default();
    accept(&mut other, &right);
    accept(&mut other, &left);

    assert_eq!(one.digest(), other.digest());
    assert_eq!(one.heads(), other.heads());
}

#[test]
fn store_does_not_keep_a_too_large_value() {
    let mut store = sections::SectionStore::default();
    let large = value(1, &vec![b'a'; sections::MAX_VALUE_BYTES + 1]);

    assert!(!accept(&mut store, &large));
}

#[test]
fn store_removes_a_rejected_version_once_a_later_one_is_accepted() {
    let mut store = sections::SectionStore::default();
    accept(&mut store, &value(1, b"first"));
    let digest = store.digest();
    store.replace(sections::SectionVerdict::Rejected, value(2, b"second"));
    assert_ne!(store.digest(), digest);

    accept(&mut store, &value(3, b"third"));
    assert_eq!(store.heads().len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn patches_and_parts_reproduce_any_change(
        old in collection::vec(any::<u8>(), 0..40_000),
        edit in collection::vec(any::<u8>(), 0..200),
        at in any::<proptest::sample::Index>(),
    ) {
        let at = at.index(old.len() + 1);
        let new = [&old[..at], &edit, &old[at..]].concat();
        let (first, second) = (value(1, &old), value(2, &new));
        let mut store = sections::SectionStore::default();
        accept(&mut store, &first);
        accept(&mut store, &second);

        let requested = accepted_head(&second);
        let reply = store.build_reply(&requested, Some(first.head));
        let sections::SectionReply::Patches(patches) = reply else {
            panic!("the store sends no patch for a small edit");
        };
        assert_eq!(patches[0].apply(&old), Some(new.clone()));

        let sections::SectionReply::Manifest(manifest) = store.build_reply(&requested, None) else {
            panic!("the store sends no manifest without a base");
        };
        let count = u16::try_from(manifest.parts.len()).unwrap();
        let indexes: Vec<u16> = (0..count).collect();
        let parts = store.copy_parts(&requested, &indexes);
        assert!(parts.iter().all(|part| part.bytes.len() <= sections::MAX_PART_BYTES));
        let joined: Vec<u8> = parts.into_iter().flat_map(|part| part.bytes).collect();
        assert_eq!(joined, new);
    }
}
