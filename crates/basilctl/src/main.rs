//! `basilctl`, the operators' command-line tool.

use std::process::ExitCode;

mod client;
mod command;
mod options;
mod print;
mod watch;

fn main() -> ExitCode {
    let options = match options::from_process() {
        Ok(options) => options,
        Err(code) => return code,
    };
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    let mut runtime = builder.enable_timer().build().expect("an event queue");
    match runtime.block_on(command::run(&options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
