//! The program `wrenhatch`: parses the command line, and runs the commands `serve`, `check`, `version` and `help`.

use std::process::ExitCode;

use lexopt::prelude::*;
use wrenhatch::config::{self, Config, ConfigError};
use wrenhatch::net::{self, ServeError};

const HELP: &str = "\
wrenhatch, a gateway in front of query engines

    wrenhatch serve      serve clients with the configuration from LB_CONFIG, LB_LISTEN and LB_NAME; SIGTERM
                         shuts down, SIGHUP reads LB_CONFIG again, SIGUSR1 prints counters
    wrenhatch check      read the configuration, print a summary, and exit
    wrenhatch version    print the version
    wrenhatch help       print this help

    --config FILE        with serve or check: the operator's file in TOML, as deploy/wrenhatch.example.toml:
                         limits of client connections, the MySQL front end and the control plane servers,
                         which are disabled without it
    --log LEVEL          error, warn, info (the default), debug or trace
";

/// Error with which the program exits.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("{0}")]
    Arguments(#[from] lexopt::Error),
    #[error("--log: unknown level")]
    UnknownLogLevel,
    #[error("unknown command {0}; see wrenhatch help")]
    UnknownCommand(String),
    #[error("missing command; see wrenhatch help")]
    MissingCommand,
    #[error("can't install signal handlers: {0}")]
    Signals(std::io::Error),
    #[error("{0}")]
    Configuration(#[from] ConfigError),
    #[error("{0}")]
    Serve(#[from] ServeError),
}

/// Parsed arguments of the program.
struct CommandLine {
    command: Option<String>,
    operator_file: Option<String>,
    log_level: tracing::Level,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wrenhatch: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), CommandError> {
    let CommandLine { command, operator_file, log_level } = parse_command_line()?;
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(log_level)
        .without_time()
        .init();
    let operator_file = operator_file.as_deref();
    match command.as_deref() {
        Some("serve") => {
            // Signal handlers are installed first, because a signal before that would end the process.
            let signals = net::Signals::catch().map_err(CommandError::Signals)?;
            serve(config::from_environment(operator_file)?, signals)?;
        }
        Some("check") => print_configuration(&config::from_environment(operator_file)?),
        Some("version") => println!("wrenhatch {}", env!("CARGO_PKG_VERSION")),
        Some("help") => print!("{HELP}"),
        Some(other) => return Err(CommandError::UnknownCommand(other.to_owned())),
        None => return Err(CommandError::MissingCommand),
    }
    Ok(())
}

fn parse_command_line() -> Result<CommandLine, CommandError> {
    let mut parser = lexopt::Parser::from_env();
    let (mut command, mut operator_file, mut log_level) = (None, None, tracing::Level::INFO);
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => command = Some("help".to_owned()),
            Short('V') | Long("version") => command = Some("version".to_owned()),
            Long("config") => operator_file = Some(parser.value()?.string()?),
            Long("log") => {
                let level = parser.value()?.string()?;
                log_level = level.parse().map_err(|_| CommandError::UnknownLogLevel)?;
            }
            Value(value) if command.is_none() => command = Some(value.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(CommandLine { command, operator_file, log_level })
}

fn print_configuration(config: &Config) {
    println!(
        "{} on {}: {} classes, {} tenants, {} known events of the endpoint list, {} descriptors, up to {} sessions",
        config.name,
        config.listen,
        config.names.classes.len(),
        config.names.tenants.len(),
        config.known_list.events.len(),
        config.max_descriptors,
        net::max_sessions(config)
    );
    if let Some(mysql) = &config.mysql {
        println!("MySQL on {}: {} engines", mysql.listen, mysql.engines.len());
    }
    if let Some(control_plane) = &config.control_plane {
        println!("live reconfiguration from {} control plane servers", control_plane.servers.len());
    }
}

fn serve(config: Config, signals: net::Signals) -> Result<(), ServeError> {
    let name = config.name.clone();
    let server = net::Server::new(config, signals)?;
    let (listen, mysql) = server.addresses();
    let ops = server.admin_address().map(|address| address.to_string());
    let [listen, mysql, ops] = [listen, mysql, ops].map(|address| address.unwrap_or_else(|| "-".to_owned()));
    tracing::info!(%name, %listen, %mysql, %ops, "serving");
    let counters = server.run()?;
    tracing::info!(%counters, "ended");
    Ok(())
}
