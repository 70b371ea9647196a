//! Event handlers of control machines: each machine publishes versions on its streams, receives reports, and merges
//! newer versions of other machines.

use std::collections::HashMap;

use wrenhatch_configuration::{ConnectionId, Document, GatewayId, MergeResult, Publisher, Report, Version};

use super::super::{MACHINES, SECOND_US};
use super::Fleet;
use super::event::{Event, StreamId};
use super::transmission::REQUEST_BYTES;

/// Minimum time between two turns of a control machine's event loop.
const MIN_TURN_INTERVAL_US: u64 = 1_000;

/// Interval at which control machines compare their newest versions.
pub(super) const MERGE_INTERVAL_US: u64 = SECOND_US;

/// A control machine. `publisher` is `None` while its process is down.
pub(super) struct ControlMachine {
    pub(super) publisher: Option<Publisher>,
    /// Streams by gateway: the publisher's connection, the number of the gateway, and the number of the stream.
    pub(super) streams: HashMap<GatewayId, (ConnectionId, usize, StreamId)>,
    pub(super) is_isolated: bool,
    /// Time of the scheduled turn of the event loop; `u64::MAX` if none is scheduled.
    pub(super) next_turn_us: u64,
}

impl Fleet {
    pub(super) fn on_report_arrived(&mut self, number: usize, machine: usize, report: Report) {
        let Some(publisher) = &mut self.machines[machine].publisher else { return };
        publisher.report(&self.gateways[number].id, report.clone());
        let delay_us = self.trips_us(number, machine, 1);
        self.schedule_after(delay_us, Event::ReportAcknowledged { gateway: number, report });
        self.schedule_turn(machine);
    }

    /// Schedules a turn of a machine's event loop for the time at which the publisher has messages due.
    pub(super) fn schedule_turn(&mut self, machine: usize) {
        let earliest_us = self.now_us + MIN_TURN_INTERVAL_US;
        let control_machine = &mut self.machines[machine];
        let due_us = control_machine.publisher.as_ref().and_then(Publisher::next_due_us);
        let Some(at_us) = due_us.map(|due_us| due_us.max(earliest_us)) else { return };
        if at_us < control_machine.next_turn_us {
            control_machine.next_turn_us = at_us;
            self.schedule_at(at_us, Event::ControlMachineTurn { machine });
        }
    }

    pub(super) fn on_control_machine_turn(&mut self, machine: usize) {
        let now_us = self.now_us;
        if self.machines[machine].next_turn_us > now_us {
            return;
        }
        self.machines[machine].next_turn_us = u64::MAX;
        let Some(publisher) = &mut self.machines[machine].publisher else { return };
        for (id, outgoing) in publisher.due_messages(now_us) {
            if let Some((_, gateway, stream)) = self.machines[machine].streams.get(&id).copied() {
                self.send(machine, gateway, stream, &outgoing.text);
            }
        }
        self.schedule_turn(machine);
    }

    /// Sends the newest version of all machines to each machine that has an older one.
    pub(super) fn on_version_exchange(&mut self) {
        let newest = |machine: &ControlMachine| {
            let publisher = machine.publisher.as_ref().filter(|_| !machine.is_isolated)?;
            publisher.newest().map(|(version, document)| (version, document.clone()))
        };
        let latest = self.machines.iter().filter_map(newest).max_by_key(|(version, _)| *version);
        if let Some((version, document)) = latest {
            for machine in 0..MACHINES {
                let current = newest(&self.machines[machine]).map(|(version, _)| version);
                if !self.machines[machine].is_isolated && current < Some(version) {
                    // A request and its response.
                    let round_trip_us = 2 * self.network.one_way_us(0, machine);
                    let bytes = document.canonical().len() as u64 + REQUEST_BYTES;
                    self.machine_traffic[machine].add(self.now_us, bytes);
                    self.schedule_after(
                        round_trip_us,
                        Event::VersionReceived { machine, version, document: document.clone() },
                    );
                }
            }
        }
        self.schedule_after(MERGE_INTERVAL_US, Event::VersionExchange);
    }

    pub(super) fn on_version_received(&mut self, machine: usize, version: Version, document: Document) {
        let Some(publisher) = &mut self.machines[machine].publisher else { return };
        let merged = publisher.merge(version, document);
        debug_assert_ne!(merged, MergeResult::Conflict);
        self.schedule_turn(machine);
    }

    pub(super) fn on_version_published(&mut self, machine: usize, version: Version, document: Document) {
        if self.machines[machine].is_isolated {
            return;
        }
        self.machine_traffic[machine].add(self.now_us, document.canonical().len() as u64 + REQUEST_BYTES);
        let Some(publisher) = &mut self.machines[machine].publisher else { return };
        // The publisher refuses a version that is not newer than its own and the reported ones.
        if publisher.publish(version, document).is_ok() {
            self.schedule_turn(machine);
        }
    }
}
