//! What is simulated: ordinary days, and faults at the worst moment, when a version has got to some gateways and not to
//! others.

use serde::Serialize;

use super::fleet::{Fleet, SimulationResult};
use super::network::NetworkFaults;
use super::random::Random;
use super::settings::{Author, Size};
use super::{CHANGES_PER_DAY, MACHINES, SECOND_US};

/// All gateways are there and have the first version by then.
const WARM_UP_US: u64 = 20 * SECOND_US;

/// Versions before the one that is measured.
const VERSIONS_BEFORE: usize = 12;

/// A fault comes so long after publication: some gateways have the version, some have not.
const WORST_MOMENT_US: u64 = 30_000;

/// How long a run goes on after its fault.
const AFTERWARDS_US: u64 = 60 * SECOND_US;

/// How long gateways are cut off.
const PARTITION_US: u64 = 60 * SECOND_US;

/// How long a machine is gone.
const MACHINE_GONE_US: u64 = 5 * SECOND_US;

/// A machine comes back with what it had so many versions ago.
const VERSIONS_LOST: usize = 10;

/// Changes of a burst, and how far apart.
const BURST: usize = 40;
const BURST_GAP_US: u64 = 50_000;

/// From a bad version to the next good one.
const BAD_FOR_US: u64 = 300_000;

/// Of a thousand messages, so many are lost, so many doubled and so many late.
const TAMPERED_PER_MILLE: u64 = 50;

/// One of these restarts while it applies.
const RESTARTS_WHILE_APPLYING_PER_MILLE: u64 = 333;

/// What is simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Changes at random times, as many as on an ordinary day.
    Ordinary,
    /// Forty changes within two seconds; the last one counts.
    Burst,
    /// A machine's process ends, and comes back after 5 s with a version that is ten older.
    MachineLost,
    /// A machine can't be reached any more, without notice to its peers.
    MachineSilent,
    /// Three of seven machines can't be reached any more, without notice to their peers.
    ThreeMachinesSilent,
    /// Half of all gateways are cut off for a minute; counted from the end of it.
    Partition,
    /// All gateways restart within a second, from their files.
    AllRestart,
    /// A third of all gateways restart while they apply the version, over and over.
    RestartWhileApplying,
    /// 5% of all messages and reports are lost, 5% doubled, 5% up to 2 s late; TCP would not do so.
    Tampered,
    /// A bad version 0.3 s before the good one that counts.
    BadBetween,
}

impl Scenario {
    /// All, in the order of the report.
    pub const ALL: [Self; 10] = [
        Self::Ordinary,
        Self::Burst,
        Self::MachineLost,
        Self::MachineSilent,
        Self::ThreeMachinesSilent,
        Self::Partition,
        Self::AllRestart,
        Self::RestartWhileApplying,
        Self::Tampered,
        Self::BadBetween,
    ];

    /// Simulates it once.
    pub fn simulate(self, gateways: usize, size: Size, seed: u64, changes: u64) -> SimulationResult {
        let mut simulation = Simulation::new(gateways, size, seed);
        match self {
            Self::Ordinary => simulation.ordinary(seed, changes),
            Self::Burst => simulation.burst(),
            Self::MachineLost => simulation.machine_lost(),
            Self::MachineSilent => simulation.machines_silent(1),
            Self::ThreeMachinesSilent => simulation.machines_silent(3),
            Self::Partition => simulation.partition(),
            Self::AllRestart => simulation.all_restart(),
            Self::RestartWhileApplying => {
                simulation.fleet.restarts_while_applying_per_mille = RESTARTS_WHILE_APPLYING_PER_MILLE;
                simulation.publish_awaited();
            }
            Self::Tampered => simulation.tampered(),
            Self::BadBetween => simulation.bad_between(),
        }
        if self != Self::Ordinary {
            simulation.fleet.run_for(AFTERWARDS_US);
        }
        simulation.fleet.finish()
    }
}

/// A fleet and the operator that publishes versions.
struct Simulation {
    fleet: Fleet,
    author: Author,
    gateways: usize,
}

impl Simulation {
    /// All gateways have a version that was not the first.
    fn new(gateways: usize, size: Size, seed: u64) -> Self {
        let mut simulation =
            Self { fleet: Fleet::new(gateways, seed), author: Author::new(size, seed), gateways };
        for _ in 0..VERSIONS_BEFORE {
            simulation.publish();
        }
        simulation.fleet.run_for(WARM_UP_US);
        simulation
    }

    fn publish(&mut self) {
        let (version, document) = self.author.next();
        self.fleet.publish(version, &document);
    }

    /// Publishes a version and measures how it spreads.
    fn publish_awaited(&mut self) {
        let (version, document) = self.author.next();
        self.fleet.publish(version, &document);
        self.fleet.await_version(version);
    }

    fn ordinary(&mut self, seed: u64, changes: u64) {
        let mut random = Random::new(seed);
        let mean_us = (24 * 3_600 * SECOND_US / CHANGES_PER_DAY) as f64;
        for _ in 0..changes {
            self.publish_awaited();
            self.fleet.run_for(random.exponential(mean_us) as u64);
        }
        self.fleet.run_for(mean_us as u64);
    }

    fn burst(&mut self) {
        for _ in 1..BURST {
            self.publish();
            self.fleet.run_for(BURST_GAP_US);
        }
        self.publish_awaited();
    }

    /// The machine with the most gateways.
    fn busiest(&self, rank: usize) -> usize {
        let mut machines: Vec<usize> = (0..MACHINES).collect();
        machines.sort_by_key(|machine| std::cmp::Reverse(self.fleet.streams_of(*machine)));
        machines[rank]
    }

    fn machine_lost(&mut self) {
        let machine = self.busiest(0);
        self.publish_awaited();
        self.fleet.run_for(WORST_MOMENT_US);
        self.fleet.lose_machine(machine);
        self.fleet.run_for(MACHINE_GONE_US);
        self.fleet.bring_machine_back(machine, VERSIONS_LOST);
    }

    fn machines_silent(&mut self, count: usize) {
        let machines: Vec<usize> = (0..count).map(|rank| self.busiest(rank)).collect();
        self.publish_awaited();
        self.fleet.run_for(WORST_MOMENT_US);
        machines.into_iter().for_each(|machine| self.fleet.cut_machine(machine));
    }

    fn partition(&mut self) {
        self.publish();
        self.fleet.run_for(WORST_MOMENT_US);
        let half: Vec<usize> = (0..self.gateways).step_by(2).collect();
        half.iter().for_each(|gateway| self.fleet.cut_gateway(*gateway, true));
        self.fleet.run_for(PARTITION_US / 2);
        let (version, document) = self.author.next();
        self.fleet.publish(version, &document);
        self.fleet.run_for(PARTITION_US / 2);
        half.iter().for_each(|gateway| self.fleet.cut_gateway(*gateway, false));
        self.fleet.await_version(version);
    }

    fn all_restart(&mut self) {
        self.publish_awaited();
        self.fleet.run_for(WORST_MOMENT_US);
        for gateway in 0..self.gateways {
            let pause_us = self.fleet.random.below(SECOND_US);
            self.fleet.restart_gateway(gateway, pause_us);
        }
    }

    fn tampered(&mut self) {
        self.fleet.network.faults = NetworkFaults {
            lost_per_mille: TAMPERED_PER_MILLE,
            duplicated_per_mille: TAMPERED_PER_MILLE,
            late_per_mille: TAMPERED_PER_MILLE,
        };
        self.publish_awaited();
    }

    fn bad_between(&mut self) {
        let (version, document) = self.author.next_bad();
        self.fleet.publish(version, &document);
        self.fleet.run_for(BAD_FOR_US);
        self.publish_awaited();
    }
}
