//! `parsleybeam`: the command-line tool for operators and callers.

mod arguments;
mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: command::Arguments = arguments::parse();
    match actix_rt::System::new().block_on(command::run(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("parsleybeam: {failure}");
            failure.code()
        }
    }
}
