//! Fault injection: crashes, restarts and unreachable control machines and gateways.

use wrenhatch_configuration::{Document, Pacing, Publisher, Subscriber, Version};

use super::super::MACHINES;
use super::Fleet;
use super::event::Event;

impl Fleet {
    /// Ends the process of a control machine. Its streams are reset.
    pub fn crash_machine(&mut self, machine: usize) {
        self.machines[machine].publisher = None;
        self.machines[machine].streams.clear();
        for gateway in 0..self.gateways.len() {
            if let Some((other, stream)) = self.gateways[gateway].stream
                && other == machine
            {
                let delay_us = self.network.one_way_us(machine, gateway);
                self.schedule_after(delay_us, Event::StreamReset { gateway, stream });
            }
        }
    }

    /// Restarts the process of a control machine without its last `versions_lost` versions.
    pub fn restart_machine(&mut self, machine: usize, versions_lost: usize) {
        let mut publisher = Publisher::new(Pacing::default());
        if let Some((version, document)) = self.published.iter().rev().nth(versions_lost) {
            publisher.merge(*version, document.clone());
        }
        self.machines[machine].publisher = Some(publisher);
    }

    /// Drops all messages from and to a control machine from now on. Connections are not closed.
    pub fn isolate_machine(&mut self, machine: usize) {
        self.machines[machine].is_isolated = true;
    }

    /// Starts or ends the isolation of a gateway, during which all messages from and to it are dropped. Connections are
    /// not closed.
    pub fn set_isolated(&mut self, gateway: usize, is_isolated: bool) {
        self.gateways[gateway].is_isolated = is_isolated;
    }

    /// Ends the process of a gateway and restarts it after `pause_us` without a version.
    pub fn restart_gateway(&mut self, number: usize, pause_us: u64) {
        self.disconnect(number, true);
        let seed = self.random.next();
        let gateway = &mut self.gateways[number];
        gateway.incarnation += 1;
        gateway.report = None;
        gateway.is_connecting = false;
        gateway.subscriber = Subscriber::new(MACHINES, seed, Version::NONE, Document::default());
        gateway.is_up = false;
        let incarnation = gateway.incarnation;
        self.schedule_after(pause_us, Event::GatewayStarted { gateway: number, incarnation });
        for measured in
            self.measured.iter_mut().filter(|measured| measured.has_version[number] && measured.missing > 0)
        {
            measured.has_version[number] = false;
            measured.missing += 1;
        }
    }
}
