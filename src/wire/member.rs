//! Membership messages: heartbeats and the lists of leaving VMs and upstreams.

/// A message about membership.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Payload.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    pub body: Option<Body>,
}

/// Payload of a membership message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Acknowledgement without data.
    #[prost(message, tag = "1")]
    Done(()),
    /// A heartbeat, as a call and as a response.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Request for the leaving VMs and upstreams.
    #[prost(message, tag = "3")]
    GetLeaving(()),
    /// Leaving VMs and upstreams.
    #[prost(message, tag = "4")]
    Leaving(Leaving),
}

/// A heartbeat. Durations count from when the echoed token was issued, so
/// network delay can only shorten them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Configuration version of the sender.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Token from the sender's clock, to be echoed.
    #[prost(fixed32, tag = "2")]
    pub token: u32,
    /// The receiver's last token; none before the first heartbeat.
    #[prost(fixed32, optional, tag = "3")]
    pub echo: Option<u32>,
    /// Whether the sender's version counts towards majorities.
    #[prost(bool, tag = "4")]
    pub voting: bool,
    /// Whether the sender is leaving and takes no new work.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Time for which the sender may act on its version, due to a confirmation
    /// or a majority, in units of 12 ms.
    #[prost(uint32, tag = "6")]
    pub remaining: u32,
    /// For each member assigned to the sending hub, the time for which it still
    /// counts as reachable, in units of 12 ms.
    #[prost(bytes = "vec", tag = "7")]
    pub heard: Vec<u8>,
    /// Digest of the names that the sender knows as leaving.
    #[prost(fixed32, tag = "8")]
    pub leaving_digest: u32,
}

/// Names of VMs and upstreams that take no new work.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Leaving {
    /// Sorted names.
    #[prost(string, repeated, tag = "1")]
    pub names: Vec<String>,
}
