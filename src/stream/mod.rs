//! Streams of tokens: each one once and in order, whoever sends them.

mod assembly;
mod split;

pub use assembly::{Assembly, Step};
pub use split::Split;
