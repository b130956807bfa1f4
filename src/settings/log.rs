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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Layout of a line.
    pub format: Format,
    /// Lowest level that is logged.
    pub level: Level,
}
