//! Measurements of a simulation: loads of machines and propagation delays of the list.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::Model;
use super::control::ControlMachine;
use crate::hollow::list::Database;
use crate::hollow::load::{Load, SlidingMaximum, TENTH_SECOND_US};

/// Largest recorded delay, in microseconds. Longer delays are recorded as this value.
const MAX_DELAY_US: u64 = 3_600_000_000;

/// Loads of one gateway.
#[derive(Clone, Debug, Default)]
pub struct GatewayLoads {
    /// Connection attempts for the list, including those that fail.
    pub calls: Load,
    /// List events applied.
    pub events: Load,
    /// Bytes received on list streams.
    pub bytes: Load,
}

/// A change of the list.
pub struct ListChange {
    /// Time of the change, in microseconds.
    pub at_us: u64,
    /// New entries of the changed databases.
    pub databases: Vec<Database>,
}

/// Delays until changes of the list have reached each gateway.
pub struct PropagationDelays {
    changes: Histogram<u64>,
    first_lists: Histogram<u64>,
}

impl Default for PropagationDelays {
    fn default() -> Self {
        let empty = || Histogram::new_with_bounds(1, MAX_DELAY_US, 3).expect("histogram bounds are valid");
        Self { changes: empty(), first_lists: empty() }
    }
}

impl PropagationDelays {
    /// Records that a gateway that started at `started_us` advanced from event `previous` to event `current`. Changes
    /// before the gateway's start are not recorded.
    pub fn record(
        &mut self,
        now_us: u64,
        started_us: u64,
        previous: u64,
        current: u64,
        changes: &[ListChange],
    ) {
        if previous == 0 && current > 0 {
            self.first_lists.saturating_record(now_us - started_us);
        }
        // The change at index 0 is event 2, since event 1 is the initial list.
        for ListChange { at_us, .. } in
            changes.iter().take(current as usize - current.min(1) as usize).skip(previous.max(1) as usize - 1)
        {
            if *at_us >= started_us {
                self.changes.saturating_record(now_us - at_us);
            }
        }
    }
}

/// Peak loads over all machines of a role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Peak {
    /// Maximum within any second.
    pub second: u64,
    /// Maximum within any ten seconds.
    pub ten_seconds: u64,
    /// Maximum total over the measurement.
    pub total: u64,
}

impl Peak {
    /// Returns the maxima over these loads.
    pub fn of<'a>(loads: impl Iterator<Item = &'a Load>) -> Self {
        loads.fold(Self::default(), |worst, load| {
            worst.max(Self {
                second: load.worst_second(),
                ten_seconds: load.worst_ten_seconds(),
                total: load.total(),
            })
        })
    }

    /// Returns the field-wise maximum.
    pub fn max(self, other: Self) -> Self {
        Self {
            second: self.second.max(other.second),
            ten_seconds: self.ten_seconds.max(other.ten_seconds),
            total: self.total.max(other.total),
        }
    }
}

/// Measurements of one simulated event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Measurements {
    /// Peak connection attempts of a gateway for the list.
    pub gateway_calls: Peak,
    /// Peak list events applied by a gateway.
    pub gateway_events: Peak,
    /// Peak bytes of list streams received by a gateway.
    pub gateway_bytes: Peak,
    /// Peak list requests that a control machine answered with a stream.
    pub control_calls: Peak,
    /// Peak list events written by a control machine, counted for each stream.
    pub control_events: Peak,
    /// Peak bytes written by a control machine.
    pub control_bytes: Peak,
    /// Maximum number of concurrent streams at a control machine.
    pub control_streams: u64,
    /// Largest number of streams at a control machine at the end.
    pub control_streams_at_end: u64,
    /// Maximum queueing delay at a control machine, in microseconds.
    pub control_wait_us: u64,
    /// Maximum number of undelivered bytes at a control machine.
    pub control_unsent_bytes: u64,
    /// Connection attempts of all gateways for the list, including those that fail.
    pub calls: u64,
    /// List events applied by all gateways.
    pub events: u64,
    /// Bytes of list events written by all control machines.
    pub event_bytes: u64,
    /// Streams that ended by scripted actions at control machines.
    pub ended: u64,
    /// Maximum number of connection attempts of all gateways for the list within a tenth of a second.
    pub calls_per_tenth: u64,
    /// Median delay from a change to a gateway, in microseconds, or 0 if no change reached a gateway.
    pub propagation_median_us: u64,
    /// Maximum delay from a change to a gateway, in microseconds, or 0 if no change reached a gateway.
    pub propagation_max_us: u64,
    /// Maximum delay from a gateway's start to its first list, in microseconds, or 0 if none received
    /// its first list.
    pub first_list_max_us: u64,
    /// Number of running gateways that have not received all changes at the end.
    pub outdated: u64,
    /// Number of running gateways without an established connection at the end.
    pub without_stream: u64,
}

impl Measurements {
    /// Returns the field-wise maximum of two runs.
    pub fn max(self, other: Self) -> Self {
        Self {
            gateway_calls: self.gateway_calls.max(other.gateway_calls),
            gateway_events: self.gateway_events.max(other.gateway_events),
            gateway_bytes: self.gateway_bytes.max(other.gateway_bytes),
            control_calls: self.control_calls.max(other.control_calls),
            control_events: self.control_events.max(other.control_events),
            control_bytes: self.control_bytes.max(other.control_bytes),
            control_streams: self.control_streams.max(other.control_streams),
            control_streams_at_end: self.control_streams_at_end.max(other.control_streams_at_end),
            control_wait_us: self.control_wait_us.max(other.control_wait_us),
            control_unsent_bytes: self.control_unsent_bytes.max(other.control_unsent_bytes),
            calls: self.calls.max(other.calls),
            events: self.events.max(other.events),
            event_bytes: self.event_bytes.max(other.event_bytes),
            ended: self.ended.max(other.ended),
            calls_per_tenth: self.calls_per_tenth.max(other.calls_per_tenth),
            propagation_median_us: self.propagation_median_us.max(other.propagation_median_us),
            propagation_max_us: self.propagation_max_us.max(other.propagation_max_us),
            first_list_max_us: self.first_list_max_us.max(other.first_list_max_us),
            outdated: self.outdated.max(other.outdated),
            without_stream: self.without_stream.max(other.without_stream),
        }
    }
}

impl Model {
    /// Resets all measurements.
    pub(super) fn begin_measurement(&mut self) {
        for slot in &mut self.gateways {
            slot.loads = GatewayLoads::default();
        }
        for machine in &mut self.machines {
            machine.begin_measurement();
        }
        self.propagation = PropagationDelays::default();
        self.calls_per_tenth = SlidingMaximum::new(TENTH_SECOND_US);
    }

    pub(super) fn measurements(&self) -> Measurements {
        let gateways =
            |get: fn(&GatewayLoads) -> &Load| Peak::of(self.gateways.iter().map(|slot| get(&slot.loads)));
        let control = |get: fn(&ControlMachine) -> &Load| Peak::of(self.machines.iter().map(get));
        let max = |get: fn(&ControlMachine) -> u64| self.machines.iter().map(get).max().unwrap_or(0);
        let sum =
            |get: fn(&GatewayLoads) -> &Load| self.gateways.iter().map(|slot| get(&slot.loads).total()).sum();
        let last = self.changes.len() as u64 + 1;
        let running = || self.gateways.iter().filter_map(|slot| slot.running.as_ref());
        Measurements {
            gateway_calls: gateways(|loads| &loads.calls),
            gateway_events: gateways(|loads| &loads.events),
            gateway_bytes: gateways(|loads| &loads.bytes),
            control_calls: control(|machine| &machine.calls),
            control_events: control(|machine| &machine.events),
            control_bytes: control(|machine| &machine.bytes),
            control_streams: max(|machine| machine.max_streams as u64),
            control_streams_at_end: max(|machine| machine.streams.len() as u64),
            control_wait_us: max(|machine| machine.max_wait_us),
            control_unsent_bytes: max(|machine| machine.max_unsent_bytes),
            calls: sum(|loads| &loads.calls),
            events: sum(|loads| &loads.events),
            event_bytes: self.machines.iter().map(|machine| machine.event_bytes).sum(),
            ended: self.machines.iter().map(|machine| machine.ended).sum(),
            calls_per_tenth: self.calls_per_tenth.peak(),
            propagation_median_us: self.propagation.changes.value_at_quantile(0.5),
            propagation_max_us: self.propagation.changes.max(),
            first_list_max_us: self.propagation.first_lists.max(),
            outdated: running().filter(|gateway| gateway.watch.last_index() < last).count() as u64,
            without_stream: running().filter(|gateway| !gateway.watch.is_up()).count() as u64,
        }
    }
}
