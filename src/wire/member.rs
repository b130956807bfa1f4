//! Messages about membership: beats and what they lead to.

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
    /// A heartbeat, as call and as answer.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Asks which VMs and upstreams are leaving.
    #[prost(message, tag = "3")]
    GetLeaving(()),
    /// The VMs and upstreams that are leaving.
    #[prost(message, tag = "4")]
    Leaving(Leaving),
}

/// A heartbeat. Spans count from the moment at which the echoed token was
/// issued, so a beat that is late on its way only shrinks them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Configuration version that the sender holds.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The sender's clock, to be echoed.
    #[prost(fixed32, tag = "2")]
    pub token: u32,
    /// The receiver's last token; none before the first beat.
    #[prost(fixed32, optional, tag = "3")]
    pub echo: Option<u32>,
    /// Whether the sender's version counts towards majorities.
    #[prost(bool, tag = "4")]
    pub voting: bool,
    /// Whether the sender takes no new work.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// How long the sender may act on its version, by a confirmation or by a
    /// majority, in units of 12 ms.
    #[prost(uint32, tag = "6")]
    pub remaining: u32,
    /// For each member assigned to the sending hub: how long it counts as
    /// heard, in units of 12 ms.
    #[prost(bytes = "vec", tag = "7")]
    pub heard: Vec<u8>,
    /// Digest of the names that the sender knows to be leaving.
    #[prost(fixed32, tag = "8")]
    pub leaving_digest: u32,
}

/// Names of VMs and upstreams that take no new work.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Leaving {
    /// The names, in order.
    #[prost(string, repeated, tag = "1")]
    pub names: Vec<String>,
}
