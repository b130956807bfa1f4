//! Numbered log events.
//!
//! Each event has a number that never changes, a level and a fixed message;
//! variable data goes into key-value pairs. `docs/EVENTS.md` lists all events.
//! Ranges: 1xx process, 2xx settings, 3xx platform, 4xx membership and
//! configuration, 5xx online path, 6xx limits, 7xx batch and segments,
//! 8xx orders to upstreams, 9xx peers.

mod catalogue;

pub use catalogue::Event;

/// Logs a numbered event: `emit!(log, Event::Started, "vm" => name)`.
#[macro_export]
macro_rules! emit {
    ($log:expr, $event:expr $(, $key:literal => $value:expr)* $(,)?) => {{
        let event: $crate::event::Event = $event;
        match event.level() {
            slog::Level::Error | slog::Level::Critical => slog::error!(
                $log, "{}", event.text(); "event" => event.number() $(, $key => $value)*),
            slog::Level::Warning => slog::warn!(
                $log, "{}", event.text(); "event" => event.number() $(, $key => $value)*),
            slog::Level::Info => slog::info!(
                $log, "{}", event.text(); "event" => event.number() $(, $key => $value)*),
            _ => slog::debug!(
                $log, "{}", event.text(); "event" => event.number() $(, $key => $value)*),
        }
    }};
}
