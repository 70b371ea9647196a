//! What a run in simulated time is measured by.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::Model;
use super::control::ControlMachine;
use crate::hollow::list::Database;
use crate::hollow::load::{Load, SlidingMaximum, TENTH_US};

/// Longer than this counts as this, in microseconds.
const LONGEST_US: u64 = 3_600_000_000;

/// The loads of one gateway.
#[derive(Clone, Debug, Default)]
pub struct GatewayLoads {
    /// Calls for the list, refused and silent ones included.
    pub calls: Load,
    /// List events taken in.
    pub events: Load,
    /// Bytes of the list read.
    pub bytes: Load,
}

/// A change of the list, at its time.
pub struct ListChange {
    /// When it was decided.
    pub at_us: u64,
    /// The databases that changed.
    pub databases: Vec<Database>,
}

/// How long changes of the list took until they were in force.
pub struct InForce {
    changes: Histogram<u64>,
    first_lists: Histogram<u64>,
}

impl Default for InForce {
    fn default() -> Self {
        let empty = || Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are sound");
        Self { changes: empty(), first_lists: empty() }
    }
}

impl InForce {
    /// A gateway that started at `started_us` has got from event `last` to event `now_last`.
    pub fn reached(
        &mut self,
        now_us: u64,
        started_us: u64,
        last: u64,
        now_last: u64,
        changes: &[ListChange],
    ) {
        if last == 0 && now_last > 0 {
            self.first_lists.saturating_record(now_us - started_us);
        }
        // The change at place 0 is event 2.
        for ListChange { at_us, .. } in
            changes.iter().take(now_last as usize - now_last.min(1) as usize).skip(last.max(1) as usize - 1)
        {
            if *at_us >= started_us {
                self.changes.saturating_record(now_us - at_us);
            }
        }
    }
}

/// The load of a role's machine that had the most of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Worst {
    /// In its worst second.
    pub second: u64,
    /// In its worst ten seconds, in all.
    pub ten_seconds: u64,
    /// Over the whole event.
    pub total: u64,
}

impl Worst {
    /// Of these, each figure by itself.
    pub fn of<'a>(loads: impl Iterator<Item = &'a Load>) -> Self {
        loads.fold(Self::default(), |worst, load| {
            worst.max(Self {
                second: load.worst_second(),
                ten_seconds: load.worst_ten_seconds(),
                total: load.total(),
            })
        })
    }

    /// The larger of both, each figure by itself.
    pub fn max(self, other: Self) -> Self {
        Self {
            second: self.second.max(other.second),
            ten_seconds: self.ten_seconds.max(other.ten_seconds),
            total: self.total.max(other.total),
        }
    }
}

/// What an event did to a fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Measured {
    /// Calls of one gateway for the list.
    pub gateway_calls: Worst,
    /// List events taken in by one gateway.
    pub gateway_events: Worst,
    /// Bytes of the list read by one gateway.
    pub gateway_bytes: Worst,
    /// Calls to one control machine.
    pub control_calls: Worst,
    /// List events that one control machine wrote, once for each stream.
    pub control_events: Worst,
    /// Bytes that one control machine wrote.
    pub control_bytes: Worst,
    /// Most streams at one control machine.
    pub control_streams: u64,
    /// Streams at the control machine that has most at the end.
    pub control_streams_at_end: u64,
    /// The longest that work waited at one control machine, in microseconds.
    pub control_wait_us: u64,
    /// Most bytes at one control machine that waited for a network which took nothing.
    pub control_unsent_bytes: u64,
    /// Calls of all gateways.
    pub calls: u64,
    /// List events taken in by all gateways.
    pub events: u64,
    /// Bytes of list events that all control machines wrote.
    pub event_bytes: u64,
    /// Streams that control machines ended, or lost as they vanished.
    pub ended: u64,
    /// Most calls of all gateways within a tenth of a second.
    pub calls_in_step: u64,
    /// From a change until a gateway had it: the median, in microseconds; 0 without a change.
    pub in_force_median_us: u64,
    /// From a change until the last gateway had it, in microseconds; 0 without a change.
    pub in_force_last_us: u64,
    /// From a gateway's start until it had the list: the longest, in microseconds; 0 if none started.
    pub first_list_us: u64,
    /// Gateways that ran at the end and had not all changes.
    pub behind: u64,
    /// Gateways that ran at the end and had no stream.
    pub without_stream: u64,
}

impl Measured {
    /// The worse of two runs, each figure by itself.
    pub fn worse(self, other: Self) -> Self {
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
            calls_in_step: self.calls_in_step.max(other.calls_in_step),
            in_force_median_us: self.in_force_median_us.max(other.in_force_median_us),
            in_force_last_us: self.in_force_last_us.max(other.in_force_last_us),
            first_list_us: self.first_list_us.max(other.first_list_us),
            behind: self.behind.max(other.behind),
            without_stream: self.without_stream.max(other.without_stream),
        }
    }
}

impl Model {
    /// What was before does not count.
    pub(super) fn begin_measurement(&mut self) {
        for slot in &mut self.gateways {
            slot.loads = GatewayLoads::default();
        }
        for machine in &mut self.machines {
            machine.begin_measurement();
        }
        self.in_force = InForce::default();
        self.calls_in_step = SlidingMaximum::new(TENTH_US);
    }

    pub(super) fn measured(&self) -> Measured {
        let gateways =
            |of: fn(&GatewayLoads) -> &Load| Worst::of(self.gateways.iter().map(|slot| of(&slot.loads)));
        let control = |of: fn(&ControlMachine) -> &Load| Worst::of(self.machines.iter().map(of));
        let most = |of: fn(&ControlMachine) -> u64| self.machines.iter().map(of).max().unwrap_or(0);
        let sum =
            |of: fn(&GatewayLoads) -> &Load| self.gateways.iter().map(|slot| of(&slot.loads).total()).sum();
        let last = self.changes.len() as u64 + 1;
        let running = || self.gateways.iter().filter_map(|slot| slot.running.as_ref());
        Measured {
            gateway_calls: gateways(|loads| &loads.calls),
            gateway_events: gateways(|loads| &loads.events),
            gateway_bytes: gateways(|loads| &loads.bytes),
            control_calls: control(|machine| &machine.calls),
            control_events: control(|machine| &machine.events),
            control_bytes: control(|machine| &machine.bytes),
            control_streams: most(|machine| machine.most_streams as u64),
            control_streams_at_end: most(|machine| machine.streams.len() as u64),
            control_wait_us: most(|machine| machine.longest_wait_us),
            control_unsent_bytes: most(|machine| machine.most_unsent_bytes),
            calls: sum(|loads| &loads.calls),
            events: sum(|loads| &loads.events),
            event_bytes: self.machines.iter().map(|machine| machine.event_bytes).sum(),
            ended: self.machines.iter().map(|machine| machine.ended).sum(),
            calls_in_step: self.calls_in_step.most(),
            in_force_median_us: self.in_force.changes.value_at_quantile(0.5),
            in_force_last_us: self.in_force.changes.max(),
            first_list_us: self.in_force.first_lists.max(),
            behind: running().filter(|gateway| gateway.watch.last() < last).count() as u64,
            without_stream: running().filter(|gateway| !gateway.watch.is_up()).count() as u64,
        }
    }
}
