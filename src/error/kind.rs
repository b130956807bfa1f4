//! Error kinds.

key! {
    /// Kinds of errors, as reported to callers and operators.
    pub enum Kind {
        /// The body or a header can't be parsed.
        Malformed,
        /// The body is larger than the limit.
        TooLarge,
        /// No route has this path or method.
        UnknownRoute,
        /// The route requires a key and the request has none.
        KeyMissing,
        /// The key is invalid or withdrawn.
        KeyRefused,
        /// The credential doesn't allow this.
        Forbidden,
        /// The organisation has exceeded its rate and burst.
        RateExceeded,
        /// The request can't be served before its deadline.
        Overloaded,
        /// This VM currently can't confirm that its configuration is current.
        OutOfContact,
        /// This VM is leaving.
        Leaving,
        /// No upstream currently serves the target.
        NoUpstream,
        /// Upstreams failed, but none can have run the request.
        UpstreamUnreachable,
        /// An upstream may have run the request, but its outcome is unknown.
        OutcomeUnknown,
        /// An upstream responded with an error.
        UpstreamFailed,
        /// The deadline passed after the request was sent.
        DeadlineExceeded,
        /// The request has crashed upstreams and is no longer sent.
        Quarantined,
        /// The name or idempotency key was used before with a different body.
        Conflict,
        /// The first request with this idempotency key is still running.
        InProgress,
        /// The resource has changed since it was read.
        VersionConflict,
        /// The watch requests versions that have been compacted.
        WatchTooOld,
        /// The resource does not exist.
        NotFound,
        /// The resource fails validation; the detail names the field.
        Invalid,
        /// The platform's service is unreachable; nothing was applied.
        PlatformUnavailable,
        /// The platform's service may have applied the write.
        WriteUnknown,
        /// The stores of this job or claim currently can't commit.
        StoreUnavailable,
        /// The job was cancelled.
        Cancelled,
        /// The job or result is past its retention.
        Expired,
        /// A peer violated the protocol or failed to authenticate.
        Peer,
        /// A settings file is invalid.
        Settings,
        /// Internal error.
        Internal,
    }
}

impl Kind {
    /// All kinds, in the order of the documentation.
    pub const ALL: [Kind; 30] = [
        Kind::Malformed,
        Kind::TooLarge,
        Kind::UnknownRoute,
        Kind::KeyMissing,
        Kind::KeyRefused,
        Kind::Forbidden,
        Kind::RateExceeded,
        Kind::Overloaded,
        Kind::OutOfContact,
        Kind::Leaving,
        Kind::NoUpstream,
        Kind::UpstreamUnreachable,
        Kind::OutcomeUnknown,
        Kind::UpstreamFailed,
        Kind::DeadlineExceeded,
        Kind::Quarantined,
        Kind::Conflict,
        Kind::InProgress,
        Kind::VersionConflict,
        Kind::WatchTooOld,
        Kind::NotFound,
        Kind::Invalid,
        Kind::PlatformUnavailable,
        Kind::WriteUnknown,
        Kind::StoreUnavailable,
        Kind::Cancelled,
        Kind::Expired,
        Kind::Peer,
        Kind::Settings,
        Kind::Internal,
    ];

    /// Looks up a kind by its `Answer::code`.
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.answer().code == code)
    }
}
