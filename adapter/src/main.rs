//! Runs workload managers for the simulator: reads batches of events from standard input, one JSON value a line,
//! and writes one reply with the actions for each to standard output.
//!
//! All decisions are those of `workload_manager`; this program only translates. The wire's themed names end in
//! [`wire`] and [`translate`].

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
    // A panic in the decisions is reported on the wire; the default report would only repeat it.
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
