//! Experiments with the endpoint list: changes of one engine, full lists, and a gateway that follows an unchanged list.

use std::time::{Duration, Instant};

use super::{ExperimentRun, ExperimentRunner, SETTLE_TIME, SLOW_INTERVAL, percent};
use crate::capacity::error::CapacityError;
use crate::capacity::experiment::Quantity;
use crate::capacity::fit::Point;
use crate::capacity::process::Gateway;
use crate::capacity::site::Site;
use crate::capacity::stand_ins::{Coordinator, EndpointStream, Engines};

/// Interval between changes of one engine.
const CHANGE_INTERVAL: Duration = Duration::from_millis(5);
/// Number of events per run for which the time until they are applied is measured.
const TIMED_EVENTS: u64 = 9;
/// Maximum time until a timed event is applied.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// A gateway with an open endpoint stream from the coordinator.
struct WatchingGateway {
    gateway: Gateway,
    stream: EndpointStream,
    site: Site,
    _engines: Engines,
}

impl WatchingGateway {
    /// Returns the median time in milliseconds from writing an event, which removes or restores the first engine, until
    /// the gateway's metrics show it. This includes the request for the metrics.
    fn median_apply_ms(
        &self,
        first_index: u64,
        event: impl Fn(u64, bool) -> serde_json::Value,
    ) -> Result<f64, CapacityError> {
        let all = self.site.engines.len();
        let mut times = Vec::new();
        for n in 0..TIMED_EVENTS {
            let (index, removed) = (first_index + n, n % 2 == 0);
            let event = event(index, removed);
            let began = Instant::now();
            self.stream.send(index, &event)?;
            while self.gateway.engines_known()? != all - usize::from(removed) {
                if began.elapsed() > EVENT_TIMEOUT {
                    return Err(CapacityError::Unexpected(format!("event {index} was not applied")));
                }
            }
            times.push(began.elapsed().as_secs_f64() * 1e3);
        }
        Ok(Point { size: all as f64, runs: times }.median())
    }
}

impl ExperimentRunner {
    pub(super) fn list_changes(&self, engines: usize) -> Result<ExperimentRun, CapacityError> {
        let watching = self.watching_gateway(engines)?;
        let site = &watching.site;
        let count = self.workload.changes;
        let run = self.stream_events(&watching, count, CHANGE_INTERVAL, |change| {
            let engine = (change / 2) as usize % engines;
            let status = if change % 2 == 0 { "Terminating" } else { "Ready" };
            site.list_event(change + 2, false, vec![site.endpoint_entry(engine, status)])
        })?;
        let applied = watching.median_apply_ms(count + 2, |index, removed| {
            site.list_event(
                index,
                false,
                vec![site.endpoint_entry(0, if removed { "Gone" } else { "Ready" })],
            )
        })?;
        Ok(run.with_figure(Quantity::ApplyTime, applied))
    }

    pub(super) fn full_lists(&self, engines: usize) -> Result<ExperimentRun, CapacityError> {
        let watching = self.watching_gateway(engines)?;
        let site = &watching.site;
        let count = self.workload.lists;
        let run =
            self.stream_events(&watching, count, SLOW_INTERVAL, |list| site.full_list_event(list + 2))?;
        let applied = watching.median_apply_ms(count + 2, |index, removed| {
            let listed = (usize::from(removed)..engines).map(|engine| site.endpoint_entry(engine, "Ready"));
            site.list_event(index, true, listed.collect())
        })?;
        Ok(run.with_figure(Quantity::ApplyTime, applied))
    }

    pub(super) fn unchanged_list(&self, engines: usize) -> Result<ExperimentRun, CapacityError> {
        let watching = self.watching_gateway(engines)?;
        let before = watching.gateway.cpu_us()?;
        self.guard.sleep(self.workload.idle_time, Some(watching.gateway.pid()))?;
        let cpu_us = watching.gateway.cpu_us()? - before;
        Ok(ExperimentRun::new(vec![(Quantity::IdleCpu, percent(cpu_us, self.workload.idle_time))]))
    }

    /// Starts engines, a coordinator and a gateway that follows it.
    fn watching_gateway(&self, engines: usize) -> Result<WatchingGateway, CapacityError> {
        let engines = Engines::start(engines)?;
        let coordinator = Coordinator::listen()?;
        let site = Site { coordinator: Some(coordinator.address), ..Site::new(engines.addresses.clone()) };
        let gateway = Gateway::start(&self.program, &site, "info")?;
        let stream = coordinator.accept_stream()?;
        self.guard.sleep(SETTLE_TIME, Some(gateway.pid()))?;
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
        let overrun = self.repeat_at_interval(count, interval, gateway, |n| {
            bytes += watching.stream.send(n + 2, &event(n))?;
            Ok(())
        })?;
        let (cpu_us, logged) = (gateway.cpu_us()? - cpu_us, gateway.log_bytes() - logged);
        let applied = gateway.counter("list_events")? - before;
        let missing = (applied != count).then(|| format!("{applied} of {count} events were taken"));
        let operations = count as f64;
        let run = ExperimentRun::new(vec![
            (Quantity::Cpu, cpu_us / operations),
            (Quantity::StreamBytes, bytes as f64 / operations),
            (Quantity::LogBytes, logged as f64 / operations),
        ]);
        Ok(run.unusable_if(overrun).unusable_if(missing))
    }
}
