//! The closed list of error kinds.

key! {
    /// Everything that can go wrong, as callers and operators see it.
    pub enum Kind {
        /// The body or a header can't be read.
        Malformed,
        /// The body is larger than the limit.
        TooLarge,
        /// No route has this path or method.
        UnknownRoute,
        /// The route needs a key and none came.
        KeyMissing,
        /// The key is wrong or withdrawn.
        KeyRefused,
        /// The credential doesn't allow this.
        Forbidden,
        /// The organisation's rate and burst are used up.
        RateExceeded,
        /// The request can't be served before its deadline.
        Overloaded,
        /// This VM can't confirm the configuration at present.
        OutOfContact,
        /// This VM is leaving.
        Leaving,
        /// No upstream serves the target at present.
        NoUpstream,
        /// Upstreams failed and none can have run the request.
        UpstreamUnreachable,
        /// An upstream may have run the request; its outcome is lost.
        OutcomeUnknown,
        /// An upstream answered with an error of its own.
        UpstreamFailed,
        /// The deadline passed after the request was sent.
        DeadlineExceeded,
        /// The request has crashed upstreams and isn't sent again.
        Quarantined,
        /// The same name or idempotency key came with another body.
        Conflict,
        /// The first request with this idempotency key is still running.
        InProgress,
        /// The resource changed since it was read.
        VersionConflict,
        /// The watch asks for versions that are no longer kept.
        WatchTooOld,
        /// No such resource.
        NotFound,
        /// The resource breaks a rule; the detail names the field.
        Invalid,
        /// The platform's service can't be reached; nothing was applied.
        PlatformUnavailable,
        /// The platform's service may or may not have applied the write.
        WriteUnknown,
        /// The stores that keep this job or claim can't commit at present.
        StoreUnavailable,
        /// The job was cancelled.
        Cancelled,
        /// The job or result is past its retention.
        Expired,
        /// A peer broke the protocol or failed to prove itself.
        Peer,
        /// A settings file is wrong.
        Settings,
        /// A fault of the system itself.
        Internal,
    }
}

impl Kind {
    /// Every kind, in the order of the documentation.
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

    /// Reads the identifier that `Answer::code` gives.
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.answer().code == code)
    }
}
