//! Experiments with the endpoint list: changes of one engine, full lists, and a gateway that follows an unchanged list.

use std::time::{Duration, Instant};

use super::{ExperimentRun, ExperimentRunner, SETTLE_TIME, SLOW_INTERVAL, percent};
use crate::capacity::error::CapacityError;
use crate::capacity::experiment::Quantity;
use crate::capacity::fit::Point;
use crate::capacity::process::Gateway;
use crate::capacity::site::Site;
use crate::capacity::stand_ins::{Coordinator, Engines, Stream};

/// Interval between changes of one engine.
const CHANGE_INTERVAL: Duration = Duration::from_millis(5);
/// Number of events per run whose application is timed.
const TIMED_EVENTS: u64 = 9;
/// Maximum time until a timed event is applied.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// A gateway with an open endpoint stream from the coordinator.
struct WatchingGateway {
    gateway: Gateway,
    stream: Stream,
    site: Site,
    _engines: Engines,
}

impl WatchingGateway {
    /// Returns the median time in milliseconds from writing an event, which removes or restores the first engine, until
    /// the gateway's metrics show it. This includes the request for the metrics.
    fn median_taken_ms(
        &self,
        first_index: u64,
        event: impl Fn(u64, bool) -> serde_json::Value,
    ) -> Result<f64, CapacityError> {
        let all = self.site.engines.len();
        let mut times = Vec::new();
        for n in 0..TIMED_EVENTS {
            let (index, gone) = (first_index + n, n % 2 == 0);
            let event = event(index, gone);
            let began = Instant::now();
            self.stream.event(index, &event)?;
            while self.gateway.engines_known()? != all - usize::from(gone) {
                if began.elapsed() > EVENT_TIMEOUT {
                    return Err(CapacityError::Peer(format!("event {index} is not taken")));
                }
            }
            times.push(began.elapsed().as_secs_f64() * 1e3);
        }
        Ok(Point { size: all as f64, runs: times }.median())
    }
}

impl ExperimentRunner {
    pub(super) fn changes(&self, engines: usize) -> Result<ExperimentRun, CapacityError> {
        let watching = self.watching_gateway(engines)?;
        let site = &watching.site;
        let count = self.effort.changes;
        let run = self.stream_events(&watching, count, CHANGE_INTERVAL, |change| {
            let engine = (change / 2) as usize % engines;
            let status = if change % 2 == 0 { "Terminating" } else { "Ready" };
            site.event(change + 2, false, vec![site.entry(engine, status)])
        })?;
        let taken = watching.median_taken_ms(count + 2, |index, gone| {
            site.event(index, false, vec![site.entry(0, if gone { "Gone" } else { "Ready" })])
        })?;
        Ok(run.with(Quantity::Taken, taken))
    }

    pub(super) fn lists(&self, engines: usize) -> Result<ExperimentRun, CapacityError> {
        let watching = self.watching_gateway(engines)?;
        let site = &watching.site;
        let count = self.effort.lists;
        let run = self.stream_events(&watching, count, SLOW_INTERVAL, |list| site.whole_list(list + 2))?;
        let taken = watching.median_taken_ms(count + 2, |index, gone| {
            let listed = (usize::from(gone)..engines).map(|engine| site.entry(engine, "Ready"));
            site.event(index, true, listed.collect())
        })?;
        Ok(run.with(Quantity::Taken, taken))
    }

    pub(super) fn idle(&self, engines: usize) -> Result<ExperimentRun, CapacityError> {
        let watching = self.watching_gateway(engines)?;
        let before = watching.gateway.cpu_us()?;
        self.guard.sleep(self.effort.idle, Some(watching.gateway.process()))?;
        let cpu_us = watching.gateway.cpu_us()? - before;
        Ok(ExperimentRun::of(vec![(Quantity::IdleCpu, percent(cpu_us, self.effort.idle))]))
    }

    /// Starts engines, a coordinator and a gateway that follows it.
    fn watching_gateway(&self, engines: usize) -> Result<WatchingGateway, CapacityError> {
        let engines = Engines::start(engines)?;
        let coordinator = Coordinator::listen()?;
        let site = Site { coordinator: Some(coordinator.address), ..Site::new(engines.addresses.clone()) };
        let gateway = Gateway::start(&self.program, &site, "info")?;
        let stream = coordinator.watch()?;
        self.guard.sleep(SETTLE_TIME, Some(gateway.process()))?;
        Ok(WatchingGateway { gateway, stream, site, _engines: engines })
    }

    /// Sends events at an interval and measures the cost per event.
    fn stream_events(
        &self,
        watching: &WatchingGateway,
        count: u64,
        interval: Duration,
        event: impl Fn(u64) -> serde_json::Value,
    ) -> Result<ExperimentRun, CapacityError> {
        let gateway = &watching.gateway;
        let before = gateway.counter("list_events")?;
        let (cpu_us, logged) = (gateway.cpu_us()?, gateway.log_bytes());
        let mut bytes = 0;
        let lag = self.repeat_at_interval(count, interval, gateway, |n| {
            bytes += watching.stream.event(n + 2, &event(n))?;
            Ok(())
        })?;
        let (cpu_us, logged) = (gateway.cpu_us()? - cpu_us, gateway.log_bytes() - logged);
        let taken = gateway.counter("list_events")? - before;
        let missing = (taken != count).then(|| format!("{taken} of {count} events were taken"));
        let each = count as f64;
        let run = ExperimentRun::of(vec![
            (Quantity::Cpu, cpu_us / each),
            (Quantity::StreamBytes, bytes as f64 / each),
            (Quantity::LogBytes, logged as f64 / each),
        ]);
        Ok(run.unless(lag).unless(missing))
    }
}
