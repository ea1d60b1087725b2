//! Stand-ins and scenarios of the third review. Uses the standard library only.

mod cut_server;
mod foreign_entry;
mod http;
mod path;
mod plain;
mod record;
mod relay;
mod servers;
mod slow_reader;
mod store;
mod streams;
mod unreadable_entries;

use std::path::PathBuf;
use std::process::ExitCode;

/// Result of a scenario.
pub enum Verdict {
    Held,
    Broken,
    /// The scenario could not be brought about.
    NotRun,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let scratch = PathBuf::from(arguments.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::create(&folder.join("record.txt"));
    record.write(&format!("{name}, with the disruption: {has_trouble}"));
    // A panic of a stand-in must not look like a broken rule.
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        std::process::exit(2);
    }));
    let verdict = match name.as_str() {
        "cut-server" => cut_server::play(&record, &scratch, has_trouble),
        "foreign-entry" => foreign_entry::play(&record, &scratch, has_trouble),
        "slow-reader" => slow_reader::play(&record, &scratch, has_trouble),
        "unreadable-entries" => unreadable_entries::play(&record, &scratch, has_trouble),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("THE RULE WAS BROKEN", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.write(text);
    ExitCode::from(code)
}
