//! The engines by name: which are in the endpoint list, which ever were, and which are in maintenance.
//!
//! Events of the list go through [`EngineRegistry::apply`] and come out as the rest of the gateway has to see them: an
//! engine in maintenance is draining, whatever the list says.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use workload_manager::EndpointState;

use super::endpoint::{Endpoint, EndpointListEvent};

/// Names that are always remembered after their engines were removed.
const MIN_KNOWN_NAMES: usize = 4096;
/// Bytes of the gateway's memory for each name that is remembered beyond [`MIN_KNOWN_NAMES`].
const MEMORY_BYTES_PER_NAME: usize = 8192;

/// No engine of this name was ever in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no engine of this name was ever listed")]
pub struct UnknownEngine;

/// The engines by name.
#[derive(Debug)]
pub struct EngineRegistry {
    endpoints: BTreeMap<String, Endpoint>,
    known_names: BTreeSet<String>,
    /// The same names, those known for longest first.
    names_by_age: VecDeque<String>,
    max_names: usize,
    in_maintenance: BTreeSet<String>,
    /// When maintenance of an engine ended, in Unix milliseconds: it counts as started then.
    maintenance_end_ms: BTreeMap<String, u64>,
}

impl EngineRegistry {
    /// An empty registry of a gateway that may use so many bytes of memory.
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

    /// Applies an event of the list and returns it as it counts: an engine in maintenance is draining, and one whose
    /// maintenance has ended started then at the earliest.
    ///
    /// An engine whose entry can't be read stays as it was listed, but drains: nothing says that it may be used.
    pub fn apply(&mut self, event: &EndpointListEvent) -> EndpointListEvent {
        let unreadable = event.unreadable.iter().filter_map(|u| self.endpoints.get(u.name.as_ref()?));
        let mut entries: Vec<Endpoint> =
            unreadable.map(|known| Endpoint { state: EndpointState::Draining, ..known.clone() }).collect();
        if event.is_full {
            self.endpoints.clear();
        }
        // Where an event has two entries of one name, the one that can be read counts.
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

    /// Remembers a name. The oldest are forgotten, so that new names all day take no memory for good; names of listed
    /// engines and of those in maintenance are kept.
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

    /// Remembers a name that another process of this gateway knows, and when maintenance of its engine ended, in Unix
    /// milliseconds; 0: never.
    pub fn restore(&mut self, name: &str, maintenance_end_ms: u64) {
        self.remember(name);
        if maintenance_end_ms > 0 {
            self.maintenance_end_ms.insert(name.to_owned(), maintenance_end_ms);
        }
    }

    /// Begins maintenance of an engine. The event, if any, says what has changed.
    ///
    /// # Errors
    /// It was never listed.
    pub fn begin_maintenance(&mut self, name: &str) -> Result<Option<EndpointListEvent>, UnknownEngine> {
        if !self.known_names.contains(name) {
            return Err(UnknownEngine);
        }
        Ok(self.in_maintenance.insert(name.to_owned()).then(|| self.changed(name)).flatten())
    }

    /// Ends maintenance of an engine, which counts as started at this Unix millisecond. The event, if any, says what has
    /// changed.
    ///
    /// # Errors
    /// It was never listed.
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
        Ok(self.changed(name))
    }

    fn changed(&self, name: &str) -> Option<EndpointListEvent> {
        let entries = vec![self.with_maintenance(self.endpoints.get(name)?)];
        Some(EndpointListEvent { index: 0, is_full: false, entries, unreadable: Vec::new() })
    }

    /// The number of engines in the list.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// The engines in the list, as the list has them.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// The engines in maintenance.
    pub fn in_maintenance(&self) -> impl Iterator<Item = &str> {
        self.in_maintenance.iter().map(String::as_str)
    }

    /// All names that are remembered, each with the end of its engine's maintenance in Unix milliseconds, or 0.
    pub fn known_names(&self) -> impl Iterator<Item = (&str, u64)> {
        self.known_names.iter().map(|n| (n.as_str(), self.maintenance_end_ms.get(n).copied().unwrap_or(0)))
    }
}

#[cfg(test)]
mod tests;
