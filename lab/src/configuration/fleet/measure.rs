//! What is measured while a fleet runs: bytes by second, and how long versions take to reach all gateways.

use hdrhistogram::Histogram;
use wrenhatch_configuration::Version;

use super::super::SECOND_US;
use super::Fleet;

/// Bytes by second.
#[derive(Default)]
pub(super) struct Traffic {
    pub(super) total_bytes: u64,
    pub(super) second: u64,
    pub(super) bytes_in_second: u64,
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

/// A version whose spread is measured.
pub(super) struct AwaitedVersion {
    pub(super) version: Version,
    pub(super) since_us: u64,
    pub(super) has_version: Vec<bool>,
    pub(super) missing: usize,
}

/// What one run has measured.
pub struct SimulationResult {
    /// From publication until a gateway has it in force. Microseconds.
    pub gateway_delays_us: Histogram<u64>,
    /// From publication until all gateways have it. Microseconds.
    pub fleet_delays_us: Histogram<u64>,
    /// Versions that not all gateways had at the end.
    pub missed: u64,
    /// Versions that gateways refused.
    pub refused: u64,
    /// Mean bytes a second, of the gateway with the most.
    pub gateway_bytes_per_s: f64,
    /// Bytes in the worst second of the worst gateway.
    pub gateway_peak_bytes: u64,
    /// Mean bytes a second, of the machine with the most.
    pub machine_bytes_per_s: f64,
    /// Bytes in the worst second of the worst machine.
    pub machine_peak_bytes: u64,
}

impl Fleet {
    /// Measures from now on how long each gateway takes to have this version or a newer one in force.
    pub fn await_version(&mut self, version: Version) {
        let has_version: Vec<bool> =
            self.gateways.iter().map(|gateway| gateway.subscriber.in_force() >= version).collect();
        let missing = has_version.iter().filter(|has| !**has).count();
        self.awaited.push(AwaitedVersion { version, since_us: self.now_us, has_version, missing });
    }

    /// Records a version that a gateway now has in force.
    pub(super) fn record_version(&mut self, number: usize) {
        let in_force = self.gateways[number].subscriber.in_force();
        for awaited in &mut self.awaited {
            if awaited.missing == 0 || awaited.has_version[number] || awaited.version > in_force {
                continue;
            }
            awaited.has_version[number] = true;
            awaited.missing -= 1;
            let delay_us = self.now_us - awaited.since_us;
            self.gateway_delays_us.saturating_record(delay_us);
            if awaited.missing == 0 {
                self.fleet_delays_us.saturating_record(delay_us);
            }
        }
    }

    /// Ends the run; means of bytes are over its whole time.
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
            missed: self.awaited.iter().filter(|awaited| awaited.missing > 0).count() as u64,
            refused: self.refused,
            gateway_bytes_per_s: mean(&self.gateway_traffic),
            gateway_peak_bytes: peak(&self.gateway_traffic),
            machine_bytes_per_s: mean(&self.machine_traffic),
            machine_peak_bytes: peak(&self.machine_traffic),
        }
    }
}
