//! Structured logs: terminal lines or JSON objects on standard error.

use slog::{Drain, Level, Logger, o};

use crate::settings;

/// Builds the root logger.
pub fn logger(settings: &settings::Log) -> Logger {
    let level = match settings.level {
        settings::Level::Error => Level::Error,
        settings::Level::Warning => Level::Warning,
        settings::Level::Info => Level::Info,
        settings::Level::Debug => Level::Debug,
    };
    match settings.format {
        settings::Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            root(slog_term::FullFormat::new(decorator).build().fuse(), level)
        }
        settings::Format::Json => root(slog_json::Json::default(std::io::stderr()).fuse(), level),
    }
}

/// A logger that drops everything.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
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
