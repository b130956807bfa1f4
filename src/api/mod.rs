//! HTTP APIs for callers and operators.

pub mod caller;
pub mod entries;
pub mod jobs;
pub mod operator;
