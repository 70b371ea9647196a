//! The `capacity` and `hollow` commands as a library, so that integration tests can call them.

pub mod capacity;
pub mod hollow;
