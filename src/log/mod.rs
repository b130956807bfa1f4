//! Structured logs: terminal lines or JSON objects on standard error.

pub mod story;

use slog::{Drain, Level, Logger, o};

use crate::settings;

/// Builds the root logger.
pub fn logger(settings: &settings::Log) -> Logger {
    let level = level(settings);
    match settings.format {
        settings::Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            root(slog_term::FullFormat::new(decorator).build().fuse(), level)
        }
        settings::Format::Json => root(slog_json::Json::default(std::io::stderr()).fuse(), level),
    }
}

/// Builds the root logger of a process whose lines are collected from its
/// standard output, as JSON objects. Lines that find the queue full are
/// dropped and counted, so a reader that is stuck holds nothing up.
pub fn standard_output(settings: &settings::Log) -> Logger {
    root(slog_json::Json::default(std::io::stdout()).fuse(), level(settings))
}

/// A logger that drops everything.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn level(settings: &settings::Log) -> Level {
    match settings.level {
        settings::Level::Error => Level::Error,
        settings::Level::Warning => Level::Warning,
        settings::Level::Info => Level::Info,
        settings::Level::Debug => Level::Debug,
    }
}

fn root<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain).chan_size(LOG_QUEUE_RECORDS).build().fuse();
    Logger::root(drain.filter_level(level).fuse(), o!())
}

/// Records that may wait for the log thread before new ones are dropped.
const LOG_QUEUE_RECORDS: usize = 4_096;
