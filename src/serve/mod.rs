//! Serving on the users' machines: one process on every entry VM.
//!
//! Callers ask any VM for addresses, connect to one, and their requests are
//! relayed to upstreams; batch jobs are accepted, stored and run. Nothing is
//! kept on a VM: what must last lives in the platform's key-value service,
//! what may be lost is told to peers in datagrams. `platform/` spells the
//! calls; the decisions are here.
//!
//! | concern | decided in | carried out in |
//! |---|---|---|
//! | which upstream, or a refusal | `place` | `exchange` |
//! | rate and burst | `rate` | `peers` |
//! | order and resumption of streams | `event` | `relay` |
//! | items, results, positions | `jobs::Job` | `jobs::Jobs` |
//! | members, ownership | `member` | `poller` |
//! | way to the store | `channel` | `channel`, `reader` |

pub mod channel;
pub mod configuration;
pub mod context;
pub mod crash;
pub mod datagram;
pub mod event;
pub mod exchange;
pub mod frontend;
mod gauge;
pub mod internal;
pub mod jobs;
pub mod member;
pub mod node;
pub mod peers;
pub mod place;
pub mod poller;
pub mod protocol;
pub mod rate;
pub mod reader;
pub mod record;
pub mod relay;
pub mod store;
pub mod upstream;
