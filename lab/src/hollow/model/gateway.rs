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
pub struct SimulatedGateway {
    /// Watch of the endpoint list.
    pub watch: Watch,
    /// List events applied, counted like `list_events` of the gateway's counters.
    pub list_events: u64,
    registry: EngineRegistry,
    core: Core,
    names: SettingsNames,
    engine_ids: HashMap<String, EngineId>,
    next_engine_id: u32,
}

impl SimulatedGateway {
    /// Creates a gateway with an empty endpoint list.
    ///
    /// # Errors
    /// The core rejected the settings.
    pub fn new(config: Config, random_seed: u64) -> Result<Self, HollowError> {
        let fraction = f64::from(config.seed as u32) / f64::from(u32::MAX);
        let random = Pcg32::seed_from_u64(config.seed ^ random_seed);
        Ok(Self {
            watch: Watch::new(config.memory_bytes, fraction, random),
            list_events: 0,
            registry: EngineRegistry::new(config.memory_bytes),
            core: Core::new(config.settings, config.seed)?,
            names: config.names,
            engine_ids: HashMap::new(),
            next_engine_id: 0,
        })
    }

    /// Handles the expiry of the watch's timer.
    pub fn on_timer(&mut self, now_us: u64, requests: &mut Vec<WatchRequest>) {
        let events = self.watch.on_timer(now_us, requests);
        self.apply_events(now_us, &events);
    }

    /// Handles bytes received on the stream.
    pub fn on_bytes(&mut self, now_us: u64, bytes: &[u8], requests: &mut Vec<WatchRequest>) {
        let events = self.watch.on_bytes(now_us, bytes, requests);
        self.apply_events(now_us, &events);
    }

    /// Handles the end or refusal of the connection.
    pub fn on_disconnected(&mut self, now_us: u64, requests: &mut Vec<WatchRequest>) {
        let events = self.watch.on_disconnected(now_us, requests);
        self.apply_events(now_us, &events);
    }

    fn apply_events(&mut self, now_us: u64, events: &[EndpointListEvent]) {
        if events.is_empty() {
            return;
        }
        let mut inputs: Vec<Input> = events.iter().map(|event| self.core_input(event)).collect();
        self.core.turn(now_us, &mut inputs, &mut Vec::new());
    }

    fn core_input(&mut self, event: &EndpointListEvent) -> Input {
        self.list_events += 1;
        let event = self.registry.apply(event);
        let entries = event.entries.iter().map(|endpoint| self.endpoint_entry(endpoint)).collect();
        for removed in event.entries.iter().filter(|endpoint| endpoint.state == EndpointState::Removed) {
            self.engine_ids.remove(&removed.name);
        }
        Input::EndpointList {
            mode: if event.is_full { EndpointListMode::Full } else { EndpointListMode::Delta },
            entries,
        }
    }

    fn endpoint_entry(&mut self, endpoint: &Endpoint) -> EndpointEntry {
        let engine = *self.engine_ids.entry(endpoint.name.clone()).or_insert_with(|| {
            self.next_engine_id += 1;
            EngineId(self.next_engine_id - 1)
        });
        EndpointEntry {
            engine,
            zone: ZoneId(SettingsNames::find_or_add(&mut self.names.zones, &endpoint.zone)),
            machine_type: MachineTypeId(SettingsNames::find_or_add(
                &mut self.names.machine_types,
                &endpoint.machine_type,
            )),
            cell: endpoint.cell,
            state: endpoint.state,
            // Simulated time starts at the Unix epoch.
            started_at: (endpoint.started_ms > 0).then_some(endpoint.started_ms as f64 / 1e3),
        }
    }
}
