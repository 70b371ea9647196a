//! Deployments drawn at random, over sockets, and judged by the rules of the protocol alone: the gateway is a program
//! between scripted clients, engines and a coordinator, and nothing of it is known to the auditor.
#![allow(missing_docs)]

mod common;

#[path = "deployments/auditor.rs"]
mod auditor;
#[path = "deployments/client.rs"]
mod client;
#[path = "deployments/draw.rs"]
mod draw;
#[path = "deployments/engine.rs"]
mod engine;
#[path = "deployments/run.rs"]
mod run;
#[path = "deployments/world.rs"]
mod world;

use std::collections::BTreeSet;
use std::thread;

use auditor::{Breach, Effect};
use draw::{Conduct, Deployment, Fate, Opening, Reports};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=16;
/// Deployments that run at once.
const AT_ONCE: usize = 8;

/// The seeds of this run: those of `DEPLOYMENT_SEEDS`, as in `3,5`, or all.
fn seeds() -> Vec<u64> {
    match std::env::var("DEPLOYMENT_SEEDS") {
        Ok(list) => list.split(',').filter_map(|seed| seed.parse().ok()).collect(),
        Err(_) => SEEDS.collect(),
    }
}

#[test]
fn the_rules_hold_in_deployments_drawn_at_random() {
    let mut found: Vec<(u64, Breach)> = Vec::new();
    for some in seeds().chunks(AT_ONCE) {
        let runs: Vec<_> = some
            .iter()
            .map(|seed| {
                (
                    *seed,
                    thread::spawn({
                        let seed = *seed;
                        move || run::run(seed)
                    }),
                )
            })
            .collect();
        for (seed, run) in runs {
            let breaches = run.join().expect("a run of its own");
            found.extend(breaches.into_iter().map(|breach| (seed, breach)));
        }
    }
    let told: Vec<String> = found
        .iter()
        .map(|(seed, breach)| {
            format!("seed {seed}: {:?}, request {:?}: {}", breach.rule, breach.request, breach.what)
        })
        .collect();
    assert!(told.is_empty(), "{} breaches:\n{}", told.len(), told.join("\n"));
}

/// A rule that no seed puts to the test is not tested.
#[test]
fn the_seeds_draw_every_form() {
    let drawn: Vec<Deployment> = SEEDS.map(Deployment::draw).collect();
    let some = |what: &str, is: &dyn Fn(&Deployment) -> bool| {
        assert!(drawn.iter().any(is), "no seed has {what}");
    };
    for reports in [Reports::None, Reports::Answers, Reports::Probes] {
        some("these reports", &|d| d.reports == reports);
    }
    for attempts in 1..=3 {
        some("this many attempts", &|d| d.terms.max_attempts == attempts);
    }
    for flag in [true, false] {
        some("cancels allowed or not", &|d| d.terms.may_cancel == flag);
        some("zones or none", &|d| d.zoned == flag);
        some("an engine that refuses, or none", &|d| d.refusing.contains(&true) == flag);
    }
    let kind = |effect: Effect| match effect {
        Effect::Safe => "safe".to_owned(),
        Effect::Keyed { group, .. } => format!("{group:?}"),
        Effect::Unsafe => "unsafe".to_owned(),
    };
    for ordered in [true, false] {
        let classes = drawn.iter().flat_map(|d| &d.terms.classes).filter(|c| c.ordered == ordered);
        let kinds: BTreeSet<String> = classes.map(|class| kind(class.effect)).collect();
        assert_eq!(kinds.len(), 5, "effects of classes that keep order or not ({ordered}): {kinds:?}");
    }
    for name in ["c", "i", "d", "t", "r", "h", "mem", "o", "k", "z"] {
        let holds = |text: &str| text.contains(&format!("{name}="));
        some("a field", &|d| d.texts.iter().any(|text| holds(text)));
        let optional = name != "c";
        some("a request without a field", &|d| !optional || d.texts.iter().any(|text| !holds(text)));
    }
    let steps = || drawn.iter().flat_map(|d| &d.lanes).flat_map(|lane| &lane.steps);
    assert!(steps().any(|step| step.requests.len() > 1), "pipelining");
    for opening in [Opening::Fresh, Opening::WithStart, Opening::Reused] {
        assert!(steps().any(|step| step.opening == opening), "{opening:?}");
    }
    assert!(steps().any(|step| matches!(step.conduct, Conduct::Leave(_))));
    assert!(steps().any(|step| matches!(step.conduct, Conduct::Cancel(_))));
    let fates: BTreeSet<_> = drawn.iter().flat_map(|d| d.fates.iter().flatten()).map(name_of).collect();
    assert_eq!(fates.len(), 7, "{fates:?}");
}

fn name_of(fate: &Fate) -> &'static str {
    match fate {
        Fate::Served { .. } => "served",
        Fate::Error => "error",
        Fate::Shed => "shed",
        Fate::Over => "over",
        Fate::Dies => "dies",
        Fate::Reset { .. } => "reset",
        Fate::Silent => "silent",
    }
}
