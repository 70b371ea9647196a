//! What idle sessions cost, how punctual timers are, and what a wake-up of half of all sessions does.

mod active_clients;
mod helpers;
mod in_memory;
mod report;
mod round;
mod time_outs;

use std::path::PathBuf;

use clap::Args;

use crate::{Front, Output, fleet};

/// Settings of the experiment.
#[derive(Args)]
pub struct Options {
    /// Idle sessions.
    #[arg(long, default_value_t = 15_000)]
    connections: usize,
    /// The session table, the timer wheel and the read scheduler alone, without sockets.
    #[arg(long)]
    in_memory: bool,
    /// What idle sessions speak.
    #[arg(long, value_enum, default_value_t = Front::Pg)]
    front: Front,
    /// A gateway that is built already; without it the workspace's is built.
    #[arg(long)]
    gateway: Option<PathBuf>,
    /// An earlier build, measured in turn with the gateway; PostgreSQL only.
    #[arg(long)]
    against: Option<PathBuf>,
    /// How often all is measured.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// How often in a round half of the sessions wake up.
    #[arg(long, default_value_t = 5)]
    wakes: usize,
    /// Also measures time-outs of 3 s and 20 s.
    #[arg(long)]
    time_outs: bool,
    /// How long each steady state is watched, in seconds.
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
        None => fleet::build()?,
    };
    let mut rounds = Vec::new();
    for n in 1..=options.rounds {
        let builds = [(Some(&program), "this build"), (options.against.as_ref(), "the build before")];
        for (at, (path, name)) in builds.into_iter().enumerate() {
            let Some(path) = path else { continue };
            let found = round::run(options, path, name, at == 0)?;
            println!("{found}   (round {n} of {})\n", options.rounds);
            rounds.push(found);
        }
    }
    options.output.write(&rounds)
}
