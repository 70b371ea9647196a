//! Reload of the configuration file on SIGHUP, while the gateway serves.

use wrenhatch_configuration::Version;

use super::{NetTimer, Server};
use crate::config;

/// Delay before the reload is retried if the file could not be read, as it may be incomplete while being written.
const RETRY_US: u64 = 100_000;
/// Number of attempts after which the reload fails.
const MAX_ATTEMPTS: u32 = 20;

impl Server {
    /// Reads the file and applies the address of the discovery service and newer events of the endpoint list. If the
    /// file can't be read, nothing is changed and the reload is retried up to [`MAX_ATTEMPTS`]. `failures` is the
    /// number of failures so far. Does nothing if the configuration was not read from a file.
    pub(super) fn reload(&mut self, failures: u32) {
        let Some(path) = self.config.path.clone() else { return };
        match config::from_file(&path) {
            Ok(new) => {
                tracing::info!(discovery = ?new.discovery, "configuration reloaded");
                self.counters.reloads += 1;
                self.warn_of_differences(&new);
                new.known_list.events.iter().for_each(|event| self.apply_known_list_event(event));
                match new.discovery {
                    Some(to) => self.change_discovery_address(to),
                    None => {
                        tracing::warn!("the configuration names no discovery service; the old one is kept")
                    }
                }
            }
            Err(error) if failures + 1 < MAX_ATTEMPTS => {
                tracing::debug!(%error, "reloading the configuration failed; it will be retried");
                self.timers.arm(self.time.now_us + RETRY_US, NetTimer::Reload(failures + 1));
            }
            Err(error) => {
                tracing::error!(%error, "reloading the configuration failed; the old settings are kept")
            }
        }
    }

    /// Logs a warning if the file's settings differ from those in force, as they only apply from the next start.
    fn warn_of_differences(&self, new: &config::Config) {
        if self.control_plane.as_ref().is_some_and(|c| c.client.in_force() > Version::NONE) {
            // The settings in force came from the control plane and not from the file.
            return;
        }
        let missing = |from: &[String], names: &[String]| -> Vec<String> {
            names.iter().filter(|name| !from.contains(name)).cloned().collect()
        };
        let (old_names, new_names) = (&self.names, &new.names);
        let names_differ = old_names.classes != new_names.classes || old_names.tenants != new_names.tenants;
        if names_differ || self.config.settings != new.settings {
            tracing::warn!(
                classes_gone = ?missing(&new_names.classes, &old_names.classes),
                classes_new = ?missing(&old_names.classes, &new_names.classes),
                tenants_gone = ?missing(&new_names.tenants, &old_names.tenants),
                tenants_new = ?missing(&old_names.tenants, &new_names.tenants),
                "settings in the file differ from those in force and are not applied"
            );
        }
    }
}
