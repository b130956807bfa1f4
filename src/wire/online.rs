//! Messages about online requests: crash suspects and quarantine.

/// A message about online requests.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Payload.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    pub body: Option<Body>,
}

/// Payload of a message about online requests.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Acknowledgement without data.
    #[prost(message, tag = "1")]
    Done(()),
    /// Asks the VM that owns a fingerprint whether a request may run.
    #[prost(message, tag = "2")]
    Begin(Begin),
    /// The owner's response to `Begin`.
    #[prost(enumeration = "Verdict", tag = "3")]
    Verdict(i32),
    /// Reports how a run ended.
    #[prost(message, tag = "4")]
    End(End),
}

/// Start of a run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Begin {
    /// Fingerprint of the request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Number of the run, unique on the sending VM.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// Time until the run's deadline, in microseconds.
    #[prost(uint64, tag = "3")]
    pub remaining_us: u64,
}

/// End of a run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct End {
    /// Fingerprint of the request, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Number of the run, as in `Begin`.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// Outcome of the run.
    #[prost(enumeration = "Outcome", tag = "3")]
    pub outcome: i32,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// Not yet: another run of the request must end first.
    Wait = 0,
    /// The request may run.
    Run = 1,
    /// The request may run, but only at an upstream with no other requests.
    Isolated = 2,
    /// The request is quarantined and must not run.
    Quarantined = 3,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// The run was abandoned, not sent, or got an invalid response.
    Other = 0,
    /// The upstream sent a complete response.
    Completed = 1,
    /// The upstream's response was cut off.
    Crashed = 2,
}
