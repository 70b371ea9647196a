//! The gateway's command line.

use std::process::ExitCode;

use lexopt::prelude::*;
use wrenhatch::{config, net};

const HELP: &str = "\
wrenhatch, a gateway in front of query engines

    wrenhatch serve      serve as LB_CONFIG, LB_LISTEN and LB_NAME say; SIGTERM ends it, SIGHUP reads
                         LB_CONFIG again, SIGUSR1 prints counters
    wrenhatch check      read the configuration, say what is in it, and end
    wrenhatch version    print the version
    wrenhatch help       print this

    --config FILE        with serve or check: the operator's file in TOML, as deploy/wrenhatch.example.toml;
                         limits for clients' connections; the MySQL front and control machines, which are off
                         without it
    --log LEVEL          error, warn, info (the default), debug or trace
";

fn main() -> ExitCode {
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
    let (mut command, mut operator, mut level) = (None, None, tracing::Level::INFO);
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Short('h') | Long("help") => command = Some("help".to_owned()),
            Short('V') | Long("version") => command = Some("version".to_owned()),
            Long("config") => operator = Some(text(&mut parser)?),
            Long("log") => level = text(&mut parser)?.parse().map_err(|_| "--log: an unknown level")?,
            Value(word) if command.is_none() => command = Some(word.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level)
        .without_time()
        .init();
    match command.as_deref() {
        Some("serve") => {
            let signals = net::Signals::catch().map_err(|e| format!("signals: {e}"))?;
            serve(configuration(operator.as_deref())?, signals)
        }
        Some("check") => {
            let c = configuration(operator.as_deref())?;
            println!(
                "{} on {}: {} classes, {} tenants, {} events of the list known, {} descriptors, {} sessions at most",
                c.name,
                c.listen,
                c.names.classes.len(),
                c.names.tenants.len(),
                c.known_list.events.len(),
                c.max_descriptors,
                net::max_sessions(&c)
            );
            if let Some(m) = &c.mysql {
                println!("MySQL on {}: {} engines", m.listen, m.engines.len());
            }
            if let Some(control) = &c.control_plane {
                println!("settings in service from {} control machines", control.servers.len());
            }
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

fn text(parser: &mut lexopt::Parser) -> Result<String, String> {
    parser.value().and_then(|v| v.string()).map_err(|e| e.to_string())
}

fn configuration(operator: Option<&str>) -> Result<config::Config, String> {
    config::from_environment(operator).map_err(|e| e.to_string())
}

fn serve(config: config::Config, signals: net::Signals) -> Result<(), String> {
    let name = config.name.clone();
    let server = net::Server::new(config, signals).map_err(|e| e.to_string())?;
    let (pg, mysql) = server.addresses();
    let ops = server.ops_address().map(|a| a.to_string());
    let [listen, mysql, ops] = [pg, mysql, ops].map(|a| a.unwrap_or_else(|| "-".to_owned()));
    tracing::info!(%name, %listen, %mysql, %ops, "serving");
    let counters = server.run().map_err(|e| e.to_string())?;
    tracing::info!(%counters, "ended");
    Ok(())
}
