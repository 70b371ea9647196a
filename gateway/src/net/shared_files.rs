//! Paths of files that the processes of a gateway share. They are in the directory TMPDIR, which the platform keeps
//! during a process replacement and must not share between gateways.

use std::path::PathBuf;

use crate::config::Config;

/// The path of the gateway's file with this extension. Returns `None` if TMPDIR is not set.
pub fn path(config: &Config, extension: &str) -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty())?;
    let name: String = config.name.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-').collect();
    Some(PathBuf::from(directory).join(format!("wrenhatch-{name}.{extension}")))
}
