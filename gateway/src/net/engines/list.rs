//! Applies events of the endpoint list to the table of engines, assigns engine ids, and passes the events to the core.

use std::collections::BTreeSet;

use workload_manager::{EndpointEntry, EndpointListMode, EndpointState, EngineId, MachineTypeId, ZoneId};

use super::{Engine, IdleConnections, Server};
use crate::config::SettingsNames;
use crate::core::Input;
use crate::discovery::{Endpoint, EndpointListEvent};

impl Server {
    /// Applies an event of the endpoint list.
    pub(in crate::net) fn apply_list_event(&mut self, event: &EndpointListEvent) {
        self.counters.list_events += 1;
        // One line covers all unreadable entries, as a list may have thousands of them.
        if let Some(first) = event.unreadable.first() {
            tracing::warn!(
                event = event.index,
                engine = first.name.as_deref().unwrap_or("unnamed"),
                unread = event.unreadable.len(),
                "an entry of the endpoint list can't be read: {}",
                first.error
            );
        }
        let event = self.registry.apply(event);
        self.update_engines(&event);
    }

    /// Applies an event returned by the registry to the table of engines, and passes the event to the core.
    pub(in crate::net) fn update_engines(&mut self, event: &EndpointListEvent) {
        let mut stale_connections = Vec::new();
        if event.is_full {
            self.remove_unlisted(&event.entries, &mut stale_connections);
        }
        let mut entries = Vec::with_capacity(event.entries.len());
        for endpoint in &event.entries {
            let id = self.update_engine(endpoint, &mut stale_connections);
            entries.push(self.endpoint_entry(id, endpoint));
        }
        for slot in stale_connections {
            self.pools.close(&self.poll, &mut self.timers, slot);
        }
        let mode = if event.is_full { EndpointListMode::Full } else { EndpointListMode::Delta };
        self.inputs.push(Input::EndpointList { mode, entries });
        self.delete_removed_engines();
    }

    /// Marks engines that are missing in a full list as removed.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint], stale_connections: &mut Vec<usize>) {
        let listed: BTreeSet<EngineId> =
            endpoints.iter().filter_map(|endpoint| self.pools.ids.get(&endpoint.name).copied()).collect();
        for (_, engine) in self.pools.engines.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            engine.state = EndpointState::Removed;
            stale_connections.extend(engine.take_all_idle());
        }
    }

    fn update_engine(&mut self, endpoint: &Endpoint, stale_connections: &mut Vec<usize>) -> EngineId {
        let id = *self.pools.ids.entry(endpoint.name.clone()).or_insert_with(|| {
            self.pools.engine_ids_assigned += 1;
            EngineId(self.pools.engine_ids_assigned - 1)
        });
        let mysql = self.config.mysql.as_ref().and_then(|m| m.engines.get(&endpoint.name).copied());
        let engine = self.pools.engines.entry(id).or_insert_with(|| Engine {
            address: endpoint.address,
            mysql,
            state: endpoint.state,
            started_ms: endpoint.started_ms,
            idle: IdleConnections::default(),
        });
        let is_removed = endpoint.state == EndpointState::Removed;
        let has_restarted = endpoint.started_ms != engine.started_ms;
        // Connections to a process that was removed, moved or restarted can't be reused. The end of a maintenance
        // counts as a restart.
        if is_removed || has_restarted || endpoint.address != engine.address {
            stale_connections.extend(engine.take_all_idle());
        }
        if !is_removed {
            engine.address = endpoint.address;
        }
        (engine.state, engine.started_ms) = (endpoint.state, endpoint.started_ms);
        tracing::debug!(
            engine = id.0,
            name = endpoint.name,
            state = ?endpoint.state,
            since_ms = endpoint.started_ms,
            now_us = self.time.now_us,
            "engine listed"
        );
        id
    }

    /// Deletes removed engines without connections or attempts. The list keeps adding new names, so that the table
    /// would otherwise grow without bound.
    fn delete_removed_engines(&mut self) {
        let mut used: BTreeSet<EngineId> =
            self.pools.connections.iter().flatten().map(|connection| connection.link.engine).collect();
        used.extend(self.pools.attempts.values().map(|attempt| attempt.engine));
        self.pools.engines.retain(|id, engine| engine.state != EndpointState::Removed || used.contains(id));
        let engines = &self.pools.engines;
        self.pools.ids.retain(|_, id| engines.contains_key(id));
    }

    fn endpoint_entry(&mut self, engine: EngineId, endpoint: &Endpoint) -> EndpointEntry {
        // Converts Unix time in milliseconds to the core's clock.
        let started_us = i128::from(endpoint.started_ms) * 1000 - self.time.unix_offset_us;
        let zone = SettingsNames::find_or_add(&mut self.names.zones, &endpoint.zone);
        let machine_type = SettingsNames::find_or_add(&mut self.names.machine_types, &endpoint.machine_type);
        EndpointEntry {
            engine,
            zone: ZoneId(zone),
            machine_type: MachineTypeId(machine_type),
            cell: endpoint.cell,
            state: endpoint.state,
            started_at: (endpoint.started_ms > 0).then_some(started_us as f64 / 1e6),
        }
    }
}
