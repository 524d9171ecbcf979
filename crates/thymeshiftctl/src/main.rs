//! The operators' program of thymeshift.

fn main() {}
