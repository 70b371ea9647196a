//! The list of engines as the network keeps it: addresses, states, and which engines are forgotten.

use std::collections::BTreeSet;

use workload_manager::*;

use super::{Engine, Server};
use crate::config::SettingsNames;
use crate::core::Input;
use crate::discovery::{Endpoint, EndpointListEvent};

impl Server {
    /// Takes in an event of the list.
    pub(in crate::net) fn listed(&mut self, event: &EndpointListEvent) {
        self.counters.list_events += 1;
        // One line however many there are: a list of thousands may be wrong throughout.
        if let Some(first) = event.unreadable.first() {
            let (engine, unread) = (first.name.as_deref().unwrap_or("unnamed"), event.unreadable.len());
            tracing::warn!(
                event = event.index,
                engine,
                unread,
                "an entry of the list can't be read: {}",
                first.error
            );
        }
        let event = self.registry.apply(event);
        self.take_list(&event);
    }

    /// Takes in news of engines as they count here: who is out by hand drains.
    pub(in crate::net) fn take_list(&mut self, event: &EndpointListEvent) {
        let mut entries = Vec::with_capacity(event.entries.len());
        let mut stale = Vec::new();
        if event.is_full {
            let named: BTreeSet<EngineId> =
                event.entries.iter().filter_map(|l| self.pools.ids.get(&l.name).copied()).collect();
            for (id, e) in &mut self.pools.engines {
                if !named.contains(id) {
                    e.state = EndpointState::Removed;
                    stale.extend(e.take_all_idle());
                }
            }
        }
        for l in &event.entries {
            let id = *self.pools.ids.entry(l.name.clone()).or_insert_with(|| {
                self.pools.ids_given += 1;
                EngineId(self.pools.ids_given - 1)
            });
            let mysql = self.config.mysql.as_ref().and_then(|m| m.engines.get(&l.name).copied());
            let e = self.pools.engines.entry(id).or_insert_with(|| Engine {
                address: l.address,
                mysql,
                state: l.state,
                since_ms: l.started_ms,
                idle: Default::default(),
            });
            // Connections to a process that has gone, moved or started anew lead nowhere.
            if l.state == EndpointState::Removed || l.started_ms != e.since_ms || l.address != e.address {
                stale.extend(e.take_all_idle());
            }
            if l.state != EndpointState::Removed {
                e.address = l.address;
            }
            (e.state, e.since_ms) = (l.state, l.started_ms);
            let now_us = self.time.now_us;
            tracing::debug!(engine = id.0, name = l.name, state = ?l.state, since_ms = l.started_ms, now_us, "engine listed");
            entries.push(self.entry(id, l));
        }
        for slot in stale {
            self.pools.close(&self.poll, &mut self.timers, slot);
        }
        let mode = if event.is_full { EndpointListMode::Full } else { EndpointListMode::Delta };
        self.inputs.push(Input::EndpointList { mode, entries });
        self.prune_engines();
    }

    /// Forgets engines that have gone once nothing refers to them: new names come for as long as this runs.
    pub(super) fn prune_engines(&mut self) {
        let mut used: BTreeSet<EngineId> =
            self.pools.connections.iter().flatten().map(|p| p.link.engine).collect();
        used.extend(self.pools.attempts.values().map(|a| a.engine));
        self.pools.engines.retain(|id, e| e.state != EndpointState::Removed || used.contains(id));
        let engines = &self.pools.engines;
        self.pools.ids.retain(|_, id| engines.contains_key(id));
    }

    pub(super) fn entry(&mut self, engine: EngineId, l: &Endpoint) -> EndpointEntry {
        // Unix milliseconds to the core's clock, which started at a known Unix time.
        let started = i128::from(l.started_ms) * 1000 - self.time.unix_offset_us;
        EndpointEntry {
            engine,
            zone: ZoneId(SettingsNames::find_or_add(&mut self.names.zones, &l.zone)),
            machine_type: MachineTypeId(SettingsNames::find_or_add(
                &mut self.names.machine_types,
                &l.machine_type,
            )),
            cell: l.cell,
            state: l.state,
            started_at: (l.started_ms > 0).then_some(started as f64 / 1e6),
        }
    }
}
