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
            Action::Control(machine, state) => self.set_control(*machine, *state),
            Action::GatewayVanishes(gateway) => self.gateways[*gateway].running = None,
            Action::GatewayStarts(gateway) => self.schedule(self.now_us, Event::GatewayStarts(*gateway)),
            Action::Cut(is_cut) => self.cut(*is_cut),
            Action::ControlLeft(left) => {
                for machine in 0..self.size.control {
                    let state = if machine < *left { ControlState::Serves } else { ControlState::Ended };
                    self.set_control(machine, state);
                }
            }
            Action::EndStreams => self.end_streams(),
            Action::Silent(is_silent) => self.silence(*is_silent),
        }
    }

    fn change(&mut self, changed: &[Database]) {
        self.changes.push(ListChange { at_us: self.now_us, databases: changed.to_vec() });
        for machine in 0..self.size.control {
            self.replicate(machine);
        }
    }

    /// Replicates all changes to a control machine, unless a partition separates it from the first region, where changes
    /// originate.
    fn replicate(&mut self, machine: usize) {
        let region = fleet::region(self.machines[machine].zone);
        if self.is_apart(0, region) {
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
        let streams = self.machines[machine].end(state);
        if state == ControlState::Ended {
            for connection in streams {
                self.end_to_gateway(connection);
            }
        }
        if state == ControlState::Serves {
            self.replicate(machine);
        }
        self.reroute(machine);
    }

    fn end_streams(&mut self) {
        for machine in 0..self.size.control {
            for connection in self.machines[machine].end(ControlState::Serves) {
                self.end_to_gateway(connection);
            }
        }
    }

    fn silence(&mut self, is_silent: bool) {
        self.is_silent = is_silent;
        if is_silent {
            return;
        }
        let streams: Vec<_> =
            self.machines.iter().flat_map(|machine| machine.streams.keys().copied()).collect();
        for connection in streams {
            self.write(connection, COMMENT.into());
        }
    }

    /// Schedules the detection of a control machine's state by the routers of both regions.
    fn reroute(&mut self, machine: usize) {
        for region in 0..2 {
            self.schedule(self.now_us + self.router_detection_us, Event::RouterUpdated { region, machine });
        }
    }

    fn cut(&mut self, is_cut: bool) {
        self.is_cut = is_cut;
        for machine in 0..self.size.control {
            self.reroute(machine);
            if !is_cut {
                self.replicate(machine);
                let held: Vec<_> = self.machines[machine].streams.keys().copied().collect();
                for connection in held {
                    let after_us = self.within(MAX_RETRANSMISSION_DELAY_US);
                    self.schedule(self.now_us + after_us, Event::Retransmission(connection));
                }
            }
        }
    }
}
