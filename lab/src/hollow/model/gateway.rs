//! A simulated gateway: the production list reader, registry and core, without sockets and clients.

use std::collections::HashMap;

use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use workload_manager::{EndpointEntry, EndpointListMode, EndpointState, EngineId, MachineTypeId, ZoneId};
use wrenhatch::config::{Config, SettingsNames};
use wrenhatch::core::{Core, Input};
use wrenhatch::discovery::{Endpoint, EndpointListEvent, EngineRegistry};

use super::watch::{Watch, WatchRequest};
use crate::hollow::error::HollowError;

/// One incarnation of a simulated gateway.
pub struct HollowGateway {
    /// Watch of the endpoint list.
    pub watch: Watch,
    /// List events applied, counted like `list_events` of the gateway's counters.
    pub list_events: u64,
    registry: EngineRegistry,
    core: Core,
    names: SettingsNames,
    ids: HashMap<String, EngineId>,
    next_id: u32,
}

impl HollowGateway {
    /// Creates a gateway with an empty endpoint list.
    ///
    /// # Errors
    /// The core rejected the settings.
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

    /// Handles the expiry of the watch's timer.
    pub fn check(&mut self, now_us: u64, requests: &mut Vec<WatchRequest>) {
        let events = self.watch.check(now_us, requests);
        self.listed(now_us, &events);
    }

    /// Handles bytes received on the stream.
    pub fn received(&mut self, now_us: u64, bytes: &[u8], requests: &mut Vec<WatchRequest>) {
        let events = self.watch.received(now_us, bytes, requests);
        self.listed(now_us, &events);
    }

    /// Handles the end or refusal of the connection.
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
            // Simulated time starts at the Unix epoch.
            started_at: (listed.started_ms > 0).then_some(listed.started_ms as f64 / 1e3),
        }
    }
}
