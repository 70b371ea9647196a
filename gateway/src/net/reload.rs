//! SIGHUP: the configuration's file is read again while the gateway serves.

use wrenhatch_configuration::Version;

use super::{Server, Timer};
use crate::config;

/// Between two tries to read a file that may still be being written.
const RETRY_US: u64 = 100_000;
/// Tries until the old settings are kept for good.
const MOST_TRIES: u32 = 20;

impl Server {
    /// Reads the file and takes over what may change in service: the coordinator, and events of the list that
    /// are news. A file that can't be read changes nothing; it may be half written and is tried again.
    pub(super) fn reload(&mut self, failures: u32) {
        let Some(path) = self.config.path.clone() else { return };
        match config::from_file(&path) {
            Ok(fresh) => {
                tracing::info!(coordinator = ?fresh.discovery, "configuration read again");
                self.counters.reloads += 1;
                self.tell_differences(&fresh);
                fresh.known_list.events.iter().for_each(|event| self.known_list_event(event));
                match fresh.discovery {
                    Some(to) => self.move_watch(to),
                    None => tracing::warn!("no coordinator is named any more: the old one is kept"),
                }
            }
            Err(e) if failures + 1 < MOST_TRIES => {
                tracing::debug!("configuration: {e}; trying again");
                self.timers.arm(self.time.now_us + RETRY_US, Timer::Reload(failures + 1));
            }
            Err(e) => tracing::error!("configuration: {e}; the old settings are kept"),
        }
    }

    /// Classes, tenants and rules stay as they were at the start: requests of them wait and run, known by what they
    /// were called then. Operators are told in one line what a new start would change.
    fn tell_differences(&self, fresh: &config::Config) {
        let gone = |old: &[String], new: &[String]| -> Vec<String> {
            old.iter().filter(|name| !new.contains(name)).cloned().collect()
        };
        if self.control_plane.as_ref().is_some_and(|c| c.client.in_force() > Version::NONE) {
            // The settings in force came from the control plane and not from the file.
            return;
        }
        let (old, new) = (&self.names, &fresh.names);
        let moved = old.classes != new.classes || old.tenants != new.tenants;
        if moved || self.config.settings != fresh.settings {
            tracing::warn!(
                classes_gone = ?gone(&old.classes, &new.classes),
                classes_new = ?gone(&new.classes, &old.classes),
                tenants_gone = ?gone(&old.tenants, &new.tenants),
                tenants_new = ?gone(&new.tenants, &old.tenants),
                "the settings have changed: they count from the next start of the gateway, not before"
            );
        }
    }
}
