//! The gateway's command line.

mod config;
mod coordinator;
mod core;
mod counters;
mod engine;
mod front;
mod net;

use std::process::ExitCode;

use lexopt::prelude::*;

const HELP: &str = "\
wrenhatch, a gateway in front of query engines

    wrenhatch serve      serve as LB_CONFIG, LB_LISTEN and LB_NAME say; SIGTERM ends it, SIGUSR1 prints counters
    wrenhatch check      read the configuration, say what is in it, and end
    wrenhatch version    print the version
    wrenhatch help       print this
";

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(tracing::Level::INFO)
        .without_time()
        .init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("wrenhatch: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut parser = lexopt::Parser::from_env();
    let mut command = None;
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Short('h') | Long("help") => command = Some("help".to_owned()),
            Short('V') | Long("version") => command = Some("version".to_owned()),
            Value(word) if command.is_none() => command = Some(word.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    match command.as_deref() {
        Some("serve") => serve(),
        Some("check") => {
            let c = config::from_environment().map_err(|e| e.to_string())?;
            println!(
                "{} on {}: {} classes, {} tenants, {} events of the list known, {} descriptors",
                c.name,
                c.listen,
                c.names.classes.len(),
                c.names.tenants.len(),
                c.known.1.len(),
                c.sockets
            );
            Ok(())
        }
        Some("version") => {
            println!("wrenhatch {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("help") => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => Err(format!("unknown command {other}; see wrenhatch help")),
        None => Err("a command is missing; see wrenhatch help".to_owned()),
    }
}

fn serve() -> Result<(), String> {
    let config = config::from_environment().map_err(|e| e.to_string())?;
    tracing::info!(name = %config.name, listen = %config.listen, "serving");
    let server = net::Server::new(config).map_err(|e| e.to_string())?;
    let counters = server.run().map_err(|e| e.to_string())?;
    tracing::info!(%counters, "ended");
    Ok(())
}
