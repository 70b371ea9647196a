//! Measures the cost of configuration changes at a gateway and at a control machine, without a network: processor time
//! and memory of this process, and bytes of messages.

use std::hint::black_box;

use anyhow::Context;
use serde::Serialize;
use wrenhatch_configuration::{
    Delta, Document, GatewayId, HEARTBEAT_INTERVAL_US, HISTORY_VERSIONS, Message, Pacing, Publisher, Report,
    Snapshot, Subscriber, SubscriberAction, Version,
};

use super::settings::{Operator, Size};
use super::{CHANGES_PER_DAY, MACHINES, SECOND_US};
use crate::gateway_process::{cpu_usage, resident_bytes};

/// Number of changes per measurement.
const CHANGES: usize = 2_000;

/// Number of heartbeats to each gateway when the publisher is measured.
const HEARTBEAT_ROUNDS: u64 = 2_000;

/// Number of heartbeats when the subscriber is measured.
const HEARTBEATS: usize = 1_000_000;

/// Number of subscribers whose memory is measured together.
const SUBSCRIBERS: usize = 64;

const DAY_S: f64 = 24.0 * 3_600.0;

/// Cost of changes at a subscriber (in a gateway) and at a publisher (in a control machine).
#[derive(Debug, Serialize)]
pub struct Cost {
    /// Number of gateways in the fleet.
    pub gateways: usize,
    /// Size of a snapshot message of the settings.
    pub snapshot_bytes: usize,
    /// Mean size of a delta message with one change.
    pub delta_bytes: f64,
    /// A gateway's processor time to parse and apply a delta.
    pub subscriber_delta_us: f64,
    /// A gateway's processor time to parse and apply a snapshot.
    pub subscriber_snapshot_us: f64,
    /// A gateway's processor time for a heartbeat.
    pub subscriber_heartbeat_us: f64,
    /// A gateway's processor usage on an ordinary day, including heartbeats.
    pub subscriber_core_percent: f64,
    /// A gateway's processor usage on an ordinary day if each change were sent as a snapshot.
    pub subscriber_whole_core_percent: f64,
    /// Number of gateways of a control machine, if they are distributed evenly.
    pub machine_gateways: usize,
    /// A control machine's processor time to send one change to all its gateways and to process their reports.
    pub publisher_change_us: f64,
    /// A control machine's processor usage on an ordinary day, including heartbeats.
    pub publisher_core_percent: f64,
}

/// Resident memory of a subscriber and of a publisher.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Memory {
    /// Bytes of a subscriber with one version in force and another that is not applied yet.
    pub subscriber_bytes: u64,
    /// Bytes of a publisher with a full history.
    pub publisher_bytes: u64,
}

/// Measures the memory of subscribers and of a publisher, by the growth of this process.
pub fn measure_memory(size: Size) -> anyhow::Result<Memory> {
    let mut operator = Operator::new(size, 1);
    let versions: Vec<_> = (0..HISTORY_VERSIONS).map(|_| operator.next_version()).collect();
    let texts: Vec<String> = versions.iter().map(|(_, document)| document.canonical()).collect();
    let (snapshot, delta) = (snapshot(&versions[0]), delta(&versions[0], &versions[1]));
    let bytes_before = resident_bytes(std::process::id())?;
    let subscribers = start_subscribers(&snapshot, &delta)?;
    let bytes_between = resident_bytes(std::process::id())?;
    let publisher = start_publisher(&texts)?;
    let bytes_after = resident_bytes(std::process::id())?;
    black_box((&subscribers, &publisher));
    Ok(Memory {
        subscriber_bytes: bytes_between.saturating_sub(bytes_before) / SUBSCRIBERS as u64,
        publisher_bytes: bytes_after.saturating_sub(bytes_between),
    })
}

/// Measures processor time and sizes of messages.
pub fn measure(size: Size, gateways: usize) -> anyhow::Result<Cost> {
    let mut operator = Operator::new(size, 1);
    let versions: Vec<_> = (0..=CHANGES).map(|_| operator.next_version()).collect();
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
    let publisher = publisher_cost(&versions, machine_gateways)?;
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
    Message::Snapshot(Snapshot::new(version.0, &version.1)).encode()
}

/// Processor time of the main thread so far, in microseconds.
fn cpu_us() -> anyhow::Result<f64> {
    Ok(cpu_usage(std::process::id())?.cpu_s * SECOND_US as f64)
}

fn apply(subscriber: &mut Subscriber, text: &str) -> anyhow::Result<()> {
    let action = subscriber.on_message(0, text);
    let SubscriberAction::Apply { version, .. } = action else {
        anyhow::bail!("no version to apply: {action:?}")
    };
    black_box(subscriber.on_applied(version));
    Ok(())
}

fn subscriber_us(first: &(Version, Document), texts: &[String]) -> anyhow::Result<f64> {
    let mut subscriber = Subscriber::new(MACHINES, 1, first.0, first.1.clone());
    subscriber.on_connected(0);
    let began_us = cpu_us()?;
    for text in texts {
        apply(&mut subscriber, text)?;
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

/// Each subscriber parses the messages itself, so that their documents share no memory.
fn start_subscribers(snapshot: &str, delta: &str) -> anyhow::Result<Vec<Subscriber>> {
    let mut subscribers = Vec::new();
    for seed in 0..SUBSCRIBERS {
        let mut subscriber = Subscriber::new(MACHINES, seed as u64, Version::NONE, Document::default());
        apply(&mut subscriber, snapshot)?;
        black_box(subscriber.on_message(0, delta));
        subscribers.push(subscriber);
    }
    Ok(subscribers)
}

struct PublisherCost {
    change_us: f64,
    core_percent: f64,
}

/// Measures a publisher that sends changes to its gateways, limited by its pacing, and receives their reports.
fn publisher_cost(versions: &[(Version, Document)], gateways: usize) -> anyhow::Result<PublisherCost> {
    let mut publisher = Publisher::new(Pacing::default());
    let (first, document) = &versions[0];
    publisher.publish(*first, document.clone())?;
    for number in 0..gateways {
        // Staggers the gateways, so that their heartbeats are not due at the same time.
        let connects_us = HEARTBEAT_INTERVAL_US * number as u64 / gateways as u64;
        publisher.connect(connects_us, GatewayId(format!("gateway-{number:04}")), *first, document.digest());
    }
    let heartbeats_us = HEARTBEAT_INTERVAL_US * HEARTBEAT_ROUNDS;
    let mut now_us = 0;
    let cpu_before_us = cpu_us()?;
    run_until(&mut publisher, &mut now_us, heartbeats_us)?;
    let idle_us_per_s = (cpu_us()? - cpu_before_us) * SECOND_US as f64 / heartbeats_us as f64;
    let cpu_before_changes_us = cpu_us()?;
    let began_us = now_us;
    for (version, document) in &versions[1..] {
        publisher.publish(*version, document.clone())?;
        let until_us = now_us + SECOND_US;
        run_until(&mut publisher, &mut now_us, until_us)?;
    }
    let seconds = (now_us - began_us) as f64 / SECOND_US as f64;
    let change_us = (cpu_us()? - cpu_before_changes_us - idle_us_per_s * seconds) / CHANGES as f64;
    let per_s_us = change_us * CHANGES_PER_DAY as f64 / DAY_S + idle_us_per_s;
    Ok(PublisherCost { change_us, core_percent: per_s_us / SECOND_US as f64 * 100.0 })
}

fn run_until(publisher: &mut Publisher, now_us: &mut u64, until_us: u64) -> anyhow::Result<()> {
    loop {
        let next_us = publisher.next_due_us().context("the publisher has no connected gateway")?.max(*now_us);
        if next_us > until_us {
            *now_us = until_us;
            return Ok(());
        }
        *now_us = next_us;
        for (gateway, outgoing) in publisher.due_messages(next_us) {
            publisher.report(&gateway, Report::Applied { version: outgoing.version });
        }
    }
}

/// Each version is parsed from its text, so that the documents share no memory.
fn start_publisher(texts: &[String]) -> anyhow::Result<Publisher> {
    let mut publisher = Publisher::new(Pacing::default());
    for (text, version) in texts.iter().zip(1..) {
        publisher.publish(Version(version), text.parse()?)?;
    }
    Ok(publisher)
}
