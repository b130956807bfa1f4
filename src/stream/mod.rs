//! Streams of tokens: each one once and in order, whoever sends them.

mod assembler;
mod decoder;

pub use assembler::{Action, Assembler};
pub use decoder::Decoder;
