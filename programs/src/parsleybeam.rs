//! The operator's command.

mod command;

use std::process::ExitCode;

use gumdrop::Options;

fn main() -> ExitCode {
    let arguments = command::Arguments::parse_args_default_or_exit();
    match actix_rt::System::new().block_on(command::run(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("parsleybeam: {failure}");
            failure.code()
        }
    }
}
