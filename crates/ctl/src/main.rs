//! `kingcupfall-ctl`: shows the state of gateways, checks documents and traces requests in logs.

use std::process;

use kingcupfall_ctl::command;
use kingcupfall_ctl::run;

fn main() -> process::ExitCode {
    let command = command::option_parser().run();
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
