//! Simulation scenarios: an ordinary day, a burst of changes, and faults. Most faults begin when a version has reached
//! only some of the gateways.

use serde::Serialize;

use super::fleet::{Fleet, SimulationResult};
use super::network::NetworkFaults;
use super::random::Random;
use super::settings::{Operator, Size};
use super::{CHANGES_PER_DAY, MACHINES, SECOND_US};

/// Time for all gateways to connect and to apply the last version of the warm-up.
const WARM_UP_US: u64 = 20 * SECOND_US;

/// Number of versions published before a scenario starts.
const WARM_UP_VERSIONS: usize = 12;

/// Time from publication to a fault. By then, only some of the gateways have received the version.
const FAULT_DELAY_US: u64 = 30_000;

/// Duration of the run after the last step of each scenario except `Ordinary`.
const RECOVERY_TIME_US: u64 = 60 * SECOND_US;

/// Duration of the partition.
const PARTITION_US: u64 = 60 * SECOND_US;

/// Time until a crashed control machine restarts.
const MACHINE_DOWN_US: u64 = 5 * SECOND_US;

/// Number of versions that a control machine has lost when it restarts.
const VERSIONS_LOST: usize = 10;

/// Number of changes in a burst.
const BURST: usize = 40;

/// Time between two changes of a burst.
const BURST_INTERVAL_US: u64 = 50_000;

/// Time from an invalid version to the next valid one.
const INVALID_VERSION_US: u64 = 300_000;

/// Probability of each network fault (loss, duplication, delay) per thousand messages.
const FAULTS_PER_MILLE: u64 = 50;

/// Probability that a gateway restarts while it applies a version, per thousand.
const RESTARTS_WHILE_APPLYING_PER_MILLE: u64 = 333;

/// A load or fault to simulate. The names appear in the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Changes at random times, at the rate of an ordinary day.
    Ordinary,
    /// Many changes in quick succession. The last one is measured.
    Burst,
    /// A control machine crashes and restarts with an older version.
    MachineLost,
    /// A control machine becomes unreachable without closing its connections.
    MachineSilent,
    /// Three control machines become unreachable without closing their connections.
    ThreeMachinesSilent,
    /// Half of the gateways are partitioned from all control machines. Measurement starts when the partition ends.
    Partition,
    /// All gateways restart within a second, without a version.
    AllRestart,
    /// Each time that a gateway applies a version, it may restart instead.
    RestartWhileApplying,
    /// Messages and reports are lost, duplicated and delayed at random. TCP would hide these faults.
    Tampered,
    /// An invalid version is published shortly before the valid one that is measured.
    BadBetween,
}

impl Scenario {
    /// All scenarios in the order of the report.
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

    /// Runs the scenario once. Only `Ordinary` uses `changes`, the number of changes.
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
                simulation.publish_measured();
            }
            Self::Tampered => simulation.faulty_network(),
            Self::BadBetween => simulation.invalid_version_before_valid(),
        }
        if self != Self::Ordinary {
            simulation.fleet.run_for(RECOVERY_TIME_US);
        }
        simulation.fleet.finish()
    }
}

/// A simulated fleet and the operator that publishes versions to it.
struct Simulation {
    fleet: Fleet,
    operator: Operator,
    gateways: usize,
}

impl Simulation {
    /// Publishes `WARM_UP_VERSIONS` versions and runs the fleet for `WARM_UP_US`.
    fn new(gateways: usize, size: Size, seed: u64) -> Self {
        let mut simulation =
            Self { fleet: Fleet::new(gateways, seed), operator: Operator::new(size, seed), gateways };
        for _ in 0..WARM_UP_VERSIONS {
            simulation.publish();
        }
        simulation.fleet.run_for(WARM_UP_US);
        simulation
    }

    fn publish(&mut self) {
        let (version, document) = self.operator.next_version();
        self.fleet.publish(version, &document);
    }

    /// Publishes a version and starts to measure the time until gateways apply it.
    fn publish_measured(&mut self) {
        let (version, document) = self.operator.next_version();
        self.fleet.publish(version, &document);
        self.fleet.measure_version(version);
    }

    fn ordinary(&mut self, seed: u64, changes: u64) {
        let mut random = Random::new(seed);
        let mean_us = (24 * 3_600 * SECOND_US / CHANGES_PER_DAY) as f64;
        for _ in 0..changes {
            self.publish_measured();
            self.fleet.run_for(random.exponential(mean_us) as u64);
        }
        self.fleet.run_for(mean_us as u64);
    }

    fn burst(&mut self) {
        for _ in 1..BURST {
            self.publish();
            self.fleet.run_for(BURST_INTERVAL_US);
        }
        self.publish_measured();
    }

    /// The control machine with the most gateways (rank 0), the second most (rank 1), and so on.
    fn busiest_machine(&self, rank: usize) -> usize {
        let mut machines: Vec<usize> = (0..MACHINES).collect();
        machines.sort_by_key(|machine| std::cmp::Reverse(self.fleet.stream_count(*machine)));
        machines[rank]
    }

    fn machine_lost(&mut self) {
        let machine = self.busiest_machine(0);
        self.publish_measured();
        self.fleet.run_for(FAULT_DELAY_US);
        self.fleet.crash_machine(machine);
        self.fleet.run_for(MACHINE_DOWN_US);
        self.fleet.restart_machine(machine, VERSIONS_LOST);
    }

    fn machines_silent(&mut self, count: usize) {
        let machines: Vec<usize> = (0..count).map(|rank| self.busiest_machine(rank)).collect();
        self.publish_measured();
        self.fleet.run_for(FAULT_DELAY_US);
        machines.into_iter().for_each(|machine| self.fleet.isolate_machine(machine));
    }

    fn partition(&mut self) {
        self.publish();
        self.fleet.run_for(FAULT_DELAY_US);
        let half: Vec<usize> = (0..self.gateways).step_by(2).collect();
        half.iter().for_each(|gateway| self.fleet.set_isolated(*gateway, true));
        self.fleet.run_for(PARTITION_US / 2);
        let (version, document) = self.operator.next_version();
        self.fleet.publish(version, &document);
        self.fleet.run_for(PARTITION_US / 2);
        half.iter().for_each(|gateway| self.fleet.set_isolated(*gateway, false));
        self.fleet.measure_version(version);
    }

    fn all_restart(&mut self) {
        self.publish_measured();
        self.fleet.run_for(FAULT_DELAY_US);
        for gateway in 0..self.gateways {
            let pause_us = self.fleet.random.below(SECOND_US);
            self.fleet.restart_gateway(gateway, pause_us);
        }
    }

    fn faulty_network(&mut self) {
        self.fleet.network.faults = NetworkFaults {
            lost_per_mille: FAULTS_PER_MILLE,
            duplicated_per_mille: FAULTS_PER_MILLE,
            late_per_mille: FAULTS_PER_MILLE,
        };
        self.publish_measured();
    }

    fn invalid_version_before_valid(&mut self) {
        let (version, document) = self.operator.next_invalid_version();
        self.fleet.publish(version, &document);
        self.fleet.run_for(INVALID_VERSION_US);
        self.publish_measured();
    }
}
