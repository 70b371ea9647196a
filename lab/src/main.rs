//! Command line of the experiments on the gateway. All sockets are bound to loopback addresses. Every command that
//! the help lists terminates on its own.
//!
//! - `idle` measures the cost of idle sessions, which processes running `helper` hold.
//! - `configuration` simulates how configuration changes spread over a fleet, and measures their cost.
//! - `classes` and `engines` summarize debug logs, which `log` reads.
//! - `gateway_process` starts a gateway and reads its resource usage. `spread` summarizes durations.
//! - The library `wrenhatch_lab` has the commands `capacity` and `hollow`.

mod classes;
mod configuration;
mod engines;
mod gateway_process;
mod helper;
mod idle;
mod log;
mod spread;

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

/// Arguments of the program. The help shows the package description as the title.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

/// Client protocol of the idle sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FrontEnd {
    /// PostgreSQL.
    Pg,
    /// MySQL.
    Mysql,
}

#[derive(Subcommand)]
enum Command {
    /// Measures the cost of idle sessions, the lag of timers, and a simultaneous wake-up of half of the sessions.
    Idle(idle::Options),
    /// Summarizes request outcomes by class over a fleet, from the debug logs of its gateways.
    Classes(classes::Options),
    /// Simulates how fast configuration changes reach a fleet, and measures their cost.
    Configuration(configuration::Options),
    /// Summarizes connections and attempts of a fleet to its engines, from the debug logs of its gateways.
    Engines(engines::Options),
    /// Measures the gateway's cost as a function of size, and generates the page that compares it with a target size.
    Capacity(wrenhatch_lab::capacity::Options),
    /// Measures the cost of the control plane over a fleet without client traffic.
    Hollow(wrenhatch_lab::hollow::Options),
    /// Holds sessions for `idle`; reads commands from standard input.
    #[command(hide = true)]
    Helper {
        /// Address of the gateway.
        address: SocketAddr,
        /// Local address of the connections.
        source: IpAddr,
        /// Client protocol.
        front: FrontEnd,
        /// Number of sessions to hold.
        connections: usize,
    },
}

/// Output of figures in addition to the printed table.
#[derive(clap::Args)]
pub struct Output {
    /// File to write the figures to, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

impl Output {
    fn write(&self, figures: &impl serde::Serialize) -> anyhow::Result<()> {
        if let Some(path) = &self.json {
            std::fs::write(path, serde_json::to_string_pretty(figures)? + "\n")?;
        }
        Ok(())
    }
}

fn main() -> anyhow::Result<()> {
    match Arguments::parse().command {
        Command::Idle(options) => idle::run(&options),
        Command::Classes(options) => classes::run(&options),
        Command::Configuration(options) => configuration::run(&options),
        Command::Engines(options) => engines::run(&options),
        Command::Capacity(options) => Ok(wrenhatch_lab::capacity::run(&options)?),
        Command::Hollow(options) => Ok(wrenhatch_lab::hollow::run(&options)?),
        Command::Helper { address, source, front, connections } => {
            helper::run(address, source, front, connections)
        }
    }
}
