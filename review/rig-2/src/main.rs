//! Stand-ins and cases of the second review. `run.sh` of a case starts it with the case's name and
//! the folders for its record and for temporary files, from the root of the repository.

mod client;
mod config;
mod engine;
mod http;
mod late_reader;
mod lost_answer;
mod record;
mod relay;
mod stale_config;
mod store;
mod turned_away;

use std::path::Path;
use std::process::ExitCode;

/// Result of a case.
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [case, folder, temporary] = &arguments[..] else {
        eprintln!("usage: review-rig-2 CASE FOLDER TEMPORARY-FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::new();
    record.note(format!("case {case}, disruption: {has_trouble}"));
    let run = match case.as_str() {
        "late-reader" => late_reader::run,
        "lost-answer" => lost_answer::run,
        "silent-store" => stale_config::run_silence,
        "restored-store" => stale_config::run_drill,
        "turned-away" => turned_away::run,
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    let outcome = run(&record, Path::new(temporary), has_trouble);
    // All processes have ended, so `run-case.sh` has none to end.
    let _ = std::fs::remove_file(Path::new(temporary).join("pids"));
    let (text, code) = match &outcome {
        Ok(Outcome::Held) => ("the rule held".to_owned(), 0),
        Ok(Outcome::Broken) => ("THE RULE WAS BROKEN".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.note(&text);
    println!("{text}");
    if let Err(error) = record.write(&Path::new(folder).join("record.txt")) {
        eprintln!("can't write the record: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
