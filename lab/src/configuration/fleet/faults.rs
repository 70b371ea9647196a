//! Faults: machines and gateways that end, come back or can't be reached.

use wrenhatch_configuration::{Document, Pacing, Publisher, Subscriber, Version};

use super::super::MACHINES;
use super::Fleet;
use super::event::Event;

impl Fleet {
    /// A machine's process ends; its streams are reset.
    pub fn lose_machine(&mut self, machine: usize) {
        self.machines[machine].publisher = None;
        self.machines[machine].streams.clear();
        for gateway in 0..self.gateways.len() {
            if let Some((at, stream)) = self.gateways[gateway].stream
                && at == machine
            {
                let delay_us = self.network.one_way_us(machine, gateway);
                self.schedule_after(delay_us, Event::StreamReset { gateway, stream });
            }
        }
    }

    /// A machine's process comes back with the state of so many versions ago.
    pub fn bring_machine_back(&mut self, machine: usize, versions_ago: usize) {
        let mut publisher = Publisher::new(Pacing::default());
        if let Some((version, document)) = self.published.iter().rev().nth(versions_ago) {
            publisher.merge(*version, document.clone());
        }
        self.machines[machine].publisher = Some(publisher);
    }

    /// Nothing passes from or to a machine any more; its peers are not notified.
    pub fn cut_machine(&mut self, machine: usize) {
        self.machines[machine].is_cut = true;
    }

    /// Nothing passes from or to a gateway while it is cut off; its peers are not notified.
    pub fn cut_gateway(&mut self, gateway: usize, is_cut: bool) {
        self.gateways[gateway].is_cut = is_cut;
    }

    /// A gateway ends, and starts again after a while from its own file.
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
        for awaited in
            self.awaited.iter_mut().filter(|awaited| awaited.has_version[number] && awaited.missing > 0)
        {
            awaited.has_version[number] = false;
            awaited.missing += 1;
        }
    }
}
