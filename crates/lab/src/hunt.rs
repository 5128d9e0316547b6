//! The hunt: draws schedules of faults over a scenario, plays them in virtual time, and looks for a broken rule or a
//! collapse. What it finds is shrunk to the few troubles that matter.

use crate::scenario::{Fault, FaultKind, MIN_RESTART_S, Scenario};
use crate::sim::{SimError, Simulated, simulate};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use toml::Spanned;

/// Service must be back within this after the last fault, in milliseconds.
const BACK_MS: f64 = 10_000.0;
/// Time at a day's beginning and end without faults, in seconds.
const QUIET_S: [f64; 2] = [4.0, 16.0];

/// What was found.
#[derive(Clone, Debug)]
pub struct Found {
    /// The scenario, shrunk, with its seed.
    pub scenario: Scenario,
    /// What is wrong on that day.
    pub reason: String,
    /// Troubles before and after shrinking.
    pub fault_counts: (usize, usize),
}

/// What is wrong with a day, if anything.
pub fn wrong(outcome: &Simulated) -> Option<String> {
    if let Some((rule, count)) = outcome.figures.broken.iter().next() {
        let first = outcome.figures.breaches.iter().find(|b| b.rule == *rule);
        return Some(format!("{rule:?} {count} times: {}", first.map_or("", |b| &b.what)));
    }
    let late = outcome.figures.recover_ms.iter().find(|(_, back)| back.is_none_or(|ms| ms > BACK_MS));
    late.map(|(name, back)| match back {
        Some(ms) => format!("service was back only {:.1} s after {name}", ms / 1000.0),
        None => format!("service was not back after {name}"),
    })
}

fn word(text: String) -> Spanned<String> {
    Spanned::new(0..0, text)
}

/// A trouble drawn for a scenario.
fn trouble(rng: &mut ChaCha8Rng, s: &Scenario) -> Fault {
    const KINDS: [FaultKind; 15] = [
        FaultKind::ServerSlow,
        FaultKind::ServerSilent,
        FaultKind::ServerErrors,
        FaultKind::ServerResets,
        FaultKind::ServerDown,
        FaultKind::ServerVanish,
        FaultKind::ServerPauses,
        FaultKind::ServerRestart,
        FaultKind::LinkCut,
        FaultKind::LinkOneWay,
        FaultKind::PeerLoss,
        FaultKind::NodeKill,
        FaultKind::DiscoveryDown,
        FaultKind::DiscoverySlow,
        FaultKind::Burst,
    ];
    let kind = KINDS.choose(rng).copied().unwrap_or_default();
    let end = (s.seconds - QUIET_S[1]).max(QUIET_S[0] + 1.0);
    let at_s = rng.random_range(QUIET_S[0]..end);
    let least = if kind == FaultKind::ServerRestart { MIN_RESTART_S } else { 0.5 };
    let for_s = rng.random_range(0.5..6.0_f64).min(end - at_s + 0.5).max(least);
    let zone =
        |rng: &mut ChaCha8Rng| format!("zone:{}", s.fleet.zones[rng.random_range(0..s.fleet.zones.len())]);
    let part = |rng: &mut ChaCha8Rng| format!("part:{:.2}", rng.random_range(0.05..0.5));
    let (mut on, mut to, mut size) = (Vec::new(), Vec::new(), 0.0);
    match kind {
        FaultKind::NodeKill => on.push(part(rng)),
        FaultKind::LinkCut | FaultKind::LinkOneWay => {
            on.push(zone(rng));
            to.push(["servers", "nodes", "discovery"].choose(rng).copied().unwrap_or("nodes").to_owned());
        }
        FaultKind::PeerLoss => size = rng.random_range(0.1..0.9),
        FaultKind::DiscoverySlow => size = rng.random_range(2.0..20.0),
        FaultKind::Burst => size = rng.random_range(1.2..2.5),
        FaultKind::DiscoveryDown => {}
        _ => {
            on.push(if rng.random_bool(0.4) { zone(rng) } else { part(rng) });
            size = match kind {
                FaultKind::ServerSlow => rng.random_range(2.0..15.0),
                FaultKind::ServerPauses => rng.random_range(50.0..600.0),
                _ => rng.random_range(0.1..1.0),
            };
        }
    }
    let words = |all: Vec<String>| all.into_iter().map(word).collect();
    let round = |v: f64| (v * 100.0).round() / 100.0;
    Fault {
        at_s: round(at_s),
        for_s: round(for_s),
        kind,
        on: words(on),
        to: words(to),
        size: round(size),
        say: String::new(),
    }
}

/// The `n`th schedule that a seed draws over a scenario.
pub fn draw(base: &Scenario, seed: u64, n: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(n);
    let mut scenario = base.clone();
    scenario.seed = rng.random_range(0..1_000_000);
    let count = rng.random_range(1..=5);
    scenario.trouble.extend((0..count).map(|_| trouble(&mut rng, base)));
    scenario
}

/// Plays the `n`th schedule; where something is wrong with it, it is shrunk.
///
/// # Errors
/// The scenario asks for what is not modelled.
pub fn hunt(base: &Scenario, seed: u64, n: u64) -> Result<Option<Found>, SimError> {
    let scenario = draw(base, seed, n);
    let outcome = simulate(&scenario, scenario.seed)?;
    let Some(reason) = wrong(&outcome) else { return Ok(None) };
    let before = scenario.trouble.len();
    let mut least = scenario;
    let mut reason = reason;
    // One trouble less at a time, for as long as something is wrong without it.
    let mut at = 0;
    while at < least.trouble.len() && least.trouble.len() > 1 {
        let mut less = least.clone();
        less.trouble.remove(at);
        match wrong(&simulate(&less, less.seed)?) {
            Some(still) => (least, reason) = (less, still),
            None => at += 1,
        }
    }
    least.name = format!("{}-found-{n}", base.name);
    least.about = format!("Found by the hunt: {reason}");
    let after = least.trouble.len();
    Ok(Some(Found { scenario: least, reason, fault_counts: (before, after) }))
}
