//! Scripts of the simulated events: timed actions on machines and network, deterministic for a seed.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use super::control_state::ControlState;
use super::error::HollowError;
use super::fleet::{self, FleetSize};
use super::list::{Database, DatabaseState};

/// A second, in microseconds.
const SECOND_US: u64 = 1_000_000;
/// Time at which an event begins. All streams are established and idle by then.
const BEGIN_US: u64 = 20 * SECOND_US;
/// Delay between a database failure and the change of its list entry.
const FAILURE_DETECTION_US: u64 = 3 * SECOND_US;
/// Period over which a release or a batch of restarts is spread.
const RESTART_WINDOW_US: u64 = 60 * SECOND_US;
/// Duration of an outage of a machine, rack or zone.
const OUTAGE_US: u64 = 60 * SECOND_US;
/// Duration of a network partition between the regions.
const PARTITION_US: u64 = 180 * SECOND_US;
/// Duration of a restart of a database or control machine.
const RESTART_US: u64 = 10 * SECOND_US;
/// Period without actions at the end of a script.
const QUIET_END_US: u64 = 30 * SECOND_US;
/// Planned restarts and replacements per day.
const RESTARTS_PER_DAY: usize = 110;
/// Machine failures per day.
const FAILURES_PER_DAY: usize = 2;

/// An action of a script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Changes databases in the list by one event.
    Change(Vec<Database>),
    /// Sets the reachability of a control machine.
    SetControl(usize, ControlState),
    /// Stops a gateway without closing its connection.
    GatewayCrashes(usize),
    /// Starts a gateway. A running one is stopped first and closes its connection.
    GatewayStarts(usize),
    /// Starts (`true`) or ends (`false`) a network partition between the regions.
    Partition(bool),
    /// Sets the first control machines, up to this number, to `Serving` and all others to `Down`.
    SetServingControl(usize),
    /// Closes all streams while the control machines continue to accept requests.
    CloseStreams,
    /// Suspends (`true`) or resumes (`false`) the heartbeat comments of all control machines.
    SuspendComments(bool),
}

/// Timed actions of one event.
#[derive(Clone, Debug)]
pub struct Script {
    /// Name of the event in options and figures.
    pub name: &'static str,
    /// Actions with their times in microseconds, sorted by time.
    pub actions: Vec<(u64, Action)>,
    /// Time at which the event and its measurement begin, in microseconds.
    pub begins_us: u64,
    /// Time at which the run ends, in microseconds.
    pub ends_us: u64,
}

type ScriptBuilder = fn(FleetSize, &mut Pcg32) -> Vec<(u64, Action)>;

/// Script builders by event name.
const EVENTS: [(&str, ScriptBuilder); 14] = [
    ("ordinary hour", ordinary_hour),
    ("one gateway fails", gateway_fails),
    ("one database fails", database_fails),
    ("one control machine fails", control_fails),
    ("one control process ends", control_ends),
    ("110 restarts in one window", restarts_in_one_window),
    ("110 restarts at once", restarts_at_once),
    ("release of all gateways", release),
    ("rack", rack_fails),
    ("zone", zone_fails),
    ("regions cut off", regions_partitioned),
    ("one change of the list", one_change),
    ("change of the list while a zone fails", change_in_zone),
    ("all watchers reconnect", all_reconnect),
];

/// Names of all events.
pub fn names() -> impl Iterator<Item = &'static str> {
    EVENTS.iter().map(|(name, _)| *name)
}

/// Builds the script of an event.
///
/// # Errors
/// The event is unknown.
pub fn script(name: &str, size: FleetSize, seed: u64) -> Result<Script, HollowError> {
    let found = EVENTS.iter().find(|(known, _)| *known == name);
    let Some((name, build)) = found else {
        let all: Vec<_> = names().collect();
        return Err(HollowError::UnknownEvent(name.to_owned(), all.join(", ")));
    };
    let mut random = Pcg32::seed_from_u64(seed);
    let mut actions = build(size, &mut random);
    actions.sort_by_key(|(at, _)| *at);
    let last_us = actions.last().map_or(BEGIN_US, |(at, _)| *at);
    let ends_us = if *name == "ordinary hour" { BEGIN_US + 3600 * SECOND_US } else { last_us + QUIET_END_US };
    Ok(Script { name, actions, begins_us: BEGIN_US, ends_us })
}

fn random_index(random: &mut Pcg32, count: usize) -> usize {
    random.next_u32() as usize % count.max(1)
}

fn offset_us(random: &mut Pcg32, span_us: u64) -> u64 {
    u64::from(random.next_u32()) * span_us / u64::from(u32::MAX)
}

fn state_change(number: usize, state: DatabaseState, at_us: u64) -> (u64, Action) {
    let since_ms = if state == DatabaseState::Ready { at_us / 1000 } else { 0 };
    (at_us, Action::Change(vec![Database { number, state, since_ms }]))
}

/// List changes of a database restart: draining, removed, and ready with a new start time.
fn database_restart(number: usize, at_us: u64) -> [(u64, Action); 3] {
    [
        state_change(number, DatabaseState::Terminating, at_us),
        state_change(number, DatabaseState::Removed, at_us + 2 * SECOND_US),
        state_change(number, DatabaseState::Ready, at_us + RESTART_US),
    ]
}

fn database_outage(number: usize, from_us: u64, until_us: u64) -> [(u64, Action); 2] {
    [
        state_change(number, DatabaseState::Removed, from_us + FAILURE_DETECTION_US),
        state_change(number, DatabaseState::Ready, until_us),
    ]
}

fn gateway_outage(number: usize, from_us: u64, until_us: u64) -> [(u64, Action); 2] {
    [(from_us, Action::GatewayCrashes(number)), (until_us, Action::GatewayStarts(number))]
}

fn control_outage(number: usize, state: ControlState, from_us: u64, until_us: u64) -> [(u64, Action); 2] {
    [
        (from_us, Action::SetControl(number, state)),
        (until_us, Action::SetControl(number, ControlState::Serving)),
    ]
}

/// Restarts of randomly selected machines of all roles.
fn restarts(size: FleetSize, random: &mut Pcg32, count: usize, window_us: u64) -> Vec<(u64, Action)> {
    let all = size.gateways + size.databases + size.control;
    let mut machines: Vec<usize> = (0..all).collect();
    let mut actions = Vec::new();
    for _ in 0..count.min(all) {
        let machine = machines.swap_remove(random_index(random, machines.len()));
        let at_us = BEGIN_US + offset_us(random, window_us);
        if machine < size.gateways {
            actions.push((at_us, Action::GatewayStarts(machine)));
        } else if machine < size.gateways + size.databases {
            actions.extend(database_restart(machine - size.gateways, at_us));
        } else {
            let control = machine - size.gateways - size.databases;
            actions.extend(control_outage(control, ControlState::Down, at_us, at_us + RESTART_US));
        }
    }
    actions
}

fn ordinary_hour(size: FleetSize, random: &mut Pcg32) -> Vec<(u64, Action)> {
    let hour_us = 3600 * SECOND_US;
    let mut actions = restarts(size, random, RESTARTS_PER_DAY.div_ceil(24), hour_us - 120 * SECOND_US);
    for _ in 0..FAILURES_PER_DAY.div_ceil(24) {
        let at_us = BEGIN_US + offset_us(random, hour_us - 120 * SECOND_US);
        actions.extend(database_outage(random_index(random, size.databases), at_us, at_us + OUTAGE_US));
    }
    actions
}

fn gateway_fails(size: FleetSize, random: &mut Pcg32) -> Vec<(u64, Action)> {
    gateway_outage(random_index(random, size.gateways), BEGIN_US, BEGIN_US + OUTAGE_US).into()
}

fn database_fails(size: FleetSize, random: &mut Pcg32) -> Vec<(u64, Action)> {
    database_outage(random_index(random, size.databases), BEGIN_US, BEGIN_US + OUTAGE_US).into()
}

fn control_fails(size: FleetSize, random: &mut Pcg32) -> Vec<(u64, Action)> {
    control_outage(
        random_index(random, size.control),
        ControlState::Unreachable,
        BEGIN_US,
        BEGIN_US + OUTAGE_US,
    )
    .into()
}

fn control_ends(size: FleetSize, random: &mut Pcg32) -> Vec<(u64, Action)> {
    control_outage(random_index(random, size.control), ControlState::Down, BEGIN_US, BEGIN_US + OUTAGE_US)
        .into()
}

fn restarts_in_one_window(size: FleetSize, random: &mut Pcg32) -> Vec<(u64, Action)> {
    restarts(size, random, RESTARTS_PER_DAY, RESTART_WINDOW_US)
}

fn restarts_at_once(size: FleetSize, random: &mut Pcg32) -> Vec<(u64, Action)> {
    restarts(size, random, RESTARTS_PER_DAY, 0)
}

fn release(size: FleetSize, random: &mut Pcg32) -> Vec<(u64, Action)> {
    (0..size.gateways)
        .map(|gateway| (BEGIN_US + offset_us(random, RESTART_WINDOW_US), Action::GatewayStarts(gateway)))
        .collect()
}

/// An outage of all affected machines, which return at the same time.
fn site_outage(size: FleetSize, is_affected: impl Fn(usize) -> bool) -> Vec<(u64, Action)> {
    let until_us = BEGIN_US + OUTAGE_US;
    let mut actions = Vec::new();
    for control in (0..size.control).filter(|machine| is_affected(*machine)) {
        actions.extend(control_outage(control, ControlState::Unreachable, BEGIN_US, until_us));
    }
    for gateway in (0..size.gateways).filter(|machine| is_affected(*machine)) {
        actions.extend(gateway_outage(gateway, BEGIN_US, until_us));
    }
    for database in (0..size.databases).filter(|machine| is_affected(*machine)) {
        actions.extend(database_outage(database, BEGIN_US, until_us));
    }
    actions
}

fn rack_fails(size: FleetSize, random: &mut Pcg32) -> Vec<(u64, Action)> {
    let (zone, rack) = (random_index(random, fleet::ZONES), random_index(random, fleet::RACKS_PER_ZONE));
    site_outage(size, |machine| fleet::zone(machine) == zone && fleet::rack(machine) == rack)
}

fn zone_fails(size: FleetSize, random: &mut Pcg32) -> Vec<(u64, Action)> {
    let zone = random_index(random, fleet::ZONES);
    site_outage(size, |machine| fleet::zone(machine) == zone)
}

fn regions_partitioned(size: FleetSize, random: &mut Pcg32) -> Vec<(u64, Action)> {
    let mut actions =
        vec![(BEGIN_US, Action::Partition(true)), (BEGIN_US + PARTITION_US, Action::Partition(false))];
    // Database restarts during the partition produce list changes that one region misses.
    for restart in 0..10 {
        actions.extend(database_restart(
            random_index(random, size.databases),
            BEGIN_US + (restart + 1) * 15 * SECOND_US,
        ));
    }
    actions
}

fn one_change(size: FleetSize, random: &mut Pcg32) -> Vec<(u64, Action)> {
    vec![state_change(random_index(random, size.databases), DatabaseState::Terminating, BEGIN_US)]
}

fn change_in_zone(size: FleetSize, random: &mut Pcg32) -> Vec<(u64, Action)> {
    let mut actions = zone_fails(size, random);
    let database = random_index(random, size.databases);
    for tenths in [1, 10, 25, 30, 35, 605, 620] {
        let changed = if tenths % 2 == 0 { DatabaseState::Ready } else { DatabaseState::Terminating };
        actions.push(state_change(database, changed, BEGIN_US + tenths * SECOND_US / 10));
    }
    actions
}

/// Stops all but two sevenths of the control machines for the duration of an outage.
fn all_reconnect(size: FleetSize, _: &mut Pcg32) -> Vec<(u64, Action)> {
    let serving = (size.control * 2 / 7).max(1);
    vec![
        (BEGIN_US, Action::SetServingControl(serving)),
        (BEGIN_US + OUTAGE_US, Action::SetServingControl(size.control)),
    ]
}
