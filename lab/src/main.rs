//! Experiments on the gateway. Everything binds to loopback and stops by itself.

mod classes;
mod configuration;
mod engines;
mod fleet;
mod helper;
mod idle;
mod log;
mod spread;

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

/// Experiments on the gateway, on loopback.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

/// Which protocol idle sessions speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Front {
    /// PostgreSQL.
    Pg,
    /// MySQL.
    Mysql,
}

#[derive(Subcommand)]
enum Command {
    /// What idle sessions cost, how punctual timers are, and what a wake-up of half of them does.
    Idle(idle::Options),
    /// What became of each class over a fleet, from its gateways' logs at debug.
    Classes(classes::Options),
    /// How long changes of the configuration take to reach a fleet, and what they cost.
    Configuration(configuration::Options),
    /// What a fleet does to its engines, from its gateways' logs at debug.
    Engines(engines::Options),
    /// What the gateway costs by size, and the page that holds it against a target.
    Capacity(wrenhatch_lab::capacity::Options),
    /// What control costs a fleet, without its clients' traffic.
    Hollow(wrenhatch_lab::hollow::Options),
    /// Opens and holds sessions for `idle`, by commands on its standard input.
    #[command(hide = true)]
    Helper {
        /// Where the gateway listens.
        address: SocketAddr,
        /// The address to connect from.
        source: IpAddr,
        /// What to speak.
        front: Front,
        /// How many sessions to hold.
        connections: usize,
    },
}

/// Where results go, beside the terminal.
#[derive(clap::Args)]
pub struct Output {
    /// Writes the figures here as JSON.
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
