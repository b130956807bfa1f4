//! What a call to the store is for, as a label of the counter of calls.

use super::crash;
use super::jobs::PENDING_PREFIX;
use super::member::MEMBER_PREFIX;
use super::store::Transaction;

key! {
    /// Purpose of a call to the store.
    pub enum Purpose {
        /// Reads all shared entries.
        Shared,
        /// Writes or removes the entry of an entry VM.
        Member,
        /// Reads the entry of an upstream.
        Upstream,
        /// Reads the state, results or items of a job.
        JobRead,
        /// Stores a new job, its results or its end.
        JobWrite,
        /// Takes a job over.
        TakeOver,
        /// Keeps what is known of crashes.
        Crashes,
        /// Reports a storage VM to be retired.
        Retirement,
        /// Relays a peer's call.
        Relay,
    }
}

impl Purpose {
    /// Purpose of a transaction, by the first key that it writes or deletes.
    pub fn of(transaction: &Transaction) -> Self {
        let put = transaction.puts.first().map(|(key, _)| key);
        match put.or(transaction.deletes.first()) {
            Some(key) if key.starts_with(MEMBER_PREFIX) => Self::Member,
            Some(key) if key == crash::STORE_KEY => Self::Crashes,
            Some(key) if key.starts_with(PENDING_PREFIX) => Self::TakeOver,
            _ => Self::JobWrite,
        }
    }

    /// The label's value.
    pub fn label(self) -> &'static str {
        match self {
            Self::Shared => "shared",
            Self::Member => "member",
            Self::Upstream => "upstream",
            Self::JobRead => "job read",
            Self::JobWrite => "job write",
            Self::TakeOver => "take-over",
            Self::Crashes => "crashes",
            Self::Retirement => "retirement",
            Self::Relay => "relay",
        }
    }
}
