//! Messages about rates, shares and capacity.

/// A message of this area.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What is said.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<Body>,
}

/// What the message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Nothing; an answer that only confirms.
    #[prost(message, tag = "1")]
    Done(()),
    /// Which share table has the peer adopted?
    #[prost(message, tag = "2")]
    Query(Query),
    /// The answer.
    #[prost(message, tag = "3")]
    Report(Report),
    /// Lend tokens of an organisation.
    #[prost(message, tag = "4")]
    Borrow(Borrow),
    /// The answer: these tokens have left the sender.
    #[prost(message, tag = "5")]
    Loan(Loan),
    /// Lease slots at upstreams that the peer owns.
    #[prost(message, tag = "6")]
    Request(Request),
    /// The answer.
    #[prost(message, tag = "7")]
    Leased(Leased),
}

/// Asks for a report; brings the asker's table if it may be news.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Query {
    /// Epoch of the asker's table.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Whether it is settled.
    #[prost(bool, tag = "2")]
    pub settled: bool,
    /// The asker's table, as JSON.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub table: Option<Vec<u8>>,
}

/// What a VM says about its share table.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Incarnation that speaks.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Epoch of its table.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Whether it is settled.
    #[prost(bool, tag = "3")]
    pub settled: bool,
    /// Epoch that its spending and its loans fit.
    #[prost(uint64, tag = "4")]
    pub adopted: u64,
    /// Microseconds until its deadline.
    #[prost(uint64, tag = "5")]
    pub remaining_us: u64,
    /// Its table, as JSON, if the asker's is older.
    #[prost(bytes = "vec", optional, tag = "6")]
    pub table: Option<Vec<u8>>,
}

/// Asks for tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Borrow {
    /// Whose tokens.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// How many, in millionths.
    #[prost(uint64, tag = "2")]
    pub want: u64,
}

/// Lends tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loan {
    /// How many, in millionths; they may be spent for a fixed time from the question on.
    #[prost(uint64, tag = "1")]
    pub count: u64,
    /// Microseconds until the lender has what was asked for; absent: never.
    #[prost(uint64, optional, tag = "2")]
    pub next_us: Option<u64>,
}

/// Asks for slots at upstreams.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    /// What is wanted, by upstream.
    #[prost(message, repeated, tag = "1")]
    pub slots: Vec<Slots>,
    /// Rises with each question of this VM.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// Leases slots at upstreams.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Leased {
    /// What is leased, by upstream.
    #[prost(message, repeated, tag = "1")]
    pub leases: Vec<Slots>,
}

/// Slots at one upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Slots {
    /// Which upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// How many.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// How many the asker has in use.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// How many the asker holds by leases that haven't ended.
    #[prost(uint32, tag = "4")]
    pub held: u32,
    /// How many of `count` are for requests that run or wait.
    #[prost(uint32, tag = "5")]
    pub need: u32,
}
