//! Measurements during a simulation: traffic by second, and the time until gateways have applied a version.

use hdrhistogram::Histogram;
use wrenhatch_configuration::Version;

use super::super::SECOND_US;
use super::Fleet;

/// Traffic of a gateway or control machine.
#[derive(Default)]
pub(super) struct Traffic {
    pub(super) total_bytes: u64,
    pub(super) second: u64,
    pub(super) bytes_in_second: u64,
    /// Largest number of bytes in one second of the simulated clock.
    pub(super) peak_bytes: u64,
}

impl Traffic {
    pub(super) fn add(&mut self, now_us: u64, bytes: u64) {
        let second = now_us / SECOND_US;
        if second != self.second {
            (self.second, self.bytes_in_second) = (second, 0);
        }
        self.total_bytes += bytes;
        self.bytes_in_second += bytes;
        self.peak_bytes = self.peak_bytes.max(self.bytes_in_second);
    }
}

/// A version whose delay is measured.
pub(super) struct MeasuredVersion {
    pub(super) version: Version,
    /// Start of the measurement: publication of the version, or the end of a partition.
    pub(super) since_us: u64,
    /// For each gateway, whether this or a newer version is in force.
    pub(super) has_version: Vec<bool>,
    /// Number of gateways with an older version.
    pub(super) missing: usize,
}

/// Figures of one run.
pub struct SimulationResult {
    /// Time from the start of the measurement until a version is in force at a gateway.
    pub gateway_delays_us: Histogram<u64>,
    /// Time from the start of the measurement until a version is in force at all gateways.
    pub fleet_delays_us: Histogram<u64>,
    /// Number of measured versions that some gateway had not applied at the end.
    pub missed: u64,
    /// Number of times that a gateway refused an invalid version.
    pub refused: u64,
    /// Mean traffic of the gateway with the most traffic, over the whole simulated time.
    pub gateway_bytes_per_s: f64,
    /// Largest number of bytes of any gateway in one second of the simulated clock.
    pub gateway_peak_bytes: u64,
    /// Mean traffic of the control machine with the most traffic, over the whole simulated time.
    pub machine_bytes_per_s: f64,
    /// Largest number of bytes of any control machine in one second of the simulated clock.
    pub machine_peak_bytes: u64,
}

impl Fleet {
    /// Starts to measure the time until this version or a newer one is in force at each gateway.
    pub fn measure_version(&mut self, version: Version) {
        let has_version: Vec<bool> =
            self.gateways.iter().map(|gateway| gateway.subscriber.in_force() >= version).collect();
        let missing = has_version.iter().filter(|has| !**has).count();
        self.measured.push(MeasuredVersion { version, since_us: self.now_us, has_version, missing });
    }

    /// Records the version that is now in force at a gateway.
    pub(super) fn record_version(&mut self, number: usize) {
        let in_force = self.gateways[number].subscriber.in_force();
        for measured in &mut self.measured {
            if measured.missing == 0 || measured.has_version[number] || measured.version > in_force {
                continue;
            }
            measured.has_version[number] = true;
            measured.missing -= 1;
            let delay_us = self.now_us - measured.since_us;
            self.gateway_delays_us.saturating_record(delay_us);
            if measured.missing == 0 {
                self.fleet_delays_us.saturating_record(delay_us);
            }
        }
    }

    /// Ends the run and returns its figures.
    pub fn finish(self) -> SimulationResult {
        let seconds = self.now_us as f64 / SECOND_US as f64;
        let mean = |traffic: &[Traffic]| {
            traffic.iter().map(|traffic| traffic.total_bytes).max().unwrap_or_default() as f64 / seconds
        };
        let peak =
            |traffic: &[Traffic]| traffic.iter().map(|traffic| traffic.peak_bytes).max().unwrap_or_default();
        SimulationResult {
            gateway_delays_us: self.gateway_delays_us,
            fleet_delays_us: self.fleet_delays_us,
            missed: self.measured.iter().filter(|measured| measured.missing > 0).count() as u64,
            refused: self.refused,
            gateway_bytes_per_s: mean(&self.gateway_traffic),
            gateway_peak_bytes: peak(&self.gateway_traffic),
            machine_bytes_per_s: mean(&self.machine_traffic),
            machine_peak_bytes: peak(&self.machine_traffic),
        }
    }
}
