//! A hollow gateway in simulated time: the gateway's list reader, registry and core, without sockets and clients.

use std::collections::HashMap;

use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use workload_manager::{EndpointEntry, EndpointListMode, EndpointState, EngineId, MachineTypeId, ZoneId};
use wrenhatch::config::{Config, SettingsNames};
use wrenhatch::core::{Core, Input};
use wrenhatch::discovery::{Endpoint, EndpointListEvent, EngineRegistry};

use super::watch::{Watch, WatchRequest};
use crate::hollow::error::HollowError;

/// A hollow gateway, from one start to its end.
pub struct HollowGateway {
    /// Its watch of the list.
    pub watch: Watch,
    /// List events taken in, as the gateway's `list_events` counts them.
    pub list_events: u64,
    registry: EngineRegistry,
    core: Core,
    names: SettingsNames,
    ids: HashMap<String, EngineId>,
    next_id: u32,
}

impl HollowGateway {
    /// A gateway that starts now.
    ///
    /// # Errors
    /// The settings make no sense.
    pub fn new(config: Config, random_seed: u64) -> Result<Self, HollowError> {
        let chance = f64::from(config.seed as u32) / f64::from(u32::MAX);
        let random = Pcg32::seed_from_u64(config.seed ^ random_seed);
        Ok(Self {
            watch: Watch::new(config.memory_bytes, chance, random),
            list_events: 0,
            registry: EngineRegistry::new(config.memory_bytes),
            core: Core::new(config.settings, config.seed)?,
            names: config.names,
            ids: HashMap::new(),
            next_id: 0,
        })
    }

    /// A timer of the watch has rung.
    pub fn check(&mut self, now_us: u64, requests: &mut Vec<WatchRequest>) {
        let events = self.watch.check(now_us, requests);
        self.listed(now_us, &events);
    }

    /// Bytes of the list have come.
    pub fn received(&mut self, now_us: u64, bytes: &[u8], requests: &mut Vec<WatchRequest>) {
        let events = self.watch.received(now_us, bytes, requests);
        self.listed(now_us, &events);
    }

    /// The stream has ended.
    pub fn lost(&mut self, now_us: u64, requests: &mut Vec<WatchRequest>) {
        let events = self.watch.lost(now_us, requests);
        self.listed(now_us, &events);
    }

    fn listed(&mut self, now_us: u64, events: &[EndpointListEvent]) {
        if events.is_empty() {
            return;
        }
        let mut inputs: Vec<Input> = events.iter().map(|event| self.input(event)).collect();
        self.core.turn(now_us, &mut inputs, &mut Vec::new());
    }

    fn input(&mut self, event: &EndpointListEvent) -> Input {
        self.list_events += 1;
        let event = self.registry.apply(event);
        let entries = event.entries.iter().map(|listed| self.entry(listed)).collect();
        for gone in event.entries.iter().filter(|listed| listed.state == EndpointState::Removed) {
            self.ids.remove(&gone.name);
        }
        Input::EndpointList {
            mode: if event.is_full { EndpointListMode::Full } else { EndpointListMode::Delta },
            entries,
        }
    }

    fn entry(&mut self, listed: &Endpoint) -> EndpointEntry {
        let engine = *self.ids.entry(listed.name.clone()).or_insert_with(|| {
            self.next_id += 1;
            EngineId(self.next_id - 1)
        });
        EndpointEntry {
            engine,
            zone: ZoneId(SettingsNames::find_or_add(&mut self.names.zones, &listed.zone)),
            machine_type: MachineTypeId(SettingsNames::find_or_add(
                &mut self.names.machine_types,
                &listed.machine_type,
            )),
            cell: listed.cell,
            state: listed.state,
            // The clock of a run begins at the Unix epoch.
            started_at: (listed.started_ms > 0).then_some(listed.started_ms as f64 / 1e3),
        }
    }
}
