//! Event handlers of gateways: each gateway keeps a stream to one control machine, applies versions and reports them.

use wrenhatch_configuration::{GatewayId, Report, Subscriber, SubscriberAction, Version};

use super::super::SECOND_US;
use super::super::settings::is_valid;
use super::Fleet;
use super::event::{Event, StreamId};
use super::transmission::{FRAME_BYTES, ONE_WAY_TRIPS_TO_CONNECT, REQUEST_BYTES};

const CONNECT_TIMEOUT_US: u64 = SECOND_US;

/// Maximum interval at which a gateway checks its stream.
const CHECK_INTERVAL_US: u64 = SECOND_US / 4;

/// Time after which a report without an acknowledgement is sent again.
const REPORT_RETRY_US: u64 = SECOND_US;

/// Time that a gateway takes to check a version and to reach the end of its event loop's turn.
const APPLY_TIME_US: u64 = 10_000;

/// A gateway through all its restarts.
pub(super) struct Gateway {
    pub(super) id: GatewayId,
    pub(super) subscriber: Subscriber,
    /// Number of restarts. Events of an earlier incarnation are ignored.
    pub(super) incarnation: u64,
    /// Control machine and number of the stream.
    pub(super) stream: Option<(usize, StreamId)>,
    pub(super) is_connecting: bool,
    /// The unacknowledged report and the time at which to send it.
    pub(super) report: Option<(Report, u64)>,
    pub(super) is_isolated: bool,
    pub(super) is_up: bool,
    /// Arrival time of the last message on the stream. Later messages on it arrive after this time.
    pub(super) last_arrival_us: u64,
}

impl Fleet {
    /// Closes a silent stream, sends the report if it is due, and connects if an attempt is due.
    pub(super) fn on_gateway_check(&mut self, number: usize) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let mut next_us = now_us + CHECK_INTERVAL_US;
        if gateway.is_up {
            if gateway.stream.is_some() && gateway.subscriber.is_timed_out(now_us) {
                self.disconnect(number, true);
            }
            self.send_report(number);
            let gateway = &self.gateways[number];
            match gateway.subscriber.next_attempt_us().filter(|_| !gateway.is_connecting) {
                Some(at_us) if at_us <= now_us => self.connect(number),
                Some(at_us) => next_us = next_us.min(at_us),
                None => {}
            }
        }
        self.schedule_at(next_us, Event::GatewayCheck { gateway: number });
    }

    pub(super) fn on_gateway_started(&mut self, number: usize, incarnation: u64) {
        let gateway = &mut self.gateways[number];
        if gateway.incarnation == incarnation {
            gateway.is_up = true;
        }
    }

    pub(super) fn connect(&mut self, number: usize) {
        let machine = self.gateways[number].subscriber.server();
        self.last_stream += 1;
        let stream = self.last_stream;
        let gateway = &mut self.gateways[number];
        gateway.is_connecting = true;
        gateway.stream = Some((machine, stream));
        if !self.is_reachable(number, machine) {
            self.schedule_after(CONNECT_TIMEOUT_US, Event::ConnectFailed { gateway: number, stream });
        } else if self.machines[machine].publisher.is_none() {
            let refused_us = self.trips_us(number, machine, 2);
            self.schedule_after(refused_us, Event::ConnectFailed { gateway: number, stream });
        } else {
            let opened_us = self.trips_us(number, machine, ONE_WAY_TRIPS_TO_CONNECT);
            self.schedule_after(opened_us, Event::StreamOpened { gateway: number, machine, stream });
        }
    }

    pub(super) fn on_connect_failed(&mut self, number: usize, stream: StreamId) {
        if self.gateways[number].stream.is_some_and(|(_, opening)| opening == stream) {
            self.disconnect(number, false);
        }
    }

    pub(super) fn on_stream_opened(&mut self, number: usize, machine: usize, stream: StreamId) {
        let now_us = self.now_us;
        let is_reachable = self.is_reachable(number, machine);
        let gateway = &mut self.gateways[number];
        if gateway.stream != Some((machine, stream)) {
            return;
        }
        let publisher = self.machines[machine].publisher.as_mut().filter(|_| is_reachable);
        let Some(publisher) = publisher else {
            self.disconnect(number, false);
            return;
        };
        gateway.is_connecting = false;
        gateway.last_arrival_us = 0;
        gateway.subscriber.on_connected(now_us);
        let position = gateway.subscriber.position();
        let connection = publisher.connect(now_us, gateway.id.clone(), position.version, position.digest);
        let id = gateway.id.clone();
        self.machines[machine].streams.insert(id, (connection, number, stream));
        self.add_traffic(number, machine, REQUEST_BYTES);
        self.schedule_turn(machine);
    }

    /// Closes the stream of a gateway. With `notify`, the control machine is notified if it is reachable.
    pub(super) fn disconnect(&mut self, number: usize, notify: bool) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        gateway.is_connecting = false;
        let Some((machine, stream)) = gateway.stream.take() else { return };
        gateway.subscriber.on_disconnected(now_us);
        let id = gateway.id.clone();
        if !notify || !self.is_reachable(number, machine) {
            return;
        }
        let at_machine = self.machines[machine].streams.get(&id).copied();
        if let (Some(publisher), Some((connection, _, open))) =
            (&mut self.machines[machine].publisher, at_machine)
            && open == stream
        {
            publisher.disconnect(&id, connection);
        }
    }

    pub(super) fn on_message(&mut self, number: usize, machine: usize, stream: StreamId, text: &str) {
        let now_us = self.now_us;
        self.add_traffic(number, machine, text.len() as u64 + FRAME_BYTES);
        let gateway = &mut self.gateways[number];
        if gateway.stream != Some((machine, stream)) {
            return;
        }
        match gateway.subscriber.on_message(now_us, text) {
            SubscriberAction::Nothing => {}
            SubscriberAction::Apply { version, document } => {
                let incarnation = gateway.incarnation;
                let is_valid = is_valid(&document);
                self.schedule_after(
                    APPLY_TIME_US,
                    Event::VersionChecked { gateway: number, incarnation, version, is_valid },
                );
            }
            SubscriberAction::Refused { version, reason } => {
                gateway.report = Some((gateway.subscriber.refusal_report(version, &reason), now_us));
                self.send_report(number);
            }
            SubscriberAction::Resync => self.disconnect(number, true),
        }
    }

    /// Puts a checked version into force, refuses it if it is invalid, or injects a restart.
    pub(super) fn on_version_checked(
        &mut self,
        number: usize,
        incarnation: u64,
        version: Version,
        is_valid: bool,
    ) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        if gateway.incarnation != incarnation {
            return;
        }
        if self.random.per_mille(self.restarts_while_applying_per_mille) {
            let pause_us = self.random.below(SECOND_US);
            self.restart_gateway(number, pause_us);
            return;
        }
        let report = if is_valid {
            gateway.subscriber.on_applied(version)
        } else {
            self.refused += 1;
            gateway.subscriber.on_refused(version, &"aim of class 0 is negative")
        };
        gateway.report = Some((report, now_us));
        self.record_version(number);
        self.send_report(number);
    }

    /// Sends the report if there is one, it is due, and a stream is open.
    pub(super) fn send_report(&mut self, number: usize) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let (Some((machine, _)), Some((report, at_us))) = (gateway.stream, &mut gateway.report) else {
            return;
        };
        if *at_us > now_us || gateway.is_connecting {
            return;
        }
        *at_us = now_us + REPORT_RETRY_US;
        let report = report.clone();
        let bytes = report.encode(&gateway.id).len() as u64 + REQUEST_BYTES;
        self.add_traffic(number, machine, bytes);
        let delay_us = self.trips_us(number, machine, ONE_WAY_TRIPS_TO_CONNECT);
        for extra_us in self.network.copies() {
            self.schedule_after(
                delay_us + extra_us,
                Event::ReportArrived { gateway: number, machine, report: report.clone() },
            );
        }
    }
}
