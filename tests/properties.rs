//! Property tests with random sequences of events. The harness in `tests/common` checks the operators' rules at every
//! action.
mod common;

use common::{Harness, settings, up_entry};
use daleturn::control::subset::Subset;
use daleturn::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};

/// One step of a random sequence.
#[derive(Debug, Clone)]
enum Step {
    /// A request: class, key, time limit in milliseconds.
    Request(usize, Option<u64>, f64),
    /// End of an attempt of one of the open requests.
    AttemptEnd(usize, Outcome),
    /// The client of one of the open requests leaves.
    ClientLeave(usize),
    /// Time passes, in milliseconds.
    Wait(f64),
    /// An update of the list: backend, health, and whether it has just started.
    List(ListKind, Vec<(u64, Health, bool)>),
    /// All probes in flight end.
    ProbeEnd(Outcome),
    /// Events about timers, requests and backends that this node does not know.
    Unknown(u64),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        4 => Just(Outcome::Done),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Full),
        1 => Just(Outcome::TimedOut),
        1 => Just(Outcome::NotConnected),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::Cancelled),
        1 => Just(Outcome::Skipped),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let health = prop_oneof![3 => Just(Health::Up), 1 => Just(Health::Draining), 1 => Just(Health::Gone)];
    let kind = prop_oneof![
        4 => Just(ListKind::Changes),
        1 => Just(ListKind::Full),
        1 => Just(ListKind::Saved),
        1 => Just(ListKind::Failed)
    ];
    prop_oneof![
        8 => (0_usize..7, proptest::option::of(0_u64..20), 0.0..1200.0).prop_map(|(c, k, d)| Step::Request(c, k, d)),
        8 => (any::<usize>(), outcome()).prop_map(|(n, o)| Step::AttemptEnd(n, o)),
        1 => any::<usize>().prop_map(Step::ClientLeave),
        3 => (0.0..400.0).prop_map(Step::Wait),
        1 => (kind, proptest::collection::vec((1_u64..12, health, any::<bool>()), 0..8))
            .prop_map(|(k, e)| Step::List(k, e)),
        1 => outcome().prop_map(Step::ProbeEnd),
        1 => any::<u64>().prop_map(Step::Unknown),
    ]
}

/// Runs the steps in a harness and returns all actions. `subset`: size of the node's subset of the list.
fn run_steps(s: Settings, seed: u64, steps: &[Step], subset: Option<usize>) -> Vec<Action> {
    let mut harness = Harness::new(s.clone(), seed);
    harness.subset = subset.map(|size| (Subset::new(size, &s), BTreeSet::new()));
    harness.update_list(ListKind::Full, (1..=6).map(up_entry).collect());
    for step in steps {
        harness.verify_checks_before_send();
        let open: Vec<RequestId> = harness
            .requests
            .iter()
            .filter(|(_, request)| request.attempts.iter().any(|attempt| attempt.outcome.is_none()))
            .map(|(id, _)| *id)
            .collect();
        let nth = |n: usize| open.get(n % open.len().max(1)).copied();
        match step {
            Step::Request(class, key, limit_ms) => {
                harness.send_request_within(*class, *key, *limit_ms);
            }
            Step::AttemptEnd(n, outcome) => {
                if let Some(id) = nth(*n) {
                    harness.end_attempt(id, *outcome);
                }
            }
            Step::ClientLeave(n) => {
                if let Some(id) = nth(*n) {
                    harness.disconnect_client(id);
                }
            }
            Step::Wait(ms) => harness.advance(*ms),
            Step::List(ListKind::Failed, _) => {
                harness.feed(Event::List { kind: ListKind::Failed, entries: vec![] })
            }
            Step::List(kind, entries) => {
                let now = harness.now_ms;
                let entries = (entries.iter())
                    .map(|(n, health, fresh)| ListEntry {
                        health: *health,
                        ready_at_ms: if *fresh { now } else { 0.0 },
                        ..up_entry(*n)
                    })
                    .collect();
                harness.update_list(*kind, entries);
            }
            Step::ProbeEnd(outcome) => harness.end_probes(*outcome),
            Step::Unknown(n) => {
                // Such events are ignored.
                harness.feed(Event::Timer(n.wrapping_add(100)));
                harness.feed(Event::ClientLeft(RequestId(n | 1 << 40)));
                harness.feed(Event::ProbeEnded {
                    backend: BackendId(*n),
                    outcome: Outcome::Done,
                    elapsed_ms: 1.0,
                    load: Load::default(),
                });
                harness.feed(Event::AttemptEnded(AttemptEnded {
                    id: RequestId(n | 1 << 40),
                    attempt: 0,
                    backend: BackendId(*n),
                    outcome: Outcome::Done,
                    last: false,
                    elapsed_ms: f64::NAN,
                    load: Load::default(),
                }));
            }
        }
    }
    harness.advance(3000.0);
    for (id, request) in &harness.requests {
        assert!(request.result.is_some(), "rule 1: {id:?} was never answered");
    }
    harness.trace
}

fn runner() -> TestRunner {
    let config = Config { cases: 150, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

#[test]
fn the_rules_hold_and_equal_events_give_equal_actions() {
    let input = (any::<u64>(), any::<[bool; 6]>(), proptest::collection::vec(step(), 1..120));
    runner()
        .run(&input, |(seed, [probes, copies, warm, on_request, late_shedding, closes], steps)| {
            let discovery = if on_request { Discovery::OnRequest } else { Discovery::Pushed };
            let drain_close_ms = closes.then_some(1000.0);
            // One key lifetime is shorter than the deadlines, one is longer.
            let key_ttl_ms = if on_request { 250.0 } else { 1000.0 };
            let classes = settings().classes.into_iter().map(|c| Class { key_ttl_ms, ..c }).collect();
            let s = Settings {
                classes,
                probes,
                second_copies: copies,
                warm_keys: warm,
                discovery,
                late_shedding,
                drain_close_ms,
                ..settings()
            };
            let first = run_steps(s.clone(), seed, &steps, None);
            assert_eq!(first, run_steps(s.clone(), seed, &steps, None));
            // A subset that holds the whole list gives the same actions as none.
            assert_eq!(first, run_steps(s, seed, &steps, Some(100)));
            Ok(())
        })
        .expect("no sequence breaks a rule");
}

/// Backends leave the subset and return to it while they are in use, on trial, cold or probed, and others drain.
#[test]
fn the_rules_hold_where_a_node_uses_a_subset_of_the_backends() {
    let input = (any::<u64>(), any::<[bool; 4]>(), 1_usize..6, proptest::collection::vec(step(), 1..120));
    let actions = AtomicU64::new(0);
    runner()
        .run(&input, |(seed, [probes, copies, warm, late_shedding], size, steps)| {
            let s = Settings {
                probes,
                second_copies: copies,
                warm_keys: warm,
                late_shedding,
                slot: seed as u32 % 4200,
                ..settings()
            };
            let first = run_steps(s.clone(), seed, &steps, Some(size));
            actions.fetch_add(first.len() as u64, Ordering::Relaxed);
            assert_eq!(first, run_steps(s.clone(), seed, &steps, Some(size)));
            // Where 29 of 4200 nodes send to a backend, each acts as a node of a fleet of 29 would.
            let part = Settings { instances: 4200, held_by: Some(29), ..s.clone() };
            let small = Settings { instances: 29, ..s };
            // Calls to discovery and their timer, token 2, are excluded: they depend on the number of all nodes.
            let is_list_call = |a: &Action| matches!(a, Action::Timer { token: 2, .. } | Action::Watch(_));
            let [part, small] = [part, small].map(|s| {
                let actions = run_steps(s, seed, &steps, Some(size)).into_iter();
                actions.filter(|a| !is_list_call(a)).collect::<Vec<_>>()
            });
            assert_eq!(part, small);
            Ok(())
        })
        .expect("no sequence breaks a rule");
    assert!(actions.into_inner() > 1000, "the sequences gave too few actions");
}
