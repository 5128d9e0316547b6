//! Search for failures: draws random faults for a scenario, runs it in virtual time, and looks for broken
//! rules and for service that does not recover. A schedule that fails is reduced to the faults that are
//! needed for the failure.

use crate::scenario::{Fault, FaultKind, MIN_RESTART_S, Scenario};
use crate::sim::{SimError, Simulated, simulate};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use toml::Spanned;

/// Maximum time from the end of a fault until service recovers, in milliseconds.
const MAX_RECOVERY_MS: f64 = 10_000.0;
/// Time without random faults at the beginning and at the end of a run, in seconds.
const QUIET_S: [f64; 2] = [4.0, 16.0];

/// A failure that was found.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The reduced scenario, with its seed.
    pub scenario: Scenario,
    /// The failure of this run.
    pub reason: String,
    /// Number of faults before and after the reduction.
    pub fault_counts: (usize, usize),
}

/// Returns the failure of a run, if there is one.
pub fn find_failure(outcome: &Simulated) -> Option<String> {
    if let Some((rule, count)) = outcome.figures.broken.iter().next() {
        let first = outcome.figures.breaches.iter().find(|b| b.rule == *rule);
        return Some(format!("{rule:?} {count} times: {}", first.map_or("", |b| &b.what)));
    }
    let slow_recovery =
        outcome.figures.recover_ms.iter().find(|(_, back)| back.is_none_or(|ms| ms > MAX_RECOVERY_MS));
    slow_recovery.map(|(name, back)| match back {
        Some(ms) => format!("service was back only {:.1} s after {name}", ms / 1000.0),
        None => format!("service was not back after {name}"),
    })
}

/// Returns a word of a scenario that was not read from a file.
fn spanned(text: String) -> Spanned<String> {
    Spanned::new(0..0, text)
}

/// Draws a fault for a scenario.
fn draw_fault(rng: &mut ChaCha8Rng, scenario: &Scenario) -> Fault {
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
    let end_s = (scenario.seconds - QUIET_S[1]).max(QUIET_S[0] + 1.0);
    let at_s = rng.random_range(QUIET_S[0]..end_s);
    let min_for_s = if kind == FaultKind::ServerRestart { MIN_RESTART_S } else { 0.5 };
    let for_s = rng.random_range(0.5..6.0_f64).min(end_s - at_s + 0.5).max(min_for_s);
    let zone = |rng: &mut ChaCha8Rng| {
        format!("zone:{}", scenario.fleet.zones[rng.random_range(0..scenario.fleet.zones.len())])
    };
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
    let words = |all: Vec<String>| all.into_iter().map(spanned).collect();
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

/// Returns a scenario with the `n`th schedule of faults for a seed.
pub fn draw(base: &Scenario, seed: u64, n: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(n);
    let mut scenario = base.clone();
    scenario.seed = rng.random_range(0..1_000_000);
    let count = rng.random_range(1..=5);
    scenario.trouble.extend((0..count).map(|_| draw_fault(&mut rng, base)));
    scenario
}

/// Runs the `n`th schedule of faults and reduces it if the run fails.
///
/// # Errors
/// Returns an error if the scenario needs something that is not modelled.
pub fn hunt(base: &Scenario, seed: u64, n: u64) -> Result<Option<Failure>, SimError> {
    let scenario = draw(base, seed, n);
    let outcome = simulate(&scenario, scenario.seed)?;
    let Some(reason) = find_failure(&outcome) else { return Ok(None) };
    let before = scenario.trouble.len();
    let mut reduced = scenario;
    let mut reason = reason;
    // Removes one fault at a time while the run still fails without it.
    let mut at = 0;
    while at < reduced.trouble.len() && reduced.trouble.len() > 1 {
        let mut candidate = reduced.clone();
        candidate.trouble.remove(at);
        match find_failure(&simulate(&candidate, candidate.seed)?) {
            Some(failure) => (reduced, reason) = (candidate, failure),
            None => at += 1,
        }
    }
    reduced.name = format!("{}-found-{n}", base.name);
    reduced.about = format!("Found by the hunt: {reason}");
    let after = reduced.trouble.len();
    Ok(Some(Failure { scenario: reduced, reason, fault_counts: (before, after) }))
}
