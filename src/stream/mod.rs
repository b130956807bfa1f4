//! Token streams that are delivered once and in order, across attempts at several upstreams.

mod assembler;
mod decoder;

pub use assembler::{Action, Assembler};
pub use decoder::Decoder;
