//! Stand-ins of clients, servers, the store and the platform, and the cases that use them.
//!
//! `rig CASE FOLDER` runs a case with the relay's program and writes `record.txt` in FOLDER. Its exit
//! code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in
//! the environment it leaves the disruption out.

mod client;
mod departures;
mod deployment;
mod endless;
mod engine;
mod handover;
mod http;
mod record;
mod relay;
mod revocation;
mod server;
mod store;
mod uploads;

use std::env;
use std::io;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::path::Path;
use std::process;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time after which a run that hangs ends as one that couldn't run.
const MAX_RUN_TIME: Duration = Duration::from_secs(110);

/// What a case found.
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

fn main() {
    let arguments: Vec<_> = env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: rig CASE FOLDER");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let code = match run(case, Path::new(folder), has_trouble) {
        Ok(verdict) => {
            println!("{}", verdict.text);
            i32::from(verdict.is_broken)
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            2
        }
    };
    process::exit(code);
}

fn run(case: &str, folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Arc::new(record::Record::create(folder)?);
    let trouble = if has_trouble { "with" } else { "without" };
    record.line("rig", format!("{case}, {trouble} the disruption"));
    let scratch = env::temp_dir().join(format!("kingcupfall-review-{}", process::id()));
    std::fs::create_dir_all(&scratch)?;
    let deployment = deployment::Deployment::new(scratch.clone(), Arc::clone(&record))?;
    let guarded = Arc::clone(&deployment);
    thread::spawn(move || {
        thread::sleep(MAX_RUN_TIME);
        eprintln!("the case takes too long");
        guarded.end();
        process::exit(2);
    });
    // A check of the rig itself that fails must not leave the relay behind.
    let verdict = panic::catch_unwind(AssertUnwindSafe(|| match case {
        "uploads" => uploads::run(&deployment, has_trouble),
        "endless" => endless::run(&deployment, has_trouble),
        "revocation" => revocation::run(&deployment, has_trouble),
        "handover" => handover::run(&deployment, has_trouble),
        "departures" => departures::run(&deployment, has_trouble),
        _ => Err(io::Error::new(io::ErrorKind::InvalidInput, "unknown case")),
    }))
    .unwrap_or_else(|_| Err(io::Error::other("the rig failed")));
    deployment.end();
    if env::var_os("KEEP_LOGS").is_none() {
        std::fs::remove_dir_all(&scratch)?;
    }
    if let Ok(verdict) = &verdict {
        record.line("rig", &verdict.text);
    }
    verdict
}
