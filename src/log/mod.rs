//! Structured logs, as terminal lines or JSON objects on standard error.

pub mod queue;
pub mod rate_limit;
pub mod timeline;

use std::io::Write;
use std::sync::Mutex;

use slog::{Drain, Level, Logger, o};

use self::queue::Queue;
use self::rate_limit::RateLimit;
use crate::settings;

/// Creates the root logger.
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

/// Creates the root logger of a process that logs JSON objects to standard
/// output, from where they are collected.
pub fn standard_output(settings: &settings::Log) -> Logger {
    to_writer(std::io::stdout(), settings)
}

/// Creates a root logger that writes JSON objects. Lines that exceed the rate
/// limit or find the queue full are dropped and counted, so a stuck reader
/// can't block the process.
pub fn to_writer<W>(writer: W, settings: &settings::Log) -> Logger
where
    W: Write + Send + 'static,
{
    let json = Mutex::new(slog_json::Json::default(Queue::start(writer))).fuse();
    let drain = RateLimit::new(json, settings.lines_per_s);
    Logger::root(drain.filter_level(level(settings)).fuse(), o!())
}

/// Returns a logger that discards everything.
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

/// Capacity of the queue to the log thread, in records; when it is full, new
/// records are dropped.
const LOG_QUEUE_RECORDS: usize = 4_096;
