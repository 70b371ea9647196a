//! The `capacity` and `hollow` commands as a library, so that integration tests can call them.
//!
//! - [`capacity`] measures the cost of a gateway process as a function of size, and generates the capacity page.
//! - [`hollow`] measures and simulates the cost of the control plane in a fleet without client traffic. The page
//!   includes its figures.

pub mod capacity;
pub mod hollow;
