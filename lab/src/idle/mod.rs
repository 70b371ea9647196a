//! The `idle` command: measures the cost of idle sessions, the lag of timers, and a simultaneous wake-up of half of
//! the sessions.

mod active_clients;
mod helpers;
mod in_memory;
mod report;
mod round;
mod time_outs;

use std::path::PathBuf;

use clap::Args;

use crate::{FrontEnd, Output, gateway_process};

/// Size, duration and gateway builds of the experiment.
#[derive(Args)]
pub struct Options {
    /// Number of idle sessions.
    #[arg(long, default_value_t = 15_000)]
    connections: usize,
    /// Measures the session table, the timer wheel and the read scheduler alone, without sockets.
    #[arg(long)]
    in_memory: bool,
    /// Client protocol of the idle sessions.
    #[arg(long, value_enum, default_value_t = FrontEnd::Pg)]
    front: FrontEnd,
    /// Gateway executable; by default the gateway of the workspace is built.
    #[arg(long)]
    gateway: Option<PathBuf>,
    /// Executable of an earlier build, measured alternately with the gateway; PostgreSQL only.
    #[arg(long)]
    against: Option<PathBuf>,
    /// Number of rounds, each with all measurements.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Number of wake-ups of half of the sessions in a round.
    #[arg(long, default_value_t = 5)]
    wakes: usize,
    /// Also measures how late requests time out after 3 s and 20 s.
    #[arg(long)]
    time_outs: bool,
    /// Duration of each steady-state measurement, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    #[command(flatten)]
    output: Output,
}

/// Runs the experiment.
pub fn run(options: &Options) -> anyhow::Result<()> {
    if options.in_memory {
        let figures = in_memory::measure(options.connections)?;
        println!("{figures}");
        return options.output.write(&figures);
    }
    let program = match &options.gateway {
        Some(path) => path.clone(),
        None => gateway_process::build_gateway()?,
    };
    let mut rounds = Vec::new();
    for n in 1..=options.rounds {
        let builds = [(Some(&program), "this build"), (options.against.as_ref(), "the build before")];
        for (index, (path, name)) in builds.into_iter().enumerate() {
            let Some(path) = path else { continue };
            let figures = round::run(options, path, name, index == 0)?;
            println!("{figures}   (round {n} of {})\n", options.rounds);
            rounds.push(figures);
        }
    }
    options.output.write(&rounds)
}
