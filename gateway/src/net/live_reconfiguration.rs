//! Applies new settings to the running gateway, either all of them or none. The change takes effect between two turns
//! of the core.

use std::collections::BTreeSet;

use workload_manager::{Class, ClassId};

use super::{Server, sessions};
use crate::config::{self, SiteSettings};
use crate::live_reconfiguration::{
    NamedSettings, PreparedSettings, ReconfigurationError, SettingsRefused, prepare,
};

impl Server {
    /// Applies the `settings` object of a configuration. Requests in flight keep their classes and deadlines.
    ///
    /// # Errors
    /// The settings are invalid or can't be applied to a running gateway. Nothing was changed.
    pub(super) fn reconfigure(&mut self, text: &str) -> Result<(), ReconfigurationError> {
        let new = config::parse_site_settings(text)?;
        let prepared = self.prepare_settings(&new)?;
        let active: Vec<Class> = prepared.change.active_classes().into_iter().cloned().collect();
        self.core.reconfigure(prepared.change.clone())?;
        // All steps from here on are infallible, so that no settings are applied in part.
        self.names = prepared.names;
        self.config.settings = prepared.change.settings;
        self.config.engine_idle_timeout_us = new.engine_idle_timeout_us;
        self.config.connect_timeout_us = new.connect_timeout_us;
        self.config.max_open_requests = new.max_open_requests;
        self.metrics.set_class_names(self.names.classes.iter().map(String::as_str));
        let deadlines = || active.iter().map(|class| class.deadline);
        self.sessions.scheduler.set_limits(sessions::read_limits(&self.config, deadlines()));
        self.shutdown.set_deadlines(deadlines());
        Ok(())
    }

    fn prepare_settings(&self, new: &SiteSettings) -> Result<PreparedSettings, SettingsRefused> {
        let current = NamedSettings { names: &self.names, settings: &self.config.settings };
        let new = NamedSettings { names: &new.names, settings: &new.settings };
        let tenants = self.config.mysql.iter().flat_map(|mysql| mysql.directory.tenants());
        prepare(current, new, &self.classes_in_use(), tenants)
    }

    /// The classes of open requests and of attempts in flight.
    fn classes_in_use(&self) -> BTreeSet<ClassId> {
        let mut in_use = self.core.classes_in_use();
        in_use.extend(self.requests.open.values().map(|request| request.class));
        in_use
    }
}
