//! The operators' query language over a state dump.
