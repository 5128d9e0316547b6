//! What discovery is asked, and when: whatever comes of it, news is here before it counts as told, what could not be
//! read is asked for again, and no service is asked without end.

use daleturn::control::asking::{Ask, Asking, Call, Next, Told};
use daleturn::interface::Discovery;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const WAYS: [Discovery; 2] = [Discovery::Pushed, Discovery::OnRequest];
/// Time for a connection and an answer that need not wait.
const WAY_MS: f64 = 60.0;

fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(21),
        ..ProptestConfig::default()
    }
}

/// The next call, and when it is made.
fn call(asking: &mut Asking, now: &mut f64) -> Call {
    loop {
        match asking.next(*now) {
            Next::Call(call) => return call,
            Next::Pause(ms) => *now += ms.max(0.01),
            Next::Rest => asking.wish(true),
        }
    }
}

fn changes(version: u64, skipped: usize) -> Told {
    Told { version, all: false, skipped }
}

/// Longest wait of a call.
fn wait(call: &Call) -> f64 {
    match call.ask {
        Ask::Whole => 0.0,
        Ask::Changes { wait_ms, .. } => wait_ms as f64,
    }
}

proptest! {
    #![proptest_config(fixed(400))]

    /// The operators' clock: what a silent watch misses counts as told 6 s after it fell silent, or 2 s after its wait.
    #[test]
    fn a_silent_watch_is_replaced_before_its_news_counts_as_told_with_time_for_one_failure(
        seed: u64, pushed: bool, must_ask in 500.0..60_000.0_f64, silent_from in 0.0..1.0_f64, fails_at in 0.0..1.0_f64,
    ) {
        let how = WAYS[usize::from(!pushed)];
        let mut asking = Asking::new(how, must_ask, Some(7), seed);
        asking.wish(true);
        let mut now = 1000.0_f64;
        let watch = call(&mut asking, &mut now);
        let told = (now + silent_from * wait(&watch) + 6000.0).max(now + wait(&watch) + 2000.0);
        now += watch.limit_ms;
        prop_assert!(!asking.failed(now, &watch), "nobody paces the repeat");
        let second = call(&mut asking, &mut now);
        prop_assert!(wait(&second) <= 1.0, "what there is comes at once: {second:?}");
        now += second.limit_ms * fails_at;
        prop_assert!(!asking.failed(now, &second), "told at {told}, now {now}");
        let third = call(&mut asking, &mut now);
        prop_assert!(third.limit_ms >= WAY_MS && now + WAY_MS < told, "{third:?} at {now}, told at {told}");
    }

    /// After new settings that name another discovery it is 4 s.
    #[test]
    fn a_new_address_is_asked_for_all_of_its_list_with_time_for_one_failure(
        seed: u64, pushed: bool, must_ask in 500.0..60_000.0_f64, fails_at in 0.0..1.0_f64,
    ) {
        let how = WAYS[usize::from(!pushed)];
        let mut asking = Asking::new(how, must_ask, Some(7), seed);
        let mut now = 1000.0_f64;
        let told = now + 4000.0;
        asking.moved(now, how);
        let first = call(&mut asking, &mut now);
        prop_assert_eq!((first.ask, now), (Ask::Whole, 1000.0));
        now += first.limit_ms * fails_at;
        prop_assert!(!asking.failed(now, &first));
        let second = call(&mut asking, &mut now);
        prop_assert!(second.ask == Ask::Whole && now + WAY_MS < told, "{second:?} at {now}");
    }
}

#[test]
fn a_service_that_does_not_wait_is_not_asked_without_end() {
    for how in WAYS {
        let mut asking = Asking::new(how, 10_000.0, Some(1), 3);
        asking.wish(true);
        let (mut now, mut calls) = (0.0, 0);
        while now < 10_000.0 {
            let call = call(&mut asking, &mut now);
            asking.answered(now, &call, changes(1, 0));
            calls += 1;
        }
        // A watch goes on when the next call comes within 200 ms.
        assert!((50..150).contains(&calls), "{how:?}: {calls} calls in 10 s");
    }
}

#[test]
fn where_discovery_is_asked_the_decisions_pace_what_follows_a_failure() {
    let mut asking = Asking::new(Discovery::OnRequest, 10_000.0, Some(1), 3);
    assert_eq!(asking.next(0.0), Next::Rest);
    asking.wish(true);
    let mut now = 0.0;
    let reset = call(&mut asking, &mut now);
    assert!(asking.failed(now + 30.0, &reset));
    assert_eq!(asking.next(now + 1e6), Next::Rest, "until they wish it again");
}
