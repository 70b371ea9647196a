//! Registry of engines by name: listed engines, names of formerly listed engines, and engines in maintenance.
//!
//! [`EngineRegistry::apply`] applies an event of the list and returns the event that the rest of the gateway uses, in
//! which an engine in maintenance is draining.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use workload_manager::EndpointState;

use super::endpoint::{Endpoint, EndpointListEvent};

/// Number of names that are stored regardless of the memory limit.
const MIN_KNOWN_NAMES: usize = 4096;
/// Bytes of the gateway's memory limit for each stored name, if the limit allows more than [`MIN_KNOWN_NAMES`] names.
const MEMORY_BYTES_PER_NAME: usize = 8192;

/// The name is not in the registry: the engine was never listed, or its name was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no engine of this name was ever listed")]
pub struct UnknownEngine;

/// Listed engines, known names, and engines in maintenance.
#[derive(Debug)]
pub struct EngineRegistry {
    endpoints: BTreeMap<String, Endpoint>,
    known_names: BTreeSet<String>,
    /// The elements of `known_names`, oldest first.
    names_by_age: VecDeque<String>,
    max_names: usize,
    in_maintenance: BTreeSet<String>,
    /// End of each engine's last maintenance, in Unix milliseconds. The engine counts as started at that time.
    maintenance_end_ms: BTreeMap<String, u64>,
}

impl EngineRegistry {
    /// Creates an empty registry. `memory_bytes` is the gateway's memory limit, which bounds the number of known names.
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            endpoints: BTreeMap::new(),
            known_names: BTreeSet::new(),
            names_by_age: VecDeque::new(),
            max_names: MIN_KNOWN_NAMES.max(memory_bytes / MEMORY_BYTES_PER_NAME),
            in_maintenance: BTreeSet::new(),
            maintenance_end_ms: BTreeMap::new(),
        }
    }

    /// Applies an event of the list and returns the effective event. In the effective event, an engine in maintenance
    /// is draining, and the start time of an engine is not before the end of its last maintenance.
    ///
    /// An engine whose entry can't be read keeps its previous entry but is draining, because its state is unknown. An
    /// engine without a previous entry is not listed.
    pub fn apply(&mut self, event: &EndpointListEvent) -> EndpointListEvent {
        let unreadable = event.unreadable.iter().filter_map(|u| self.endpoints.get(u.name.as_ref()?));
        let mut entries: Vec<Endpoint> =
            unreadable.map(|known| Endpoint { state: EndpointState::Draining, ..known.clone() }).collect();
        if event.is_full {
            self.endpoints.clear();
        }
        // If an event has a readable and an unreadable entry of one name, the readable one is applied last.
        entries.extend_from_slice(&event.entries);
        for endpoint in &entries {
            self.remember(&endpoint.name);
            if endpoint.state == EndpointState::Removed {
                self.endpoints.remove(&endpoint.name);
            } else {
                self.endpoints.insert(endpoint.name.clone(), endpoint.clone());
            }
        }
        let entries = entries.iter().map(|endpoint| self.with_maintenance(endpoint)).collect();
        EndpointListEvent { index: event.index, is_full: event.is_full, entries, unreadable: Vec::new() }
    }

    fn with_maintenance(&self, endpoint: &Endpoint) -> Endpoint {
        let state = match endpoint.state {
            EndpointState::Ready if self.in_maintenance.contains(&endpoint.name) => EndpointState::Draining,
            state => state,
        };
        let maintenance_end_ms = self.maintenance_end_ms.get(&endpoint.name).copied().unwrap_or(0);
        let started_ms = endpoint.started_ms.max(maintenance_end_ms);
        Endpoint { state, started_ms, ..endpoint.clone() }
    }

    /// Adds a known name. The oldest names are evicted beyond the limit, except names of listed engines and of engines
    /// in maintenance, which may exceed it.
    pub fn remember(&mut self, name: &str) {
        if !self.known_names.insert(name.to_owned()) {
            return;
        }
        self.names_by_age.push_back(name.to_owned());
        for _ in 0..self.names_by_age.len().saturating_sub(self.max_names) {
            let Some(oldest) = self.names_by_age.pop_front() else { return };
            if self.in_maintenance.contains(&oldest) || self.endpoints.contains_key(&oldest) {
                self.names_by_age.push_back(oldest);
            } else {
                self.known_names.remove(&oldest);
                self.maintenance_end_ms.remove(&oldest);
            }
        }
    }

    /// Adds a known name from another process of this gateway. `maintenance_end_ms` is the end of the engine's last
    /// maintenance in Unix milliseconds, or 0 without one.
    pub fn restore(&mut self, name: &str, maintenance_end_ms: u64) {
        self.remember(name);
        if maintenance_end_ms > 0 {
            self.maintenance_end_ms.insert(name.to_owned(), maintenance_end_ms);
        }
    }

    /// Begins maintenance of an engine. Returns the event to be applied if the engine is listed and was not in
    /// maintenance.
    ///
    /// # Errors
    /// The name is unknown.
    pub fn begin_maintenance(&mut self, name: &str) -> Result<Option<EndpointListEvent>, UnknownEngine> {
        if !self.known_names.contains(name) {
            return Err(UnknownEngine);
        }
        Ok(self.in_maintenance.insert(name.to_owned()).then(|| self.update_event(name)).flatten())
    }

    /// Ends maintenance of an engine. The engine counts as started at `now_ms`, in Unix milliseconds. Returns the event
    /// to be applied if the engine is listed and was in maintenance.
    ///
    /// # Errors
    /// The name is unknown.
    pub fn end_maintenance(
        &mut self,
        name: &str,
        now_ms: u64,
    ) -> Result<Option<EndpointListEvent>, UnknownEngine> {
        if !self.known_names.contains(name) {
            return Err(UnknownEngine);
        }
        if !self.in_maintenance.remove(name) {
            return Ok(None);
        }
        self.maintenance_end_ms.insert(name.to_owned(), now_ms);
        Ok(self.update_event(name))
    }

    fn update_event(&self, name: &str) -> Option<EndpointListEvent> {
        let entries = vec![self.with_maintenance(self.endpoints.get(name)?)];
        Some(EndpointListEvent { index: 0, is_full: false, entries, unreadable: Vec::new() })
    }

    /// Number of engines in the list.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Engines in the list. Their states ignore maintenance.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Names of the engines in maintenance.
    pub fn in_maintenance(&self) -> impl Iterator<Item = &str> {
        self.in_maintenance.iter().map(String::as_str)
    }

    /// All known names, each with the end of the engine's last maintenance in Unix milliseconds, or 0 without one.
    pub fn known_names(&self) -> impl Iterator<Item = (&str, u64)> {
        self.known_names.iter().map(|n| (n.as_str(), self.maintenance_end_ms.get(n).copied().unwrap_or(0)))
    }
}

#[cfg(test)]
mod tests;
