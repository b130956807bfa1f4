//! The operators' configuration: resources, their validation and their spread.

pub mod resource;
