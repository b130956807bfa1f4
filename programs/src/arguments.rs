//! Reading a program's arguments.

use gumdrop::{Options, ParsingStyle};

/// Exit code for wrong arguments.
const BAD_ARGUMENTS: i32 = 2;

/// Parses the process's arguments; prints help or the mistake and exits.
pub fn read<O>() -> O
where
    O: Options,
{
    let mut words = std::env::args();
    let program = words.next().unwrap_or_default();
    let program = program.rsplit('/').next().unwrap_or_default().to_owned();
    let words: Vec<String> = words.collect();
    match O::parse_args(&words, ParsingStyle::AllOptions) {
        Ok(options) if options.help_requested() => {
            println!("{}", help(&program, &options));
            std::process::exit(0);
        }
        Ok(options) => options,
        Err(mistake) => {
            eprintln!("{program}: {mistake}; see {program} --help");
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
