//! Log settings.

use serde::{Deserialize, Serialize};

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Human-readable lines.
    #[default]
    Terminal,
    /// One JSON object per line.
    Json,
}

/// Lowest level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Errors only.
    Error,
    /// Also conditions that may need an operator's attention.
    Warning,
    /// Also normal operation.
    #[default]
    Info,
    /// Also trace spans.
    Debug,
}

/// Log settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of log lines.
    pub format: Format,
    /// Lowest level that is logged.
    pub level: Level,
    /// Maximum lines per second of a process that logs to standard output; bursts
    /// of twice as many lines are allowed.
    pub lines_per_s: u32,
}

impl Log {
    /// Returns the first invalid field and what is allowed.
    pub(super) fn check(&self) -> Result<(), (&'static str, String)> {
        if self.lines_per_s == 0 {
            return Err(("log.lines_per_s", "is 0, must be 1 or more".into()));
        }
        Ok(())
    }
}

impl Default for Log {
    fn default() -> Self {
        Self { format: Format::default(), level: Level::default(), lines_per_s: LINES_PER_S }
    }
}

/// Default for `Log::lines_per_s`.
const LINES_PER_S: u32 = 400;
