//! A process that hosts gateways without clients. Each gateway runs as a complete server on its own thread.

use std::io::Write;
use std::path::PathBuf;
use std::thread::JoinHandle;

use clap::Args;
use serde::{Deserialize, Serialize};
use wrenhatch::config;
use wrenhatch::net::{Server, Signals};

use crate::hollow::bounds::Bounds;
use crate::hollow::error::HollowError;

/// Upper bound on the descriptors of a gateway without clients: poller, listeners, signal pipes and list stream.
pub const GATEWAY_DESCRIPTORS: u64 = 24;
/// Stack size of a gateway's thread, in bytes.
const STACK_BYTES: usize = 1 << 20;

/// Options of `hollow host`.
#[derive(Args)]
pub struct Options {
    /// Folder with the configurations of the gateways.
    #[arg(long)]
    folder: PathBuf,
    /// Number of the first gateway.
    #[arg(long)]
    first: usize,
    /// Number of gateways to host.
    #[arg(long)]
    count: usize,
}

/// Counters of a gateway at shutdown.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct GatewayCounts {
    /// Connection attempts for the list, including those that fail.
    pub list_connects: u64,
    /// List events applied.
    pub list_events: u64,
    /// Connections opened to databases.
    pub engine_connects: u64,
}

impl GatewayCounts {
    /// Returns the field-wise sum.
    pub fn plus(self, other: Self) -> Self {
        Self {
            list_connects: self.list_connects + other.list_connects,
            list_events: self.list_events + other.list_events,
            engine_connects: self.engine_connects + other.engine_connects,
        }
    }
}

/// Thread name of a gateway, by which its processor time is found.
pub fn thread_name(gateway: usize) -> String {
    format!("gateway-{gateway}")
}

/// File name of a gateway's configuration.
pub fn configuration_file(gateway: usize) -> String {
    format!("gateway-{gateway}.json")
}

/// Hosts gateways until SIGTERM, then prints the counters of each as a line of JSON.
///
/// # Errors
/// The gateways may need too many descriptors, or a gateway fails to start or to run.
pub fn run(options: &Options) -> Result<(), HollowError> {
    Bounds::check_descriptors(options.count as u64 * GATEWAY_DESCRIPTORS)?;
    let gateways = (options.first..options.first + options.count).map(|gateway| start(options, gateway));
    let gateways: Vec<_> = gateways.collect::<Result<_, _>>()?;
    let mut out = std::io::stdout().lock();
    for gateway in gateways {
        let counts = match gateway.join() {
            Ok(counts) => counts?,
            Err(panic) => std::panic::resume_unwind(panic),
        };
        let line = serde_json::to_string(&counts).map_err(std::io::Error::from)?;
        writeln!(out, "{line}")?;
    }
    Ok(())
}

fn start(
    options: &Options,
    gateway: usize,
) -> Result<JoinHandle<Result<GatewayCounts, HollowError>>, HollowError> {
    let path = options.folder.join(configuration_file(gateway)).display().to_string();
    let thread = std::thread::Builder::new().name(thread_name(gateway)).stack_size(STACK_BYTES);
    Ok(thread.spawn(move || serve(&path))?)
}

fn serve(path: &str) -> Result<GatewayCounts, HollowError> {
    let signals = Signals::catch()?;
    let gateway_failure = |e: wrenhatch::net::ServeError| HollowError::GatewayFailure(e.to_string());
    let counters = Server::new(config::from_file(path)?, signals)
        .map_err(gateway_failure)?
        .run()
        .map_err(gateway_failure)?;
    Ok(GatewayCounts {
        list_connects: counters.list_connects,
        list_events: counters.list_events,
        engine_connects: counters.engine_connects,
    })
}
