//! Parsing of a program's command line.

use gumdrop::{Options, ParsingStyle};

/// Exit code for invalid arguments.
const BAD_ARGUMENTS: i32 = 2;

/// Parses the process's arguments. Prints the help text or the parse error and exits
/// where either applies.
pub fn parse<O>() -> O
where
    O: Options,
{
    let mut arguments = std::env::args();
    let program = arguments.next().unwrap_or_default();
    let program = program.rsplit('/').next().unwrap_or_default().to_owned();
    let arguments: Vec<String> = arguments.collect();
    match O::parse_args(&arguments, ParsingStyle::AllOptions) {
        Ok(options) if options.help_requested() => {
            println!("{}", help(&program, &options));
            std::process::exit(0);
        }
        Ok(options) => options,
        Err(error) => {
            eprintln!("{program}: {error}; see {program} --help");
            std::process::exit(BAD_ARGUMENTS);
        }
    }
}

fn help<O>(program: &str, options: &O) -> String
where
    O: Options,
{
    let program = match options.command_name() {
        Some(command) => format!("{program} {command}"),
        None => program.to_owned(),
    };
    let mut text = format!("Usage: {program} [OPTIONS]\n\n{}", options.self_usage());
    if let Some(commands) = options.self_command_list() {
        text.push_str("\n\nCommands:\n");
        text.push_str(commands);
    }
    text
}
