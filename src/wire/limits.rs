//! Messages about rates, shares and capacity.

/// A message about rates, shares or capacity.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Payload.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<Body>,
}

/// Payload of a limits message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Acknowledgement without data.
    #[prost(message, tag = "1")]
    Done(()),
    /// Request for the share table that the peer has adopted.
    #[prost(message, tag = "2")]
    Query(Query),
    /// Response to `Query`.
    #[prost(message, tag = "3")]
    Report(Report),
    /// Request for tokens of an organisation.
    #[prost(message, tag = "4")]
    Borrow(Borrow),
    /// Response to `Borrow`; the lender has already deducted these tokens.
    #[prost(message, tag = "5")]
    Loan(Loan),
    /// Request for slots at upstreams that the peer owns.
    #[prost(message, tag = "6")]
    Request(Request),
    /// Response to `Request`.
    #[prost(message, tag = "7")]
    Leased(Leased),
}

/// Request for a report, with the sender's table if the receiver may lack it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Query {
    /// Epoch of the sender's table.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Whether the sender's table is settled.
    #[prost(bool, tag = "2")]
    pub settled: bool,
    /// The sender's table as JSON.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub table: Option<Vec<u8>>,
}

/// State of a VM's share table.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Incarnation of the responding VM.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Epoch of its share table.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Whether its share table is settled.
    #[prost(bool, tag = "3")]
    pub settled: bool,
    /// Epoch whose shares its spending and loans comply with.
    #[prost(uint64, tag = "4")]
    pub adopted: u64,
    /// Time until its deadline, in microseconds.
    #[prost(uint64, tag = "5")]
    pub remaining_us: u64,
    /// Its share table as JSON, if the requester's is older.
    #[prost(bytes = "vec", optional, tag = "6")]
    pub table: Option<Vec<u8>>,
}

/// Request for tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Borrow {
    /// Organisation whose tokens are requested.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Number of tokens, in millionths.
    #[prost(uint64, tag = "2")]
    pub want: u64,
}

/// Loan of tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loan {
    /// Number of tokens, in millionths; valid for a fixed time from the request on.
    #[prost(uint64, tag = "1")]
    pub count: u64,
    /// Time until the lender has the requested tokens, in microseconds; none if never.
    #[prost(uint64, optional, tag = "2")]
    pub next_us: Option<u64>,
}

/// Request for slots at upstreams.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    /// Requested slots by upstream.
    #[prost(message, repeated, tag = "1")]
    pub slots: Vec<Slots>,
    /// Request number, ascending per VM.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// Lease of slots at upstreams.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Leased {
    /// Leased slots by upstream.
    #[prost(message, repeated, tag = "1")]
    pub leases: Vec<Slots>,
}

/// Slots at one upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Slots {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Number of slots requested or leased.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Slots that the requester is using.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Slots that the requester holds by unexpired leases.
    #[prost(uint32, tag = "4")]
    pub held: u32,
    /// Slots of `count` that are needed for running or waiting requests.
    #[prost(uint32, tag = "5")]
    pub need: u32,
}
