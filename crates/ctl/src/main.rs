//! `kingcupfall-ctl`: asks gateways what they know and why, and checks documents.

use std::process;

use kingcupfall_ctl::command;
use kingcupfall_ctl::run;

fn main() -> process::ExitCode {
    let command = command::parse().run();
    let system = ntex::rt::System::build()
        .name("kingcupfall-ctl")
        .build(ntex::rt::DefaultRuntime);

    match system.block_on(run::run(command)) {
        Ok(output) => {
            print!("{}", output.text);
            process::ExitCode::from(output.status)
        }
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}
