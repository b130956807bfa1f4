//! HTTP interfaces for callers and operators.

pub mod entries;
