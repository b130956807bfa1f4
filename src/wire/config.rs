//! Messages that spread the configuration.

/// A message of this area.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What is said.
    #[prost(oneof = "Body", tags = "1")]
    pub body: Option<Body>,
}

/// What the message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Nothing; an answer that only confirms.
    #[prost(message, tag = "1")]
    Done(()),
}
