//! `wrenhatch-lab hollow`: what control costs a fleet, without its clients' traffic.
//!
//! `simulate` runs events in simulated time on the gateway's own control-side code, `sockets` runs whole gateways
//! without clients over loopback, and `compare` runs the same small fleet hollow, as real processes and in simulated
//! time, and compares counts, processor time and memory. How they work, and what they leave out, stands in
//! `docs/design/capacity-hollow.md`.

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

/// Runs of a fleet without its clients' traffic.
#[derive(Args)]
pub struct Options {
    #[command(subcommand)]
    run: Run,
}

#[derive(Subcommand)]
enum Run {
    /// Events in simulated time on the gateway's control-side code.
    Simulate(simulate::Options),
    /// Whole gateways without clients in few processes, over loopback.
    Sockets(sockets::Options),
    /// A small fleet hollow, as real processes and in simulated time.
    Compare(compare::Options),
    /// Holds gateways for `sockets` and `compare` until SIGTERM.
    #[command(hide = true)]
    Host(sockets::host::Options),
}

/// Runs the chosen command.
///
/// # Errors
/// An option is wrong, a bound is passed, or figures are not usable.
pub fn run(options: &Options) -> Result<(), error::HollowError> {
    match &options.run {
        Run::Simulate(options) => simulate::run(options),
        Run::Sockets(options) => sockets::run(options),
        Run::Compare(options) => compare::run(options),
        Run::Host(options) => sockets::host::run(options),
    }
}
