//! Serving path: one process on every entry VM.
//!
//! Callers ask any VM for addresses and connect to one of them. The VM proxies
//! their online requests to upstreams, and accepts, stores and runs batch jobs.
//! A VM keeps no durable state: state that must survive is stored in the
//! platform's key-value service, and state that may be lost is sent to peers in
//! datagrams. The `platform/` crate encodes and decodes the platform's calls;
//! the logic is here.
//!
//! | concern | logic | I/O |
//! |---|---|---|
//! | upstream selection and load shedding | `place`, `departure` | `exchange` |
//! | requests that come while this VM stops | `stop` | `active`, `frontend`, `node` |
//! | requests that come before the first read | `opening` | `frontend` |
//! | rate limits of organisations | `rate`, `reserve` | `token`, `hand_over` |
//! | limits that upstreams name | `limit`, `priority` | `gate` |
//! | quotas of cold upstreams | `cold` | `quota` |
//! | evacuations of data centres | `evacuation` | `hint` |
//! | age of the view that a send is decided by | `freshness` | `renewal`, `slot` |
//! | ways to upstreams | `path::Links` | `path` |
//! | order and resumption of streams | `event`, `origin` | `relay`, `peers` |
//! | items, results, positions | `jobs::Job` | `jobs::Jobs` |
//! | process that a stream goes on at | `identity` | `exchange`, `transport::Pool` |
//! | addresses that callers are told | `address` | `frontend` |
//! | what VMs tell each other unasked | `repeat` | `report` |
//! | membership and ownership | `member` | `poller` |
//! | bounds of answers | `transport::bound` | `reading`, `transport` |
//! | memory held for others | `held`, `jobs::Pages` | `relay`, `unread`, `incoming`, `frontend`, `jobs` |
//! | access to the store | `source`, `channel` | `channel`, `reader` |

mod active;
pub mod address;
mod bucket;
pub mod channel;
pub mod cold;
pub mod configuration;
pub mod context;
pub mod crash;
pub mod datagram;
pub mod departure;
pub mod evacuation;
pub mod event;
pub mod exchange;
pub mod freshness;
pub mod frontend;
mod gate;
mod gauge;
mod grant;
mod hand_over;
pub mod held;
mod hint;
mod identity;
mod incoming;
pub mod internal;
pub mod jobs;
pub mod limit;
pub mod member;
pub mod node;
mod opening;
pub mod origin;
pub mod path;
pub mod peers;
pub mod place;
pub mod poller;
pub mod priority;
pub mod protocol;
pub mod purpose;
mod quota;
pub mod rate;
pub mod reader;
mod reading;
pub mod record;
mod refusal;
pub mod relay;
mod renewal;
pub mod repeat;
mod report;
pub mod reserve;
pub mod resume;
mod selection;
pub mod slot;
pub mod source;
pub mod stop;
pub mod store;
mod timing;
mod token;
mod unread;
mod unwritten;
pub mod upstream;
