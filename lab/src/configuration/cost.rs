//! What a change costs a gateway and a control machine, without the network: processor time of this process, its
//! memory, and bytes.

use std::hint::black_box;

use anyhow::Context;
use serde::Serialize;
use wrenhatch_configuration::{
    Delta, Document, GatewayId, HEARTBEAT_INTERVAL_US, HISTORY_VERSIONS, Message, Pacing, Publisher, Report,
    Snapshot, Subscriber, SubscriberAction, Version,
};

use super::settings::{Author, Size};
use super::{CHANGES_PER_DAY, MACHINES, SECOND_US};
use crate::fleet::{cpu_usage, resident_bytes};

/// Changes that are measured: the kernel counts processor time by ticks of some milliseconds.
const CHANGES: usize = 2_000;

/// Heartbeats to each gateway that are measured.
const HEARTBEAT_ROUNDS: u64 = 2_000;

/// Heartbeats that are measured.
const HEARTBEATS: usize = 1_000_000;

/// Subscribers whose memory is measured together.
const COPIES: usize = 64;

const DAY_S: f64 = 24.0 * 3_600.0;

/// What the parts cost.
#[derive(Debug, Serialize)]
pub struct Cost {
    /// Gateways of the fleet.
    pub gateways: usize,
    /// Bytes of the settings.
    pub snapshot_bytes: usize,
    /// Mean bytes of a difference of one change.
    pub delta_bytes: f64,
    /// A gateway's processor time to read, apply and check a difference.
    pub subscriber_delta_us: f64,
    /// The same for a snapshot.
    pub subscriber_snapshot_us: f64,
    /// The same for a heartbeat.
    pub subscriber_heartbeat_us: f64,
    /// A gateway's share of a core on an ordinary day, heartbeats included.
    pub subscriber_core_percent: f64,
    /// The same, were the whole sent for each change.
    pub subscriber_whole_core_percent: f64,
    /// Gateways of a machine, evenly spread.
    pub machine_gateways: usize,
    /// A machine's processor time for one change to all its gateways, reports included.
    pub publisher_change_us: f64,
    /// A machine's share of a core on an ordinary day, heartbeats included.
    pub publisher_core_percent: f64,
}

/// What the parts hold, resident.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Memory {
    /// A subscriber with one version in force and another on offer.
    pub subscriber_bytes: u64,
    /// A publisher with a full history.
    pub publisher_bytes: u64,
}

/// Measures memory.
pub fn measure_memory(size: Size) -> anyhow::Result<Memory> {
    let mut author = Author::new(size, 1);
    let versions: Vec<_> = (0..HISTORY_VERSIONS).map(|_| author.next()).collect();
    let texts: Vec<String> = versions.iter().map(|(_, document)| document.canonical()).collect();
    let (snapshot, delta) = (snapshot(&versions[0]), delta(&versions[0], &versions[1]));
    let before = resident_bytes(std::process::id())?;
    let subscribers = subscribers(&snapshot, &delta)?;
    let between = resident_bytes(std::process::id())?;
    let publisher = publisher_with(&texts)?;
    let after = resident_bytes(std::process::id())?;
    black_box((&subscribers, &publisher));
    Ok(Memory {
        subscriber_bytes: between.saturating_sub(before) / COPIES as u64,
        publisher_bytes: after.saturating_sub(between),
    })
}

/// Measures processor time and bytes.
pub fn measure(size: Size, gateways: usize) -> anyhow::Result<Cost> {
    let mut author = Author::new(size, 1);
    let versions: Vec<_> = (0..=CHANGES).map(|_| author.next()).collect();
    let deltas: Vec<String> = versions.windows(2).map(|pair| delta(&pair[0], &pair[1])).collect();
    let snapshots: Vec<String> = versions.iter().map(snapshot).collect();
    let subscriber_delta_us = subscriber_us(&versions[0], &deltas)?;
    let subscriber_snapshot_us = subscriber_us(&versions[0], &snapshots[1..])?;
    let subscriber_heartbeat_us = heartbeat_us(&versions[0])?;
    let heartbeats_per_s = SECOND_US as f64 / HEARTBEAT_INTERVAL_US as f64;
    let core_percent = |change_us: f64| {
        let per_s_us =
            change_us * CHANGES_PER_DAY as f64 / DAY_S + subscriber_heartbeat_us * heartbeats_per_s;
        per_s_us / SECOND_US as f64 * 100.0
    };
    let machine_gateways = gateways.div_ceil(MACHINES);
    let publisher = publisher(&versions, machine_gateways)?;
    Ok(Cost {
        gateways,
        snapshot_bytes: snapshots[0].len(),
        delta_bytes: deltas.iter().map(String::len).sum::<usize>() as f64 / CHANGES as f64,
        subscriber_delta_us,
        subscriber_snapshot_us,
        subscriber_heartbeat_us,
        subscriber_core_percent: core_percent(subscriber_delta_us),
        subscriber_whole_core_percent: core_percent(subscriber_snapshot_us),
        machine_gateways,
        publisher_change_us: publisher.change_us,
        publisher_core_percent: publisher.core_percent,
    })
}

fn delta(from: &(Version, Document), to: &(Version, Document)) -> String {
    Message::Delta(Delta::between((from.0, &from.1), (to.0, &to.1))).encode()
}

fn snapshot(version: &(Version, Document)) -> String {
    Message::Snapshot(Snapshot::of(version.0, &version.1)).encode()
}

/// Processor time of this thread so far. Microseconds.
fn cpu_us() -> anyhow::Result<f64> {
    Ok(cpu_usage(std::process::id())?.cpu_s * SECOND_US as f64)
}

fn take(subscriber: &mut Subscriber, text: &str) -> anyhow::Result<()> {
    let step = subscriber.on_message(0, text);
    let SubscriberAction::Apply { version, .. } = step else { anyhow::bail!("nothing to take: {step:?}") };
    black_box(subscriber.on_applied(version));
    Ok(())
}

fn subscriber_us(first: &(Version, Document), texts: &[String]) -> anyhow::Result<f64> {
    let mut subscriber = Subscriber::new(MACHINES, 1, first.0, first.1.clone());
    subscriber.on_connected(0);
    let began_us = cpu_us()?;
    for text in texts {
        take(&mut subscriber, text)?;
    }
    Ok((cpu_us()? - began_us) / texts.len() as f64)
}

fn heartbeat_us(first: &(Version, Document)) -> anyhow::Result<f64> {
    let mut subscriber = Subscriber::new(MACHINES, 1, first.0, first.1.clone());
    subscriber.on_connected(0);
    let text = Message::Current(first.0).encode();
    let began_us = cpu_us()?;
    for _ in 0..HEARTBEATS {
        black_box(subscriber.on_message(0, black_box(&text)));
    }
    Ok((cpu_us()? - began_us) / HEARTBEATS as f64)
}

/// Each has read its own, so that they share nothing.
fn subscribers(snapshot: &str, delta: &str) -> anyhow::Result<Vec<Subscriber>> {
    let mut subscribers = Vec::new();
    for seed in 0..COPIES {
        let mut subscriber = Subscriber::new(MACHINES, seed as u64, Version::NONE, Document::default());
        take(&mut subscriber, snapshot)?;
        black_box(subscriber.on_message(0, delta));
        subscribers.push(subscriber);
    }
    Ok(subscribers)
}

struct PublisherCost {
    change_us: f64,
    core_percent: f64,
}

/// A machine that publishes, sends to its gateways within its pacing, and receives their reports.
fn publisher(versions: &[(Version, Document)], gateways: usize) -> anyhow::Result<PublisherCost> {
    let mut publisher = Publisher::new(Pacing::default());
    let (first, document) = &versions[0];
    publisher.publish(*first, document.clone())?;
    for number in 0..gateways {
        // Spread, so that heartbeats don't fall together.
        let joins_us = HEARTBEAT_INTERVAL_US * number as u64 / gateways as u64;
        publisher.connect(joins_us, GatewayId(format!("gateway-{number:04}")), *first, document.digest());
    }
    let heartbeats_us = HEARTBEAT_INTERVAL_US * HEARTBEAT_ROUNDS;
    let mut now_us = 0;
    let before_us = cpu_us()?;
    run_until(&mut publisher, &mut now_us, heartbeats_us)?;
    let idle_us_per_s = (cpu_us()? - before_us) * SECOND_US as f64 / heartbeats_us as f64;
    let began_us = cpu_us()?;
    let began_at_us = now_us;
    for (version, document) in &versions[1..] {
        publisher.publish(*version, document.clone())?;
        let until_us = now_us + SECOND_US;
        run_until(&mut publisher, &mut now_us, until_us)?;
    }
    let seconds = (now_us - began_at_us) as f64 / SECOND_US as f64;
    let change_us = (cpu_us()? - began_us - idle_us_per_s * seconds) / CHANGES as f64;
    let per_s_us = change_us * CHANGES_PER_DAY as f64 / DAY_S + idle_us_per_s;
    Ok(PublisherCost { change_us, core_percent: per_s_us / SECOND_US as f64 * 100.0 })
}

fn run_until(publisher: &mut Publisher, now_us: &mut u64, until_us: u64) -> anyhow::Result<()> {
    loop {
        let next_us = publisher.next_due_us().context("no gateway is connected")?.max(*now_us);
        if next_us > until_us {
            *now_us = until_us;
            return Ok(());
        }
        *now_us = next_us;
        for (gateway, outgoing) in publisher.due(next_us) {
            publisher.report(&gateway, Report::Applied { version: outgoing.version });
        }
    }
}

/// Each version is read from its text, so that it shares nothing with others.
fn publisher_with(texts: &[String]) -> anyhow::Result<Publisher> {
    let mut publisher = Publisher::new(Pacing::default());
    for (text, version) in texts.iter().zip(1..) {
        publisher.publish(Version(version), text.parse()?)?;
    }
    Ok(publisher)
}
