//! Runs experiments and random runs against the stand-ins.

fn main() {}
