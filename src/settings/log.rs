//! Settings of the log.

use serde::{Deserialize, Serialize};

/// Layout of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Lines for people.
    #[default]
    Terminal,
    /// One JSON object a line.
    Json,
}

/// Lowest level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Faults only.
    Error,
    /// Also what an operator may want to act on.
    Warning,
    /// Also the normal course of things.
    #[default]
    Info,
    /// Also ended spans.
    Debug,
}

/// How the process logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Layout of a line.
    pub format: Format,
    /// Lowest level that is logged.
    pub level: Level,
    /// Most lines a second of a process that logs to standard output; twice as
    /// many at once.
    pub lines_per_s: u32,
}

impl Log {
    /// What is wrong: the field, and what is allowed.
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

/// Most lines a second where the settings name no number.
const LINES_PER_S: u32 = 400;
