//! Errors of the subcommands and their exit codes.

use std::process::ExitCode;

use parsleybeam::error::{Error, Kind};

/// Why a command failed.
#[derive(Debug, derive_more::Display)]
pub enum Failure {
    /// The fleet refused the request or its response is unusable (exit code 1).
    #[display("{_0}")]
    Refused(String),
    /// The arguments, a file or a resource are invalid (exit code 2).
    #[display("{_0}")]
    Input(String),
    /// The VM can't be reached or the connection broke (exit code 3).
    #[display("{_0}")]
    Unreachable(String),
}

impl Failure {
    /// Prefixes the message with what the failure concerns.
    pub fn with_subject(self, subject: &str) -> Self {
        match self {
            Failure::Refused(text) => Failure::Refused(format!("{subject}: {text}")),
            Failure::Input(text) => Failure::Input(format!("{subject}: {text}")),
            Failure::Unreachable(text) => Failure::Unreachable(format!("{subject}: {text}")),
        }
    }

    /// Returns the exit code of the process.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Refused(_) => 1,
            Failure::Input(_) => 2,
            Failure::Unreachable(_) => 3,
        })
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error.kind {
            Kind::Settings | Kind::Invalid | Kind::Malformed => Failure::Input(error.detail),
            _ => Failure::Refused(error.detail),
        }
    }
}

impl From<awc::error::SendRequestError> for Failure {
    fn from(error: awc::error::SendRequestError) -> Self {
        Failure::Unreachable(error.to_string())
    }
}
