//! Stand-ins of targets and platform, and a demonstration of the whole system.

mod command;

use std::io;
use std::process;

use kingcupfall_standin::demo;

fn main() -> process::ExitCode {
    let command = command::parse().run();
    let system = ntex::rt::System::build()
        .name("kingcupfall-standin")
        .build(ntex::rt::DefaultRuntime);

    match system.block_on(run(command)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(command: command::StandinCommand) -> Result<(), Box<dyn std::error::Error>> {
    match command {
        command::StandinCommand::Demo { once } => {
            demo::run(once, &mut io::stdout()).await?;
        }
    }
    Ok(())
}
