//! Estimates of lengths.

use kingcupfall_policy::schedule::length;

#[test]
fn curve_learns_constant_length() {
    let mut book = length::LengthBook::new();
    let slot = book.slot(&key(1));
    for _ in 0..200 {
        run_to_end(&mut book, slot, 12);
    }
    let chance = book.curve(slot).log_survival(24.0).exp();
    assert!(chance <= 0.02, "{chance}");
}

#[test]
fn remaining_grows_with_heavy_tail() {
    let curve = length::SurvivalCurve::prior();
    assert!(curve.mean_remaining(4_000.0) > curve.mean_remaining(200.0));
}

/// While long answers still run, the short ones that have ended must not stand for all.
#[test]
fn running_streams_count_before_they_end() {
    let mut book = length::LengthBook::new();
    let slot = book.slot(&key(1));
    for _ in 0..50 {
        run_to_end(&mut book, slot, 20);
        for tokens in 1..=1_000 {
            book.record_progress(slot, tokens);
        }
    }
    let chance = book.curve(slot).log_survival(500.0).exp();
    assert!((chance - 0.5).abs() <= 0.15, "{chance}");
}

#[test]
fn book_stays_bounded() {
    let mut book = length::LengthBook::new();
    for number in 0..10_000 {
        let slot = book.slot(&key(number));
        book.record_end(slot, 100);
    }
    assert!(book.len() <= 4_096);
}

fn run_to_end(book: &mut length::LengthBook, slot: length::LengthSlot, tokens: u64) {
    for done in 1..=tokens {
        book.record_progress(slot, done);
    }
    book.record_end(slot, tokens);
}

fn key(number: u32) -> length::LengthKey {
    length::LengthKey {
        model: "narrative".parse().unwrap(),
        organisation: format!("org-{number}").parse().unwrap(),
        class: "report".parse().unwrap(),
    }
}
