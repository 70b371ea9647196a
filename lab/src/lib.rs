//! Experiments on the gateway, as a library for their tests.

pub mod capacity;
