//! Runs workload managers for the simulator: reads batches of events from standard input, one JSON value per
//! line, and writes a reply with the resulting actions to standard output for each. Blank lines are skipped.
//!
//! The crate `workload_manager` makes all decisions. This program translates between its types and the wire
//! protocol:
//!
//! - [`wire`]: types of the wire protocol
//! - [`host`]: passes the events of a line to their instances
//! - [`instance`]: a workload manager for one gateway, and the translation of names and actions
//! - [`translate`]: translation of settings, outcomes, progress reports and load reports
//! - [`names`]: tables that map names to ids
//! - [`error`]: errors that end the program

mod error;
mod host;
mod instance;
mod names;
mod translate;
mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use error::AdapterError;

fn main() -> ExitCode {
    // A panic of a workload manager is reported on the wire, and the default report would only repeat it. Standard
    // error gets a short message.
    std::panic::set_hook(Box::new(|info| eprintln!("simulator-adapter: {info}")));
    match run(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = host::Host::default();
    for (index, text) in input.lines().enumerate() {
        let line = index + 1;
        let text = text.map_err(|source| AdapterError::Io { line, source })?;
        if text.trim().is_empty() {
            continue;
        }
        let reply = host.on_line(&text).map_err(|source| AdapterError::Line { line, source })?;
        serde_json::to_writer(&mut output, &reply).map_err(|source| AdapterError::Reply { line, source })?;
        output
            .write_all(b"\n")
            .and_then(|()| output.flush())
            .map_err(|source| AdapterError::Io { line, source })?;
    }
    Ok(())
}
