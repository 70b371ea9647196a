//! Reads batches from standard input, writes one reply for each to standard output.
//! All decisions are the library's; this program only translates.

mod host;
mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic in the decision module is told on the wire; its own report would only repeat that.
    std::panic::set_hook(Box::new(|info| eprintln!("simulator-adapter: {info}")));
    match run(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    for (number, line) in input.lines().enumerate() {
        let at = |e: &dyn std::fmt::Display| format!("line {}: {e}", number + 1);
        let line = line.map_err(|e| at(&e))?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.line(&line).map_err(|e| at(&e))?;
        serde_json::to_writer(&mut output, &reply).map_err(|e| at(&e))?;
        output.write_all(b"\n").and_then(|()| output.flush()).map_err(|e| at(&e))?;
    }
    Ok(())
}
