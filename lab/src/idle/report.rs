//! Figures of a round, as the JSON file and the terminal present them.

use serde::Serialize;

use super::time_outs::TimeoutLag;
use crate::helper::CommandResult;
use crate::spread::Summary;

/// Figures of one round.
#[derive(Clone, Debug, Serialize)]
pub struct Round {
    pub build: String,
    /// Increase of the gateway's resident memory by the idle sessions, per session.
    pub bytes_per_session: f64,
    /// Mean time to open a session, in the slowest helper process.
    pub open_ms_each: f64,
    pub idle_wakeups_per_s: f64,
    pub idle_cpu_percent: f64,
    /// Latency of lookups before the idle sessions are opened.
    pub latency_alone: Summary,
    /// Latency of lookups while the other sessions are idle.
    pub latency_beside_parked: Summary,
    /// The wake-up of median duration, except that `lost` is the sum over all wake-ups.
    pub wake_half: CommandResult,
    pub wake_half_least_ms: f64,
    pub wake_half_most_ms: f64,
    /// Processor time of the gateway per wake-up, including the idle time after it and the active lookups.
    pub wake_cpu_ms: f64,
    /// Latency of lookups during the wake-ups.
    pub active_during_wake: Summary,
    /// A wake-up while other clients reconnect.
    pub wake_half_and_reconnect: CommandResult,
    /// Reconnections during `wake_half_and_reconnect`.
    pub reconnected: CommandResult,
    /// Latency of lookups during `wake_half_and_reconnect`.
    pub active_during_both: Summary,
    pub time_outs: Vec<TimeoutLag>,
    /// Sessions opened and closed per second.
    pub churn_per_s: f64,
    pub churn_cpu_percent: f64,
    /// Fraction of the processor time during churn that was spent in the kernel.
    pub churn_system_part: f64,
    /// Increase of the gateway's resident memory at the end of the round, per session.
    pub bytes_after: f64,
    pub timers_late: String,
    pub longest_waits: String,
}

impl std::fmt::Display for Round {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "== {}", self.build)?;
        writeln!(
            f,
            "resident for each session    {:.0} bytes, {:.0} at the end of the round",
            self.bytes_per_session, self.bytes_after
        )?;
        writeln!(f, "opened, each                 {:.3} ms", self.open_ms_each)?;
        writeln!(
            f,
            "while all are idle           {:.2} wake-ups a second, {:.3}% of a core",
            self.idle_wakeups_per_s, self.idle_cpu_percent
        )?;
        writeln!(f, "lookups, nobody parked       {}", self.latency_alone)?;
        writeln!(f, "lookups beside the parked    {}", self.latency_beside_parked)?;
        let ratio = |get: fn(&Summary) -> f64| get(&self.latency_beside_parked) / get(&self.latency_alone);
        writeln!(
            f,
            "  ratio                      p50 {:.3}, p99 {:.3}",
            ratio(|s| s.p50_ms),
            ratio(|s| s.p99_ms)
        )?;
        let format_result = |d: &CommandResult| {
            format!(
                "{} in {:.1} ms (single: p99 {:.1}, max {:.1}), lost {}",
                d.done, d.ms, d.p99_ms, d.max_ms, d.lost
            )
        };
        writeln!(f, "half wake up                 {}", format_result(&self.wake_half))?;
        writeln!(
            f,
            "  least and most             {:.1} and {:.1} ms, {:.1} ms of the core each with what is between",
            self.wake_half_least_ms, self.wake_half_most_ms, self.wake_cpu_ms
        )?;
        writeln!(f, "  active lookups             {}", self.active_during_wake)?;
        writeln!(f, "half wake up, a tenth anew   {}", format_result(&self.wake_half_and_reconnect))?;
        writeln!(f, "  those that connect anew    {}", format_result(&self.reconnected))?;
        writeln!(f, "  active lookups             {}", self.active_during_both)?;
        for t in &self.time_outs {
            let TimeoutLag { class, wait_ms, count, apart_ms, late_ms } = t;
            writeln!(
                f,
                "{count} of {class}, {wait_ms} ms           ended {late_ms:.1} ms late at most, {apart_ms:.1} ms apart"
            )?;
        }
        writeln!(
            f,
            "opened and closed            {:.0} a second at {:.0}% of a core, {:.0}% of that in the kernel",
            self.churn_per_s,
            self.churn_cpu_percent,
            100.0 * self.churn_system_part
        )?;
        writeln!(f, "longest wait to be read      {}", self.longest_waits)?;
        write!(f, "timers late                  {}", self.timers_late)
    }
}
