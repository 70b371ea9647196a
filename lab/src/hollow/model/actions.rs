//! Execution of scripted actions: list changes, machine failures and restarts, and network partitions.

use super::event::Event;
use super::measure::ListChange;
use super::network::MAX_RETRANSMISSION_DELAY_US;
use super::{Model, fleet};
use crate::hollow::control_state::ControlState;
use crate::hollow::events::Action;
use crate::hollow::list::{COMMENT, Database};

impl Model {
    /// Executes an action of the script.
    pub(super) fn perform(&mut self, action: &Action) {
        match action {
            Action::Change(changed) => self.change(changed),
            Action::SetControl(machine, state) => self.set_control(*machine, *state),
            Action::GatewayCrashes(gateway) => self.gateways[*gateway].running = None,
            Action::GatewayStarts(gateway) => self.schedule(self.now_us, Event::GatewayStarts(*gateway)),
            Action::Partition(is_partitioned) => self.set_partitioned(*is_partitioned),
            Action::SetServingControl(serving) => {
                for machine in 0..self.size.control {
                    let state = if machine < *serving { ControlState::Serving } else { ControlState::Down };
                    self.set_control(machine, state);
                }
            }
            Action::CloseStreams => self.close_streams(),
            Action::SuspendComments(comments_suspended) => self.set_comments_suspended(*comments_suspended),
        }
    }

    fn change(&mut self, changed: &[Database]) {
        self.changes.push(ListChange { at_us: self.now_us, databases: changed.to_vec() });
        for machine in 0..self.size.control {
            self.replicate(machine);
        }
    }

    /// Replicates all changes to a control machine, unless a partition separates it from the first region, where
    /// changes originate.
    fn replicate(&mut self, machine: usize) {
        let region = fleet::region(self.machines[machine].zone);
        if self.are_partitioned(0, region) {
            return;
        }
        let latency_us = self.latency_us(0, self.machines[machine].zone);
        let changes = self.changes.len();
        self.schedule(self.now_us + latency_us, Event::ChangesReplicated { machine, changes });
    }

    fn set_control(&mut self, machine: usize, state: ControlState) {
        if self.machines[machine].state == state {
            return;
        }
        let streams = self.machines[machine].reset(state);
        if state == ControlState::Down {
            for connection in streams {
                self.send_end_to_gateway(connection);
            }
        }
        if state == ControlState::Serving {
            self.replicate(machine);
        }
        self.schedule_router_updates(machine);
    }

    /// Closes all streams. Requires that all control machines are serving.
    fn close_streams(&mut self) {
        for machine in 0..self.size.control {
            for connection in self.machines[machine].reset(ControlState::Serving) {
                self.send_end_to_gateway(connection);
            }
        }
    }

    fn set_comments_suspended(&mut self, comments_suspended: bool) {
        self.comments_suspended = comments_suspended;
        if comments_suspended {
            return;
        }
        let streams: Vec<_> =
            self.machines.iter().flat_map(|machine| machine.streams.keys().copied()).collect();
        for connection in streams {
            self.write(connection, COMMENT.into());
        }
    }

    /// Schedules the detection of a control machine's state by the routers of both regions.
    fn schedule_router_updates(&mut self, machine: usize) {
        for region in 0..2 {
            self.schedule(
                self.now_us + self.router_detection_delay_us,
                Event::RouterUpdated { region, machine },
            );
        }
    }

    fn set_partitioned(&mut self, is_partitioned: bool) {
        self.is_partitioned = is_partitioned;
        for machine in 0..self.size.control {
            self.schedule_router_updates(machine);
            if !is_partitioned {
                self.replicate(machine);
                let streams: Vec<_> = self.machines[machine].streams.keys().copied().collect();
                for connection in streams {
                    let delay_us = self.random_delay_us(MAX_RETRANSMISSION_DELAY_US);
                    self.schedule(self.now_us + delay_us, Event::Retransmission(connection));
                }
            }
        }
    }
}
