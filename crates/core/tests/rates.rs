//! Which numbers and texts are rates.

use kingcupfall_core::measures;
use yare::parameterized;

#[parameterized(
    decimal = { "2.9", Some(2.9) },
    zero = { "0", Some(0.0) },
    spaces = { " 5 ", Some(5.0) },
    negative = { "-1", None },
    infinite = { "inf", None },
    not_a_number = { "NaN", None },
    text = { "few", None },
    empty = { "", None },
)]
fn parse_rate(text: &str, expected: Option<f64>) {
    let rate = text.parse::<measures::RequestRate>().ok();
    assert_eq!(rate.map(measures::RequestRate::per_second), expected);
}

#[test]
fn display_rate_parses_again() {
    let rate = measures::RequestRate::new(0.25).unwrap();
    assert_eq!(rate.to_string().parse(), Ok(rate));
}
