//! Other settings are taken over while the gateway serves: whole, between two turns, or not at all.

use std::collections::BTreeSet;

use workload_manager::{Class, ClassId, SettingsError};

use super::{Server, sessions};
use crate::config::{self, ConfigError, SiteSettings};
use crate::settings_change::{self, Named, Plan, Refusal};

/// Why settings are not taken over. The ones in force stay, whole.
#[derive(Debug, thiserror::Error)]
pub enum ReconfigureError {
    /// They can't be read, or make no sense.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// They hold what can't change in service.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The decision module can't act on them.
    #[error("settings: {0}")]
    Module(#[from] SettingsError),
}

impl Server {
    /// Takes over the settings of this text, the `settings` object of a configuration. Requests in flight keep the
    /// classes that they came with, and the deadlines that follow from them.
    ///
    /// # Errors
    /// Why nothing was changed.
    pub(super) fn reconfigure(&mut self, text: &str) -> Result<(), ReconfigureError> {
        let fresh = config::parse_site_settings(text)?;
        let plan = self.plan_change(&fresh)?;
        let in_force: Vec<Class> = plan.change.active_classes().into_iter().cloned().collect();
        self.core.reconfigure(plan.change.clone())?;
        // From here on nothing fails.
        self.names = plan.names;
        self.config.settings = plan.change.settings;
        self.config.engine_idle_timeout_us = fresh.engine_idle_timeout_us;
        self.config.connect_timeout_us = fresh.connect_timeout_us;
        self.config.max_open_requests = fresh.max_open_requests;
        self.metrics.rename(self.names.classes.iter().map(String::as_str));
        let deadlines = || in_force.iter().map(|class| class.deadline);
        self.sessions.scheduler.set_limits(sessions::read_limits(&self.config, deadlines()));
        self.shutdown.set_deadlines(deadlines());
        Ok(())
    }

    fn plan_change(&self, fresh: &SiteSettings) -> Result<Plan, Refusal> {
        let old = Named { names: &self.names, settings: &self.config.settings };
        let new = Named { names: &fresh.names, settings: &fresh.settings };
        let tenants = self.config.mysql.iter().flat_map(|mysql| mysql.directory.tenants());
        settings_change::plan(old, new, &self.classes_in_use(), tenants)
    }

    /// The classes of whatever is under way, here and in the core.
    fn classes_in_use(&self) -> BTreeSet<ClassId> {
        let mut in_use = self.core.classes_in_use();
        in_use.extend(self.requests.open.values().map(|request| request.class));
        in_use
    }
}
