//! Messages about online requests: suspects and quarantine.

/// A message of this area.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What is said.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    pub body: Option<Body>,
}

/// What the message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Nothing; an answer that only confirms.
    #[prost(message, tag = "1")]
    Done(()),
    /// Asks a fingerprint's keeper whether a request may run.
    #[prost(message, tag = "2")]
    Begin(Begin),
    /// The keeper's answer to `Begin`.
    #[prost(enumeration = "Verdict", tag = "3")]
    Verdict(i32),
    /// Tells how a run ended.
    #[prost(message, tag = "4")]
    End(End),
}

/// A request that wants to run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Begin {
    /// Fingerprint, sixteen bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Number of the run on the asking VM.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// Microseconds until the run's deadline.
    #[prost(uint64, tag = "3")]
    pub remaining_us: u64,
}

/// How a run ended.
#[derive(Clone, PartialEq, prost::Message)]
pub struct End {
    /// Fingerprint, sixteen bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Number of the run on the telling VM.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// How it ended.
    #[prost(enumeration = "Outcome", tag = "3")]
    pub outcome: i32,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// Later: another run of it must end first.
    Wait = 0,
    /// It may.
    Run = 1,
    /// Where nothing else runs.
    Isolated = 2,
    /// Never again.
    Quarantined = 3,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// Given up, not sent or answered wrongly.
    Other = 0,
    /// Its answer came whole.
    Completed = 1,
    /// Its upstream's answer broke off.
    Crashed = 2,
}
