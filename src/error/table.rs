//! Mapping of error kinds to HTTP responses.

use super::Kind;

key! {
    /// Whether a failed request ran.
    pub enum Run {
        /// No upstream can have started it.
        NotRun,
        /// An upstream may have started it.
        Unknown,
        /// An upstream ran it, and the error is its outcome.
        Ran,
    }
}

impl Run {
    /// Returns the value used in error responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Run::NotRun => "not-run",
            Run::Unknown => "unknown",
            Run::Ran => "ran",
        }
    }
}

/// Response properties of an error kind.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Identifier, stable across versions.
    pub code: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub run: Run,
    /// Short human-readable summary.
    pub title: &'static str,
}

const fn answer(code: &'static str, status: u16, run: Run, title: &'static str) -> Answer {
    Answer { code, status, run, title }
}

macro_rules! table {
    ($($kind:ident => $code:literal, $status:literal, $run:ident, $title:literal;)*) => {
        impl Kind {
            /// Returns the answer for this kind.
            pub fn answer(self) -> &'static Answer {
                match self {
                    $(Kind::$kind => {
                        const ANSWER: Answer = answer($code, $status, Run::$run, $title);
                        &ANSWER
                    })*
                }
            }
        }
    };
}

table! {
    Malformed => "malformed", 400, NotRun, "The request can't be read";
    TooLarge => "too-large", 413, NotRun, "The body is too large";
    UnknownRoute => "unknown-route", 404, NotRun, "No route matches";
    KeyMissing => "key-missing", 401, NotRun, "A key is needed";
    KeyRefused => "key-refused", 401, NotRun, "The key is not valid";
    Forbidden => "forbidden", 403, NotRun, "Not allowed";
    RateExceeded => "rate-exceeded", 429, NotRun, "The organisation's rate is used up";
    Overloaded => "overloaded", 503, NotRun, "Can't be served before its deadline";
    OutOfContact => "out-of-contact", 503, NotRun, "This VM can't confirm the configuration";
    Leaving => "leaving", 503, NotRun, "This VM is leaving";
    NoUpstream => "no-upstream", 503, NotRun, "No upstream serves this";
    UpstreamUnreachable => "upstream-unreachable", 502, NotRun, "No upstream could be reached";
    OutcomeUnknown => "outcome-unknown", 502, Unknown, "The outcome is unknown";
    UpstreamFailed => "upstream-failed", 502, Ran, "The upstream failed";
    DeadlineExceeded => "deadline-exceeded", 504, Unknown, "The deadline passed";
    Quarantined => "quarantined", 422, Unknown, "The request crashes upstreams";
    Conflict => "conflict", 409, NotRun, "The same name came with another body";
    InProgress => "in-progress", 409, Unknown, "The first request is still running";
    VersionConflict => "version-conflict", 412, NotRun, "The resource has changed";
    WatchTooOld => "watch-too-old", 410, NotRun, "List again and watch from there";
    NotFound => "not-found", 404, NotRun, "Not found";
    Invalid => "invalid", 422, NotRun, "The resource is not valid";
    PlatformUnavailable => "platform-unavailable", 503, NotRun, "The platform can't be reached";
    WriteUnknown => "write-unknown", 503, Unknown, "The write may have been applied";
    StoreUnavailable => "store-unavailable", 503, NotRun, "The stores can't commit";
    Cancelled => "cancelled", 409, NotRun, "Cancelled";
    Expired => "expired", 410, NotRun, "Past its retention";
    Peer => "peer", 502, NotRun, "A peer broke the protocol";
    Settings => "settings", 500, NotRun, "The settings are wrong";
    Internal => "internal", 500, Unknown, "Internal fault";
}
