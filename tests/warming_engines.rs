//! What all gateways together send a warming engine, against the budget of requests that the settings allow
//! it and what passes as chance beyond that. Shares under one request, uneven traffic, gateways that learn
//! of it late and gateways restarted with nothing remembered, alone or all together. Seeds are fixed.

mod common;

use common::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use workload_manager::*;

const STARTS: f64 = 1000.0;
const TICK: f64 = 0.03;
const LASTS: f64 = 6.5;

/// How gateways fare while the engine warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// All run on.
    Steady,
    /// A tenth restarts every third of a second.
    Rolling,
    /// Seven in ten restart at once, after a second and a half.
    Herd,
    /// Each gateway is being replaced: two processes of it serve side by side, none knowing what the other
    /// sends.
    Upgrade,
}

/// A case.
#[derive(Clone, Copy, Debug)]
struct Day {
    gateways: u32,
    warm: u32,
    warming: u32,
    /// Work of a request of each class, in seconds; a class without any gets no requests.
    work: [f64; 3],
    /// Requests of each class in ten.
    mix: [u32; 3],
    /// Whether requests say what they cost.
    estimates: bool,
    fate: Fate,
    /// Requests, in times those that the warming engines would serve were they warm.
    demand: f64,
}

struct Instance {
    gateway: WorkloadManager,
    listed_at: f64,
    listed: bool,
    rate: f64,
    timers: Vec<(f64, u64)>,
    in_flight: Vec<(f64, u64, u32, f64)>,
}

fn uniform(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

fn rules() -> Settings {
    let mut s = settings();
    s.classes = vec![class(0.6, 1, 3.0), class(2.0, 4, 20.0), class(4.0, 2, 25.0)];
    s.machine_types = vec![MachineType { cores: 16.0, memory_mb: 0.0 }];
    s.rules.slow_start_min_ratio = 0.32;
    s.rules.slow_start_duration = 15.0;
    s.rules.collapse_load_ratio = 2.5;
    s.rules.collapse_window = 3.0;
    s
}

fn start(s: &Settings, rng: &mut Pcg32) -> WorkloadManager {
    WorkloadManager::new(s.clone(), u64::from(rng.next_u32())).unwrap()
}

fn list(day: &Day, now: f64) -> Vec<EndpointEntry> {
    let warming = (0..day.warming).map(|id| EndpointEntry { started_at: Some(STARTS), ..engine(100 + id) });
    (0..day.warm).map(engine).chain(warming.filter(|_| now >= STARTS)).collect()
}

/// Requests sent to each warming engine: when, and their work.
fn play(day: &Day, seed: u64) -> Vec<Vec<(f64, f64)>> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut s = rules();
    s.gateways = day.gateways;
    let template = Driver::new(s.clone(), vec![]);
    // Far more requests arrive than the warming engines may get.
    let mean: f64 = (0..3).map(|c| day.work[c] * f64::from(day.mix[c]) / 10.0).sum();
    let allowed = f64::from(day.warming) * s.rules.collapse_load_ratio * 16.0 / mean;
    let engines = f64::from(day.warm) * 16.0 / mean;
    let processes = if day.fate == Fate::Upgrade { 2 * day.gateways } else { day.gateways };
    let rate = (day.demand * allowed + 0.5 * engines) / f64::from(processes);
    let mut instances: Vec<Instance> = (0..processes)
        .map(|_| Instance {
            gateway: start(&s, &mut rng),
            listed_at: STARTS + 1.5 * uniform(&mut rng),
            listed: false,
            // Some see many times what others do.
            rate: rate * (0.2 - (1.0 - uniform(&mut rng)).ln()) / 1.2,
            timers: Vec::new(),
            in_flight: Vec::new(),
        })
        .collect();
    let mut calls = vec![Vec::new(); day.warming as usize];
    let mut id = 0;
    let before = if day.warm > 0 { 6.0 } else { 0.0 };
    for tick in 0..((before + LASTS) / TICK) as u32 {
        let now = STARTS - before + f64::from(tick) * TICK;
        let since = now - STARTS;
        for (n, instance) in instances.iter_mut().enumerate() {
            let again = match day.fate {
                Fate::Steady | Fate::Upgrade => false,
                Fate::Rolling => {
                    let turn = n as f64 % 10.0 / 3.0;
                    since >= turn && since < turn + TICK
                }
                Fate::Herd => (1.5..1.5 + TICK).contains(&since) && n % 10 < 7,
            };
            let fresh = if again { Some(start(&s, &mut rng)) } else { None };
            let mut actions = Vec::new();
            if let Some(gateway) = fresh {
                (instance.gateway, instance.listed, instance.listed_at) =
                    (gateway, false, instance.listed_at.min(now));
                instance.timers.clear();
                instance.in_flight.clear();
            }
            if tick == 0 || again {
                let entries = list(day, if now >= instance.listed_at { now } else { 0.0 });
                instance.listed = now >= instance.listed_at;
                instance.gateway.on_event(
                    now,
                    &Event::EndpointList { mode: EndpointListMode::Cached, entries },
                    &mut actions,
                );
            }
            if !instance.listed && now >= instance.listed_at {
                instance.listed = true;
                let entries = list(day, now);
                instance.gateway.on_event(
                    now,
                    &Event::EndpointList { mode: EndpointListMode::Full, entries },
                    &mut actions,
                );
            }
            while let Some(i) = instance.in_flight.iter().position(|o| o.0 <= now) {
                let (_, id, to, elapsed) = instance.in_flight.swap_remove(i);
                let ended = Event::AttemptEnded {
                    request: RequestId(id),
                    attempt: 0,
                    engine: EngineId(to),
                    outcome: Outcome::Success,
                    elapsed,
                    request_settled: true,
                    may_still_run_for: 0.0,
                    cost: None,
                    load_report: None,
                };
                instance.gateway.on_event(now, &ended, &mut actions);
            }
            while let Some(i) = instance.timers.iter().position(|t| t.0 <= now) {
                let (_, token) = instance.timers.swap_remove(i);
                instance.gateway.on_event(now, &Event::Timer(token), &mut actions);
            }
            let mut due = instance.rate * TICK;
            while uniform(&mut rng) < due {
                due -= 1.0;
                let pick = rng.next_u32() % 10;
                let class =
                    if pick < day.mix[0] { 0 } else { 1 + usize::from(pick >= day.mix[0] + day.mix[1]) };
                id = id / 3 * 3 + 3 + class as u64;
                let c = &s.classes[class];
                let estimate = day.estimates.then_some(day.work[class] * (0.4 + 1.2 * uniform(&mut rng)));
                let deadline = now + c.deadline;
                let request = Request {
                    id: RequestId(id),
                    class: ClassId(class),
                    deadline,
                    estimated_work: estimate,
                    ..template.request(0, INTERACTIVE)
                };
                instance.gateway.on_event(now, &Event::RequestArrived(request), &mut actions);
            }
            for action in &actions {
                match action {
                    Action::SetTimer { delay, token, .. } => instance.timers.push((now + delay, *token)),
                    Action::Forward { request, engine, .. } => {
                        let class = (request.0 % 3) as usize;
                        let mut takes = day.work[class] / f64::from(s.classes[class].threads);
                        if engine.0 >= 100 {
                            calls[engine.0 as usize - 100].push((now, day.work[class]));
                            takes *= 2.0;
                        }
                        instance.in_flight.push((now + takes, request.0, engine.0, takes));
                    }
                    _ => {}
                }
            }
        }
    }
    calls
}

/// Of all windows the one nearest to a collapse: requests of mean work sent, the budget of them, and the most
/// that is let pass.
fn worst(day: &Day, calls: &[(f64, f64)]) -> (f64, f64, f64) {
    let s = rules();
    let r = &s.rules;
    let mean: f64 = (0..3).map(|c| day.work[c] * f64::from(day.mix[c]) / 10.0).sum();
    let mut worst = (0.0, 1.0, 1.0);
    for (from, _) in calls {
        let sent: f64 = calls
            .iter()
            .filter(|(at, _)| (*from..from + r.collapse_window).contains(at))
            .map(|(_, w)| w)
            .sum();
        let warmth = r.slow_start_min_ratio
            + (1.0 - r.slow_start_min_ratio) * ((from - STARTS) / r.slow_start_duration).clamp(0.0, 1.0);
        let budget = r.collapse_load_ratio * warmth * 16.0 * 0.85 * r.collapse_window / mean;
        let most = budget + 2.0 * budget.sqrt() + 2.0;
        if sent / mean / most > worst.0 / worst.2 {
            worst = (sent / mean, budget, most);
        }
    }
    worst
}

/// Requests: light ones alone, heavy ones alone so that many shares are under one request, and a mix.
const LIGHT: ([f64; 3], [u32; 3]) = ([0.12, 0.0, 0.0], [10, 0, 0]);
const HEAVY: ([f64; 3], [u32; 3]) = ([0.0, 3.0, 0.0], [0, 10, 0]);
const MIXED: ([f64; 3], [u32; 3]) = ([0.12, 3.0, 3.6], [8, 1, 1]);

fn days(demand: f64, engines: &[(u32, u32)]) -> Vec<Day> {
    let mut days = Vec::new();
    for gateways in [1, 3, 20, 30, 300] {
        for (work, mix) in [LIGHT, HEAVY, MIXED] {
            for &(warm, warming) in engines {
                for fate in [Fate::Steady, Fate::Rolling, Fate::Herd, Fate::Upgrade] {
                    let estimates = warm == 0;
                    days.push(Day { gateways, warm, warming, work, mix, estimates, fate, demand });
                }
            }
        }
    }
    days
}

#[test]
fn the_sum_over_all_gateways_stays_within_chance() {
    for (n, day) in
        days(0.5, &[(0, 1), (8, 2)]).into_iter().enumerate().filter(|(_, d)| d.gateways < 300 || d.warm == 0)
    {
        for (e, calls) in play(&day, 40 + n as u64).iter().enumerate() {
            let (sent, budget, most) = worst(&day, calls);
            assert!(sent <= most, "engine {e}: {sent:.1} calls of {budget:.1}, {most:.1} pass: {day:?}");
        }
    }
}

/// Checks the check: were each gateway to send just one more than its share, the sum would be over.
#[test]
fn one_more_request_of_each_gateway_would_be_too_many() {
    let (work, mix) = HEAVY;
    let day = Day {
        gateways: 300,
        warm: 0,
        warming: 1,
        work,
        mix,
        estimates: true,
        fate: Fate::Steady,
        demand: 0.5,
    };
    let mut calls = play(&day, 7).remove(0);
    calls.extend((0..day.gateways).map(|n| (STARTS + 1.5 + f64::from(n) * 0.001, day.work[1])));
    let (sent, _, most) = worst(&day, &calls);
    assert!(sent > most, "{sent} calls of {most}");
}

/// Not a check: prints how near each kind of case comes to what passes.
/// `cargo test --release --test warming_engines -- --ignored --nocapture`
#[test]
#[ignore = "prints figures"]
fn shares_of_the_budget_by_gateways() {
    for day in days(2.0, &[(0, 1), (0, 3), (8, 2)]) {
        let mut shares = Vec::new();
        for seed in 0..4 {
            for calls in play(&day, seed) {
                let (sent, budget, most) = worst(&day, &calls);
                shares.push((sent / most, sent, budget));
            }
        }
        shares.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (share, sent, budget) = shares[shares.len() - 1];
        let mean = shares.iter().map(|s| s.0).sum::<f64>() / shares.len() as f64;
        println!("{share:.2} at most, {mean:.2} in the mean ({sent:.1} of {budget:.1}): {day:?}");
    }
}
