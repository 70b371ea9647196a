//! `wrenhatch-lab hollow`: measures the cost of the control plane in a fleet without client traffic.
//!
//! `simulate` runs the gateway's control-side code in simulated time. `sockets` runs complete gateways without
//! clients over loopback. `compare` runs one small fleet with hollow gateways, with real processes and in simulated
//! time, and compares event counts, processor time and memory. `docs/design/capacity-hollow.md` describes the method
//! and its limits.
//!
//! A hollow gateway is a complete gateway without clients that runs on a thread of a process with others.
//!
//! `events` builds the scripts that `model` simulates. `list` is the endpoint list of a control machine. `figures`
//! stores the results for the capacity page. `bounds` limits the resources of a run.

pub mod bounds;
pub mod compare;
pub mod control_state;
pub mod error;
pub mod events;
pub mod figures;
pub mod fleet;
pub mod list;
pub mod load;
pub mod model;
mod options;
mod settings;
pub mod simulate;
pub mod sockets;

use clap::{Args, Subcommand};

/// Runs a fleet without client traffic.
#[derive(Args)]
pub struct Options {
    #[command(subcommand)]
    run: Run,
}

#[derive(Subcommand)]
enum Run {
    /// Simulates events with the gateway's control-side code.
    Simulate(simulate::Options),
    /// Runs complete gateways without clients over loopback, many to a process.
    Sockets(sockets::Options),
    /// Compares a small fleet of hollow gateways with real processes and with the simulation.
    Compare(compare::Options),
    /// Hosts gateways for `sockets` and `compare` until SIGTERM.
    #[command(hide = true)]
    Host(sockets::host::Options),
}

/// Runs the selected subcommand.
///
/// # Errors
/// An option is invalid, a bound is exceeded, or the run fails.
pub fn run(options: &Options) -> Result<(), error::HollowError> {
    match &options.run {
        Run::Simulate(options) => simulate::run(options),
        Run::Sockets(options) => sockets::run(options),
        Run::Compare(options) => compare::run(options),
        Run::Host(options) => sockets::host::run(options),
    }
}
