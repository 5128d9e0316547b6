//! Tests of single decisions of the balancer, and regression tests. Each runs one balancer in the test harness of
//! `tests/common`, which checks the operators' rules at every action.
mod common;

use common::{Harness, class, settings, up_entry};
use daleturn::Balancer;
use daleturn::interface::*;

/// Returns a harness with `count` backends in which all requests are safe to repeat.
fn safe_harness(count: u64) -> Harness {
    Harness::with_backends(
        Settings { classes: vec![class(400.0, 1000.0, Effect::Safe)], ..settings() },
        1,
        count,
    )
}

/// Breaks the connections of two requests, which makes a backend without other traffic congested.
fn make_congested(harness: &mut Harness) {
    for _ in 0..2 {
        let id = harness.send_request(0, Some(1));
        harness.end_attempt(id, Outcome::Reset);
    }
}

// ---- the failure record ----

#[test]
fn a_backend_becomes_congested_after_too_many_failures_and_gets_no_requests() {
    let mut harness = safe_harness(1);
    let id = harness.send_request(0, Some(1));
    harness.end_attempt(id, Outcome::Reset);
    let id = harness.send_request(0, Some(1));
    assert!(harness.current_backend(id).is_some(), "one failure is not too many");
    harness.end_attempt(id, Outcome::Reset);
    let id = harness.send_request(0, Some(1));
    assert_eq!(harness.result(id), Some("refused"), "a congested backend gets no request");
    assert!(harness.logs.iter().any(|l| l.starts_with("congested")));
}

#[test]
fn answers_errors_refusals_and_cancelled_attempts_do_not_count_as_failures() {
    let mut harness = safe_harness(1);
    for n in 0..40 {
        let id = harness.send_request(0, Some(1));
        harness.advance(10.0);
        let outcomes = [Outcome::Done, Outcome::Error, Outcome::Full, Outcome::Cancelled];
        harness.end_attempt(id, outcomes[n % 4]);
        harness.advance(400.0);
    }
    assert!(!harness.logs.iter().any(|l| l.starts_with("congested")), "{:?}", harness.logs);
}

#[test]
fn rejected_requests_do_not_count_as_strain_on_their_backend() {
    let mut harness = Harness::with_backends(Settings { reporting: Reporting::Probes, ..settings() }, 1, 5);
    harness.warm_up(50, 0, 20.0);
    for n in 0..300 {
        let rejected = harness.send_request(n % 2, Some(n as u64));
        assert!(harness.current_backend(rejected).is_some(), "request {n} was refused");
        harness.advance(5.0);
        harness.end_attempt(rejected, Outcome::Rejected);
        assert_eq!(harness.result(rejected), Some("failed"), "another backend would reject it too");
        assert_eq!(harness.requests[&rejected].attempts.len(), 1);
        let valid = harness.send_request(0, Some(n as u64));
        assert!(
            harness.current_backend(valid).is_some(),
            "a valid request was refused after {n} rejected ones"
        );
        harness.advance(15.0);
        harness.end_attempt(valid, Outcome::Done);
    }
}

#[test]
fn failures_do_not_raise_the_pressure_where_answers_carry_no_load_reports() {
    let classes = vec![class(400.0, 1000.0, Effect::Safe)];
    let mut harness =
        Harness::with_backends(Settings { reporting: Reporting::Probes, classes, ..settings() }, 1, 12);
    let mut play = |requests: std::ops::Range<u64>, broken: u64| {
        for n in requests.clone() {
            let id = harness.send_request(0, Some(n));
            harness.advance(6.0);
            harness.end_attempt(id, if n % 8 < broken { Outcome::Reset } else { Outcome::Done });
            harness.end_attempt(id, Outcome::Done);
        }
        requests.filter(|n| harness.result(RequestId(n + 1)) != Some("done")).count()
    };
    // Two attempts in eight break, spread over all backends: enough to affect statistics, too few for congestion.
    play(0..400, 2);
    let refused = play(400..600, 0);
    assert_eq!(refused, 0, "requests refused of 200 after the last failure");
}

#[test]
fn broken_connections_do_not_shrink_the_cap() {
    for outcome in [Outcome::Reset, Outcome::NotConnected] {
        let mut harness = safe_harness(1);
        for n in 0..120 {
            let id = harness.send_request(0, Some(n));
            harness.advance(20.0);
            harness.end_attempt(id, if n % 6 == 0 { outcome } else { Outcome::Done });
            assert!(harness.current_backend(id).is_none());
        }
        let (a, b) = (harness.send_request(0, Some(1)), harness.send_request(0, Some(2)));
        assert!(
            harness.current_backend(a).is_some() && harness.current_backend(b).is_some(),
            "{outcome:?}: the cap no longer allows two requests"
        );
    }
}

#[test]
fn an_unstrained_fleet_serves_the_second_attempts_of_broken_ones() {
    let mut harness = safe_harness(12);
    harness.warm_up(50, 0, 20.0);
    let broken: Vec<RequestId> = (0..400)
        .filter_map(|n| {
            let id = harness.send_request(0, Some(n));
            harness.advance(10.0);
            harness.end_attempt(id, if n % 4 == 0 { Outcome::Reset } else { Outcome::Done });
            harness.advance(10.0);
            harness.end_attempt(id, Outcome::Done);
            (n % 4 == 0).then_some(id)
        })
        .collect();
    let lost = broken.iter().filter(|id| harness.result(**id) != Some("done")).count();
    assert!(lost <= 5, "{lost} of {} were not served by a second attempt", broken.len());
}

#[test]
fn refusals_are_still_logged_after_a_long_uptime() {
    let mut harness = Harness::new(settings(), 1);
    for _ in 0..400 {
        harness.send_request(0, Some(1));
        harness.advance(2500.0);
    }
    assert!(
        harness.logs.len() > 300,
        "{} log lines for 400 refusals, each 2.5 s after the last",
        harness.logs.len()
    );
}

#[test]
fn a_rejected_trial_makes_its_backend_live_again() {
    let mut harness = Harness::with_backends(Settings { probes: false, ..settings() }, 1, 1);
    make_congested(&mut harness);
    harness.advance(3000.0);
    let trial = harness.send_request(0, Some(1));
    harness.end_attempt(trial, Outcome::Rejected);
    let id = harness.send_request(0, Some(1));
    assert!(harness.current_backend(id).is_some(), "the backend is live again");
}

#[test]
fn failures_expire_with_the_window() {
    let mut harness = safe_harness(1);
    let id = harness.send_request(0, Some(1));
    harness.end_attempt(id, Outcome::Reset);
    harness.advance(harness.settings.cold_ms);
    let id = harness.send_request(0, Some(1));
    harness.end_attempt(id, Outcome::Reset);
    let id = harness.send_request(0, Some(1));
    assert!(harness.current_backend(id).is_some(), "the first failure has left the window");
}

#[test]
fn after_the_prat_one_trial_at_a_time_decides() {
    let mut harness = safe_harness(1);
    make_congested(&mut harness);
    harness.advance(3000.0);
    assert_eq!(harness.pending_probes.len(), 1, "one trial at a time");
    harness.end_probes(Outcome::TimedOut);
    let id = harness.send_request(0, Some(1));
    assert_eq!(harness.result(id), Some("refused"), "a failed trial sets a new PRAT");
    harness.advance(6000.0);
    harness.end_probes(Outcome::Done);
    assert!(harness.logs.iter().any(|l| l.starts_with("live")));
}

#[test]
fn without_probes_the_trial_is_a_request_that_may_be_repeated() {
    let mut harness = Harness::with_backends(Settings { probes: false, ..settings() }, 1, 1);
    make_congested(&mut harness);
    harness.advance(3000.0);
    let unsafe_request = harness.send_request(1, Some(1));
    assert_eq!(harness.result(unsafe_request), Some("refused"), "an unsafe request is no trial");
    let trial = harness.send_request(0, Some(1));
    assert!(harness.current_backend(trial).is_some());
    let second = harness.send_request(0, Some(1));
    assert_eq!(harness.result(second), Some("refused"), "one trial at a time");
    harness.end_attempt(trial, Outcome::Done);
    let id = harness.send_request(1, Some(1));
    assert!(harness.current_backend(id).is_some(), "the backend is live again");
}

#[test]
fn a_refusal_carries_a_retry_after_time() {
    let mut harness = safe_harness(1);
    make_congested(&mut harness);
    let id = harness.send_request(0, Some(1));
    let wait = harness.trace.iter().rev().find_map(|a| match a {
        Action::Refuse { id: i, retry_after_ms } if *i == id => Some(*retry_after_ms),
        _ => None,
    });
    assert!(wait.is_some_and(|ms| ms >= 400.0), "the aim at least: {wait:?}");
    let mut harness = Harness::new(settings(), 1);
    let id = harness.send_request(0, Some(1));
    assert_eq!(
        harness.result(id),
        Some("refused"),
        "requests are refused while the list is empty; the harness checks the retry-after time"
    );
}

// ---- backend selection ----

#[test]
fn all_nodes_send_a_key_to_the_same_backend() {
    let mut a = safe_harness(20);
    let mut b = Harness::with_backends(a.settings.clone(), 99, 20);
    for key in 0..100 {
        let (x, y) = (a.send_request(0, Some(key)), b.send_request(0, Some(key)));
        assert_eq!(a.current_backend(x), b.current_backend(y));
        a.advance(5.0);
        b.advance(5.0);
        a.end_attempt(x, Outcome::Done);
        b.end_attempt(y, Outcome::Done);
    }
}

#[test]
fn the_candidate_with_fewer_requests_in_flight_is_selected() {
    let mut harness = safe_harness(20);
    let (first, second) = (harness.send_request(0, Some(7)), harness.send_request(0, Some(7)));
    assert_ne!(harness.current_backend(first), harness.current_backend(second));
}

#[test]
fn only_the_keys_of_a_removed_backend_move() {
    let mut harness = safe_harness(20);
    let backend_of = |harness: &mut Harness, key| {
        let id = harness.send_request(0, Some(key));
        let at = harness.current_backend(id);
        harness.advance(5.0);
        harness.end_attempt(id, Outcome::Done);
        at
    };
    let before: Vec<_> = (0..100).map(|k| backend_of(&mut harness, k)).collect();
    let removed = up_entry(3).backend;
    harness.update_list(ListKind::Changes, vec![ListEntry { health: Health::Gone, ..up_entry(3) }]);
    for (key, old) in before.iter().enumerate() {
        let new = backend_of(&mut harness, key as u64);
        assert!(
            new == *old || *old == Some(removed),
            "key {key} moved although its backend is still there"
        );
    }
}

#[test]
fn requests_above_the_cap_spill_and_are_then_refused() {
    let mut harness = safe_harness(3);
    let ids: Vec<_> = (0..60).map(|_| harness.send_request(0, Some(7))).collect();
    let used: std::collections::BTreeSet<_> =
        ids.iter().filter_map(|i| harness.current_backend(*i)).collect();
    assert_eq!(used.len(), 3, "requests spill to the third backend");
    assert_eq!(harness.result(ids[59]), Some("refused"), "all backends are at their cap");
    for id in ids {
        harness.advance(1.0);
        harness.end_attempt(id, Outcome::Done);
    }
    let id = harness.send_request(0, Some(7));
    assert!(harness.current_backend(id).is_some(), "the caps allow requests again");
}

// ---- regressions ----

#[test]
fn a_longer_last_try_of_a_client_does_not_make_first_tries_look_old() {
    // Regression: the longest time limit seen was taken for that of first tries. It belonged to a last try, so that
    // three of four first tries looked old and were refused.
    let mut harness = safe_harness(5);
    for n in 0..200 {
        let given = if n % 10 == 9 { 990.0 } else { 600.0 };
        let id = harness.send_request_within(0, Some(n), given);
        assert!(harness.current_backend(id).is_some(), "request {n} refused");
        harness.advance(20.0);
        harness.end_attempt(id, Outcome::Done);
    }
    // A try with a short time limit is a later try that can no longer be answered within the aim.
    let id = harness.send_request_within(0, Some(1), 300.0);
    assert_eq!(harness.result(id), Some("refused"));
}

#[test]
fn time_outs_do_not_make_the_next_time_out_shorter() {
    // Regression: only answers entered the statistics, so that each time-out made the next one shorter.
    let mut harness = safe_harness(1);
    harness.warm_up(50, 0, 100.0);
    for n in 0..6 {
        let id = harness.send_request(0, Some(n));
        harness.advance(500.0);
        let Some(sent) = harness.requests[&id].attempts.first() else { break };
        assert!(
            sent.times_out_at_ms - sent.sent_at_ms > 90.0,
            "the time-out fell to {}",
            sent.times_out_at_ms - sent.sent_at_ms
        );
    }
}

#[test]
fn a_node_that_admits_little_recovers() {
    // Regression: strain without new outcomes kept a node at the lowest admission level for ten seconds.
    let mut harness = safe_harness(10);
    harness.warm_up(100, 0, 20.0);
    for n in 0..200 {
        harness.send_request(0, Some(n));
        harness.advance(30.0);
    }
    harness.advance(6000.0);
    let mut sent = 0;
    for n in 0..50 {
        let id = harness.send_request(0, Some(n));
        sent += usize::from(harness.current_backend(id).is_some());
        harness.advance(20.0);
        harness.end_attempt(id, Outcome::Done);
    }
    assert!(sent >= 40, "{sent} of 50 sent");
}

#[test]
fn a_few_full_backends_do_not_close_admission() {
    // Regression: a few hot backends that answered `Full` lowered the admission level for all requests.
    let mut harness = safe_harness(10);
    harness.warm_up(100, 0, 20.0);
    let hot = (0..100).find_map(|k| {
        let id = harness.send_request(0, Some(k));
        let at = harness.current_backend(id);
        harness.end_attempt(id, Outcome::Done);
        at
    });
    let mut refused = 0;
    for n in 0..300 {
        let id = harness.send_request(0, Some(n));
        harness.advance(5.0);
        while harness.current_backend(id).is_some() {
            let outcome = if harness.current_backend(id) == hot { Outcome::Full } else { Outcome::Done };
            harness.end_attempt(id, outcome);
        }
        refused += usize::from(harness.result(id) == Some("refused"));
    }
    assert!(refused < 30, "{refused} of 300 refused");
}

#[test]
fn requests_of_low_worth_are_refused_first_when_caps_block_backends() {
    // Regression: caps blocked nearly all backends while the admission level stayed high, so that chance chose what was
    // refused.
    let low = class(400.0, 1000.0, Effect::Safe);
    let high = Class { worth: 10.0, ..low.clone() };
    let s = Settings {
        classes: vec![low, high],
        goal: Goal { worst_class: 0.0, ..settings().goal },
        ..settings()
    };
    let mut harness = Harness::with_backends(s, 1, 4);
    let mut refused = [0, 0];
    let mut in_flight = std::collections::VecDeque::new();
    for n in 0..3000 {
        let class = n % 2;
        let id = harness.send_request(class, Some(n as u64));
        in_flight.push_back((harness.now_ms + 300.0, id));
        if n > 600 && harness.result(id) == Some("refused") {
            refused[class] += 1;
        }
        harness.advance(5.0);
        while in_flight.front().is_some_and(|(at, _)| *at <= harness.now_ms) {
            if let Some((_, id)) = in_flight.pop_front() {
                harness.end_attempt(id, Outcome::Done);
            }
        }
    }
    assert!(refused[0] > 2 * refused[1], "requests refused of low and high worth: {refused:?}");
}

#[test]
fn a_cap_falls_quickly_where_few_requests_are_in_flight() {
    // A third of the keys belongs to three backends that are always late. Nearly all of their requests must go
    // elsewhere.
    let mut harness = safe_harness(10);
    harness.warm_up(100, 0, 20.0);
    let late: Vec<_> = (1..=3).map(|n| up_entry(n).backend).collect();
    let mut sent = 0;
    for n in 0..300 {
        let id = harness.send_request(0, Some(n));
        let is_late = harness.current_backend(id).is_some_and(|b| late.contains(&b));
        sent += usize::from(is_late && n >= 100);
        harness.advance(if is_late { 390.0 } else { 40.0 });
        harness.end_attempt(id, Outcome::Done);
    }
    assert!(sent <= 20, "{sent} of 200 sent to backends that are always late");
}

#[test]
fn many_nodes_share_the_initial_cap_of_a_backend() {
    // Regression: with 98 nodes, two requests in flight from each overloaded a backend before any node had learned.
    let initial_cap = |instances| {
        let s = Settings { instances, classes: vec![class(400.0, 1000.0, Effect::Safe)], ..settings() };
        let mut harness = Harness::with_backends(s, 1, 1);
        let id = harness.send_request(0, Some(1));
        harness.advance(300.0);
        harness.end_attempt(id, Outcome::Full);
        let ids: Vec<_> = (0..8).map(|_| harness.send_request(0, Some(1))).collect();
        ids.into_iter().filter(|id| harness.current_backend(*id).is_some()).count()
    };
    assert!(initial_cap(100) <= 1, "{} in flight from one of 100 nodes", initial_cap(100));
    assert!(initial_cap(1) >= 5, "{} in flight from a single node", initial_cap(1));
}

// ---- unusual failures ----

#[test]
fn a_failure_of_the_whole_fleet_makes_few_backends_congested() {
    let mut harness = safe_harness(10);
    harness.warm_up(200, 0, 20.0);
    for n in 0..200 {
        let id = harness.send_request(0, Some(n));
        harness.advance(20.0);
        while harness.current_backend(id).is_some() {
            harness.end_attempt(id, Outcome::TimedOut);
        }
    }
    let congested_count = harness.logs.iter().filter(|l| l.starts_with("congested")).count();
    assert!(congested_count <= 5, "{congested_count} of 10 became congested by a failure of all");
}

#[test]
fn a_stall_of_the_node_does_not_count_against_backends() {
    let mut harness = safe_harness(4);
    harness.warm_up(50, 0, 20.0);
    let ids: Vec<_> = (0..8).map(|n| harness.send_request(0, Some(n))).collect();
    harness.now_ms += 5000.0;
    for id in ids {
        harness.end_attempt(id, Outcome::TimedOut);
    }
    assert!(!harness.logs.iter().any(|l| l.starts_with("congested")), "{:?}", harness.logs);
}

#[test]
fn invalid_times_and_a_clock_jump_do_not_affect_later_requests() {
    let mut harness = safe_harness(4);
    harness.warm_up(50, 0, 20.0);
    for n in 0..30 {
        let id = harness.send_request(0, Some(n));
        harness.advance(20.0);
        let Some(backend) = harness.current_backend(id) else { continue };
        harness.requests.get_mut(&id).expect("a known request").attempts[0].outcome = Some(Outcome::Done);
        harness.requests.get_mut(&id).expect("a known request").result = Some("done");
        let elapsed_ms = [f64::NAN, f64::INFINITY, -5.0][n as usize % 3];
        let outcome = Outcome::Done;
        harness.feed(Event::AttemptEnded(AttemptEnded {
            id,
            attempt: 0,
            backend,
            outcome,
            last: true,
            elapsed_ms,
            load: Default::default(),
        }));
    }
    harness.now_ms += 60_000.0;
    harness.advance(1000.0);
    for n in 0..20 {
        let id = harness.send_request(0, Some(n));
        assert!(harness.current_backend(id).is_some(), "request {n} refused");
        harness.advance(20.0);
        harness.end_attempt(id, Outcome::Done);
    }
}

#[test]
fn the_first_bytes_of_a_long_answer_decide_whether_it_is_late() {
    let refused = |reported: bool| {
        let mut harness = safe_harness(5);
        harness.warm_up(100, 0, 20.0);
        (0..150)
            .filter(|n| {
                let id = harness.send_request(0, Some(*n));
                harness.stream_response(id, 15.0, 900.0, reported);
                harness.result(id) == Some("refused")
            })
            .count()
    };
    assert_eq!(refused(true), 0);
    assert!(refused(false) > 10, "without the event for the first bytes, answers count as late");
}

#[test]
fn long_answers_that_have_begun_do_not_count_as_in_flight() {
    let sent_at_once = |response_started: bool| {
        let classes = vec![class(400.0, 1000.0, Effect::Safe)];
        let s = Settings { reporting: Reporting::Probes, instances: 1, classes, ..settings() };
        let mut harness = Harness::with_backends(s, 1, 5);
        // Caps grow with the requests in flight.
        for n in 0..300 {
            let ids: Vec<RequestId> = (0..25).map(|m| harness.send_request(0, Some(n * 25 + m))).collect();
            harness.advance(5.0);
            ids.into_iter().for_each(|id| harness.end_attempt(id, Outcome::Done));
        }
        let mut sent = 0;
        for n in 0..200 {
            let id = harness.send_request(0, Some(n));
            let Some(backend) = harness.current_backend(id) else { continue };
            sent += 1;
            if response_started {
                harness.feed(Event::ResponseStarted { id, attempt: 0, backend, elapsed_ms: 1.0 });
            }
        }
        sent
    };
    let (started, silent) = (sent_at_once(true), sent_at_once(false));
    assert!(started > silent + 20, "{started} sent where answers have begun, {silent} where not");
}

#[test]
fn quick_errors_of_all_backends_do_not_multiply_attempts() {
    let mut harness = safe_harness(5);
    harness.warm_up(50, 0, 20.0);
    let mut attempts = 0;
    for n in 0..300 {
        let id = harness.send_request(0, Some(n));
        harness.advance(10.0);
        while harness.current_backend(id).is_some() {
            harness.end_attempt(id, Outcome::Error);
        }
        attempts += harness.requests[&id].attempts.len();
    }
    assert!(attempts <= 345, "{attempts} attempts for 300 requests");
    assert!(!harness.logs.iter().any(|l| l.starts_with("congested")), "errors do not count as failures");
}

#[test]
fn a_backend_of_quick_errors_gets_few_requests_until_it_recovers() {
    let mut harness = safe_harness(12);
    harness.warm_up(200, 0, 20.0);
    let bad = up_entry(1).backend;
    // Returns the attempts that the failing backend gets in 600 requests. An answer takes 20 ms, an error 1 ms.
    let mut play = |recovered: bool| {
        let mut at_bad = 0;
        for n in 0..600 {
            let id = harness.send_request(0, Some(n));
            harness.advance(1.0);
            while !recovered && harness.current_backend(id) == Some(bad) {
                at_bad += 1;
                harness.end_attempt(id, Outcome::Error);
                harness.advance(1.0);
            }
            at_bad += u32::from(harness.current_backend(id) == Some(bad));
            harness.advance(19.0);
            harness.end_attempt(id, Outcome::Done);
            assert_eq!(harness.result(id), Some("done"), "request {n}");
        }
        at_bad
    };
    let bad_share = play(false);
    assert!(bad_share <= 25, "{bad_share} of 600 attempts went to a backend that answers errors");
    play(true);
    let share = play(true);
    assert!(
        (30..=80).contains(&share),
        "{share} of 600 attempts is not a twelfth, although the backend has recovered"
    );
}

#[test]
fn a_silent_backend_becomes_congested_and_is_cold_when_it_returns() {
    let mut harness = safe_harness(2);
    harness.warm_up(100, 0, 20.0);
    let dead = up_entry(1).backend;
    for n in 0..100 {
        let id = harness.send_request(0, Some(n));
        harness.advance(20.0);
        if harness.current_backend(id) == Some(dead) {
            harness.advance(400.0);
        }
        harness.end_attempt(id, Outcome::Done);
    }
    assert!(harness.logs.iter().any(|l| l.starts_with("congested")));
    // At least one trial fails before one succeeds. The backend then counts as cold, although its start in the list is
    // long ago.
    while harness.pending_probes.is_empty() {
        harness.advance(100.0);
    }
    harness.end_probes(Outcome::TimedOut);
    while harness.pending_probes.is_empty() {
        harness.advance(100.0);
    }
    harness.end_probes(Outcome::Done);
    let mut sent = 0;
    for n in 0..100 {
        let id = harness.send_request(0, Some(n));
        sent += usize::from(harness.current_backend(id) == Some(dead));
        harness.advance(10.0);
        harness.end_attempt(id, Outcome::Done);
    }
    assert!(sent < 20, "{sent} of 100 requests sent to a cold backend");
}

#[test]
fn a_new_backend_gets_no_more_than_the_cold_budget() {
    let mut harness = safe_harness(4);
    harness.warm_up(400, 0, 10.0);
    let fresh = ListEntry { ready_at_ms: harness.now_ms, ..up_entry(9) };
    harness.update_list(ListKind::Changes, vec![fresh]);
    // A warm backend serves about 25 requests per second for this node. All four nodes together may send the cold one
    // `fall_multiple` times its present part of that rate.
    let (mut sent, from) = (0, harness.now_ms);
    for n in 0..150 {
        let id = harness.send_request(0, Some(n));
        sent += usize::from(harness.current_backend(id) == Some(fresh.backend));
        harness.advance(10.0);
        harness.end_attempt(id, Outcome::Done);
    }
    let seconds = (harness.now_ms - from) / 1000.0;
    let most = 3.0 * 0.3 * 25.0 * seconds;
    assert!((sent as f64) < most, "{sent} requests sent in {seconds} s, {most} allowed");
}

#[test]
fn the_cold_budget_grows_between_ticks() {
    // Regression: with one token per tick, three per second, restarted backends served hardly any requests.
    let classes = vec![class(400.0, 1000.0, Effect::Safe)];
    let s = Settings { classes, instances: 2, fall_ms: 2000.0, start_capacity: 0.5, ..settings() };
    let mut harness = Harness::with_backends(s, 1, 2);
    harness.warm_up(3000, 0, 10.0);
    let fresh = ListEntry { ready_at_ms: harness.now_ms, ..up_entry(9) };
    harness.update_list(ListKind::Changes, vec![fresh]);
    let (mut sent, from) = (0, harness.now_ms);
    for n in 0..1500 {
        let id = harness.send_request(0, Some(n));
        sent += usize::from(harness.current_backend(id) == Some(fresh.backend));
        harness.advance(5.0);
        harness.end_attempt(id, Outcome::Done);
    }
    let seconds = (harness.now_ms - from) / 1000.0;
    let rate = f64::from(sent as u32) / seconds;
    let allowed = 3.0 * 0.5 * 50.0;
    assert!(rate > 6.0 && rate < allowed, "{rate} requests per second, {allowed} allowed for both nodes");
}

#[test]
fn a_time_of_few_requests_does_not_shrink_the_cold_budget() {
    // Counts the requests sent to a new backend, of 300 within three seconds, in runs with twenty seeds.
    let classes = vec![class(400.0, 1000.0, Effect::Safe)];
    let sent = |quiet_requests: u64| {
        let mut sent = 0;
        for seed in 0..20 {
            let mut harness =
                Harness::with_backends(Settings { classes: classes.clone(), ..settings() }, seed, 4);
            harness.warm_up(600, 0, 10.0);
            harness.warm_up(quiet_requests, 0, 100.0);
            let fresh = ListEntry { ready_at_ms: harness.now_ms, ..up_entry(9) };
            harness.update_list(ListKind::Changes, vec![fresh]);
            for n in 0..300 {
                let id = harness.send_request(0, Some(n));
                sent += usize::from(harness.current_backend(id) == Some(fresh.backend));
                harness.advance(10.0);
                harness.end_attempt(id, Outcome::Done);
            }
        }
        sent
    };
    let (without, with) = (sent(0), sent(60));
    assert!(
        100 * with >= 65 * without,
        "{with} sent after six seconds of few requests, {without} without them"
    );
}

#[test]
fn an_empty_list_refuses_requests_and_a_saved_list_recovers() {
    let mut harness = safe_harness(5);
    harness.warm_up(20, 0, 20.0);
    harness.update_list(ListKind::Full, vec![]);
    let id = harness.send_request(0, Some(1));
    assert_eq!(harness.result(id), Some("refused"));
    harness.update_list(ListKind::Saved, vec![up_entry(1), up_entry(2)]);
    let id = harness.send_request(0, Some(1));
    assert!(harness.current_backend(id).is_some());
}

#[test]
fn flapping_backends_and_a_stall_break_no_rule() {
    let mut harness = safe_harness(6);
    harness.warm_up(50, 0, 20.0);
    for n in 0..60 {
        let health = if n % 2 == 0 { Health::Gone } else { Health::Up };
        harness.update_list(ListKind::Changes, vec![ListEntry { health, ..up_entry(1 + n % 3) }]);
        let id = harness.send_request(0, Some(n));
        if n % 7 == 0 {
            harness.advance(900.0);
        }
        harness.advance(10.0);
        harness.end_attempt(id, Outcome::Done);
    }
    let id = harness.send_request(0, Some(3));
    assert!(harness.current_backend(id).is_some());
}

#[test]
fn failed_list_calls_are_repeated_with_back_off_within_must_ask_in_ms() {
    let mut harness = Harness::new(Settings { discovery: Discovery::OnRequest, ..settings() }, 1);
    harness.advance(150.0);
    assert_eq!(harness.watch_times_ms.len(), 1, "the first call");
    let mut gaps = Vec::new();
    for _ in 0..8 {
        let (calls, from) = (harness.watch_times_ms.len(), harness.now_ms);
        harness.feed(Event::List { kind: ListKind::Failed, entries: vec![] });
        while harness.watch_times_ms.len() == calls {
            harness.advance(50.0);
            assert!(
                harness.now_ms - from <= harness.settings.must_ask_in_ms,
                "no call within `must_ask_in_ms`"
            );
        }
        gaps.push(harness.now_ms - from);
    }
    assert!(gaps[7] > gaps[0], "the gaps grow: {gaps:?}");
}

#[test]
fn dead_backends_do_not_close_connections_to_the_others() {
    let mut harness = safe_harness(10);
    harness.warm_up(200, 0, 10.0);
    harness.idle_closed_at_ms.clear();
    for n in 0..400 {
        let id = harness.send_request(0, Some(n));
        harness.advance(10.0);
        // Four of ten backends are gone, and the list does not say so yet.
        while let Some(at) = harness.current_backend(id) {
            let dead = (1..=4).any(|n| up_entry(n).backend == at);
            harness.end_attempt(id, if dead { Outcome::NotConnected } else { Outcome::Done });
        }
    }
    assert!(harness.idle_closed_at_ms.is_empty(), "{:?}", harness.idle_closed_at_ms);
}

// ---- messages between nodes ----

// Kinds of messages: the first byte of each. They are written here a second time, so that the tests don't check the
// encoding against itself.
const ATTEMPT_FAILED: u8 = 1;
const ATTEMPT_ANSWERED: u8 = 2;
const TRIAL_FAILED: u8 = 3;
const TRIAL_SUCCEEDED: u8 = 4;

/// Delivers a message of another node about a backend.
fn receive(harness: &mut Harness, kind: u8, backend: BackendId) {
    let bytes = [&[kind][..], &backend.short().to_be_bytes()].concat();
    harness.feed(Event::PeerMessage { from: 7, bytes });
}

/// Number of times that a backend became congested.
fn congested(harness: &Harness) -> usize {
    harness.logs.iter().filter(|l| l.starts_with("congested")).count()
}

/// Returns a node of a fleet of `instances` that sends to each of 60 backends seldom.
fn node_of_fleet(instances: u32) -> Harness {
    let mut harness =
        Harness::with_backends(Settings { peer_messages: true, instances, ..settings() }, 1, 60);
    harness.warm_up(60, 0, 60.0);
    harness
}

#[test]
fn failures_reported_by_other_nodes_of_a_large_fleet_make_a_backend_congested() {
    let mut harness = node_of_fleet(100);
    let bad = up_entry(1).backend;
    for _ in 0..8 {
        harness.advance(20.0);
        receive(&mut harness, ATTEMPT_FAILED, bad);
    }
    assert_eq!(congested(&harness), 1, "{:?}", harness.logs);
    let sent_there = |harness: &mut Harness| {
        (0..300)
            .filter(|n| {
                let id = harness.send_request(0, Some(*n));
                let at = harness.current_backend(id);
                harness.end_attempt(id, Outcome::Done);
                at == Some(bad)
            })
            .count()
    };
    assert_eq!(sent_there(&mut harness), 0);
    // A failed trial of another node postpones this node's own. A successful one makes the backend live here too.
    receive(&mut harness, TRIAL_FAILED, bad);
    harness.advance(300.0);
    assert!(harness.pending_probes.is_empty(), "the next trial is postponed");
    receive(&mut harness, TRIAL_SUCCEEDED, bad);
    assert!(harness.logs.iter().any(|l| l.starts_with("live")), "{:?}", harness.logs);
}

#[test]
fn a_backend_that_still_answers_other_nodes_does_not_become_congested_by_their_failures() {
    let mut harness = node_of_fleet(100);
    for n in 0..200 {
        harness.advance(10.0);
        receive(
            &mut harness,
            if n % 2 == 0 { ATTEMPT_ANSWERED } else { ATTEMPT_FAILED },
            up_entry(1).backend,
        );
    }
    assert_eq!(congested(&harness), 0, "{:?}", harness.logs);
}

#[test]
fn only_a_node_of_a_large_fleet_reports_failures_to_the_others() {
    for (instances, reports) in [(100, true), (4, false)] {
        let mut harness = node_of_fleet(instances);
        if !reports {
            // The node gets enough answers from each backend to detect failures alone.
            harness.warm_up(3000, 0, 2.0);
        }
        harness.trace.clear();
        let id = harness.send_request(0, Some(1));
        let at = harness.current_backend(id).expect("sent");
        harness.end_attempt(id, Outcome::Reset);
        let expected = Action::SendPeerMessage {
            to: None,
            bytes: [&[ATTEMPT_FAILED][..], &at.short().to_be_bytes()].concat(),
        };
        assert_eq!(harness.trace.contains(&expected), reports, "{instances} nodes: {:?}", harness.trace);
    }
}

#[test]
fn invalid_messages_are_ignored() {
    let mut harness = node_of_fleet(100);
    let backend = up_entry(1).backend.short().to_be_bytes();
    harness.trace.clear();
    for _ in 0..50 {
        for bytes in [
            vec![],
            vec![ATTEMPT_FAILED],
            vec![200, 1, 2, 3, 4],
            vec![ATTEMPT_FAILED, 1, 2, 3, 4],
            vec![1; 256],
        ] {
            harness.feed(Event::PeerMessage { from: 7, bytes });
        }
        harness.feed(Event::PeerMessage { from: 7, bytes: [&backend[..], &[ATTEMPT_FAILED]].concat() });
    }
    assert!(harness.trace.is_empty(), "{:?}", harness.trace);
}

// ---- calls to discovery, new settings and restored memory ----

#[test]
fn the_first_list_calls_are_spread_by_the_number_of_nodes() {
    let first_calls = |instances: u32| {
        let mut at: Vec<f64> = Vec::new();
        for seed in 0..u64::from(instances) {
            let s = Settings { discovery: Discovery::OnRequest, instances, ..settings() };
            let mut harness = Harness::new(s, seed);
            let start = harness.now_ms;
            for _ in 0..6000 {
                harness.advance(1.0);
            }
            assert_eq!(
                harness.watch_times_ms.len(),
                1,
                "one call, and no further one until it is answered"
            );
            at.push(harness.watch_times_ms[0] - start);
        }
        at.sort_by(f64::total_cmp);
        at
    };
    let few = first_calls(4);
    assert!(few[3] <= 150.0, "four nodes need no spread: {few:?}");
    let many = first_calls(200);
    let busiest = many.iter().map(|t| many.iter().filter(|u| (*t..t + 1000.0).contains(*u)).count()).max();
    assert!(busiest < Some(80), "{busiest:?} calls within one second");
    assert!(many[199] <= 5000.0, "every node calls within half of `must_ask_in_ms`");
}

#[test]
fn a_large_fleet_repeats_failed_list_calls_slowly_enough_for_discovery() {
    let gaps = |instances: u32| {
        let s = Settings { discovery: Discovery::OnRequest, instances, ..settings() };
        let mut harness = Harness::new(s, 1);
        let mut ends = Vec::new();
        for _ in 0..6 {
            let (known, from) = (harness.watch_times_ms.len(), harness.now_ms);
            while harness.watch_times_ms.len() == known {
                harness.advance(5.0);
                assert!(harness.now_ms - from < 30_000.0, "the calls have stopped");
            }
            ends.push(harness.now_ms);
            harness.update_list(ListKind::Failed, Vec::new());
        }
        ends.windows(2).map(|e| e[1] - e[0]).collect::<Vec<f64>>()
    };
    assert!(gaps(4).iter().all(|g| *g <= 5010.0), "{:?}", gaps(4));
    for instances in [100, 200] {
        let least = 25.0 * f64::from(instances);
        let gaps = gaps(instances);
        assert!(gaps.iter().all(|g| *g >= least), "a call each {least} ms at most: {gaps:?}");
        assert!(gaps.iter().all(|g| *g <= 20_010.0), "{gaps:?}");
        assert!(gaps[3] > 1.2 * gaps[0], "the gaps grow: {gaps:?}");
    }
}

#[test]
fn new_settings_apply_to_later_requests_and_keep_the_state_of_backends() {
    let mut harness = Harness::with_backends(settings(), 1, 4);
    harness.warm_up(50, 0, 20.0);
    // One backend is congested, and one request that is safe to repeat is in flight.
    let bad = harness.send_request(0, Some(1));
    let (at, key) = (harness.current_backend(bad), Some(1));
    harness.end_attempt(bad, Outcome::Reset);
    for _ in 0..8 {
        let id = harness.send_request(0, key);
        while let Some(b) = harness.current_backend(id) {
            harness.end_attempt(id, if Some(b) == at { Outcome::Reset } else { Outcome::Done });
        }
    }
    assert!(harness.logs.iter().any(|l| l.starts_with("congested")));
    let in_flight = harness.send_request(0, Some(7));
    // One more class, one more tenant, fewer attempts. Invalid settings after that are ignored.
    let mut new = harness.settings.clone();
    new.classes.push(class(200.0, 500.0, Effect::Unsafe));
    new.tenants.push(Tenant { quota_rps: 5.0 });
    new.max_attempts = 2;
    harness.settings = new.clone();
    harness.feed(Event::Settings(Box::new(new.clone())));
    new.classes.clear();
    harness.feed(Event::Settings(Box::new(new)));
    harness.end_attempt(in_flight, Outcome::Reset);
    assert!(harness.current_backend(in_flight).is_some(), "still safe to repeat");
    harness.end_attempt(in_flight, Outcome::Reset);
    assert_eq!(harness.result(in_flight), Some("refused"), "no more than two attempts");
    let fresh = harness.send_request(5, Some(3));
    assert!(
        harness.current_backend(fresh).is_some_and(|b| Some(b) != at),
        "the backend is still congested"
    );
    harness.end_attempt(fresh, Outcome::Reset);
    assert_eq!(harness.result(fresh), Some("failed"));
    harness.advance(1000.0);
}

#[test]
fn the_next_process_restores_what_was_learned() {
    let s = Settings { classes: vec![class(400.0, 1000.0, Effect::Safe)], ..settings() };
    let mut old = Harness::with_backends(s.clone(), 1, 4);
    old.warm_up(200, 0, 20.0);
    let first = old.send_request(0, Some(1));
    let bad = old.current_backend(first);
    old.end_attempt(first, Outcome::Reset);
    while !old.logs.iter().any(|l| l.starts_with("congested")) {
        let id = old.send_request(0, Some(1));
        while let Some(at) = old.current_backend(id) {
            old.end_attempt(id, if Some(at) == bad { Outcome::Reset } else { Outcome::Done });
        }
    }
    let memory = old.balancer.memory();
    let congested = memory.backends.iter().find(|k| k.prat.is_some()).map(|k| k.backend);
    assert!(memory.warm_rate > 0.0 && congested.is_some(), "{memory:?}");
    // During a release all backends are cold.
    let next = |memory: Option<Memory>| {
        let mut harness = Harness::new(s.clone(), 2);
        harness.now_ms = old.now_ms;
        let entries = (1..=4).map(up_entry).map(|e| ListEntry { ready_at_ms: old.now_ms - 1000.0, ..e });
        harness.update_list(ListKind::Full, entries.collect());
        let restored = memory.is_some();
        if let Some(memory) = memory {
            harness.feed(Event::Memory(Box::new(memory)));
        }
        let mut served = 0;
        for n in 0..150 {
            let id = harness.send_request(0, Some(n));
            assert!(
                !restored
                    || harness.current_backend(id).is_none()
                    || harness.current_backend(id) != congested,
                "a congested backend got a request"
            );
            harness.advance(20.0);
            while harness.current_backend(id).is_some() {
                harness.end_attempt(id, Outcome::Done);
            }
            served += usize::from(harness.result(id) == Some("done"));
        }
        served
    };
    let (with, without) = (next(Some(memory.clone())), next(None));
    assert!(with > 5 + 2 * without, "{with} requests served with the memory, {without} without");
    // Backends that are no longer listed and unknown classes are ignored.
    let mut extended = memory.clone();
    extended.backends.push(BackendMemory { backend: BackendId(7), limit: 1.0, cut_at: 0.0, prat: None });
    extended.classes.extend([[1.0; 4]; 5]);
    assert_eq!(next(Some(extended)), with);
}

#[test]
fn invalid_settings_give_a_typed_error() {
    let no_class = Settings { classes: vec![], ..settings() };
    assert_eq!(Balancer::new(no_class, 1).err(), Some(SettingsError::NoClass));
    let not_a_number = Settings { cold_ms: f64::NAN, ..settings() };
    assert!(matches!(
        Balancer::new(not_a_number, 1).err(),
        Some(SettingsError::Range { field, .. }) if field == "rules.coldMs"
    ));
}

// ---- rules that settings turn on ----

#[test]
fn full_is_no_proof_that_nothing_ran_where_work_is_shed_late() {
    for (late_shedding, answer) in [(false, None), (true, Some("failed"))] {
        let mut harness = Harness::with_backends(Settings { late_shedding, ..settings() }, 1, 6);
        let id = harness.send_request(1, Some(1));
        harness.end_attempt(id, Outcome::Full);
        assert_eq!(harness.result(id), answer, "unsafe request, late shedding {late_shedding}");
        let id = harness.send_request(2, Some(1));
        let first = harness.current_backend(id).expect("sent");
        harness.end_attempt(id, Outcome::Full);
        if let (true, Some(second)) = (late_shedding, harness.current_backend(id)) {
            assert_eq!(
                harness.list[&first].zone, harness.list[&second].zone,
                "a keyed repeat stays in its zone"
            );
        }
    }
}

#[test]
fn idle_connections_to_a_draining_backend_are_closed_at_once_and_after_each_outcome() {
    let mut harness = Harness::with_backends(Settings { drain_close_ms: Some(1500.0), ..settings() }, 1, 1);
    let id = harness.send_request(0, Some(1));
    let backend = harness.current_backend(id).expect("sent");
    harness.update_list(ListKind::Changes, vec![ListEntry { health: Health::Draining, ..up_entry(1) }]);
    assert_eq!(harness.idle_closed_at_ms.get(&backend), Some(&harness.now_ms), "closed at the notice");
    harness.advance(200.0);
    harness.end_attempt(id, Outcome::Done);
    assert_eq!(harness.idle_closed_at_ms.get(&backend), Some(&harness.now_ms), "closed at the outcome");
    let since = harness.now_ms;
    harness.advance(1400.0);
    assert!(
        harness.idle_closed_at_ms[&backend] > since,
        "closed once more, for connections that became idle after the outcome"
    );
    let count = harness.trace.iter().filter(|a| matches!(a, Action::CloseIdleConnections(_))).count();
    harness.advance(20_000.0);
    assert_eq!(
        count,
        harness.trace.iter().filter(|a| matches!(a, Action::CloseIdleConnections(_))).count(),
        "no further closing"
    );
    // The backend is up, gets a request and is gone again: a new notice.
    harness.update_list(ListKind::Changes, vec![up_entry(1)]);
    let id = harness.send_request(0, Some(1));
    harness.end_attempt(id, Outcome::Done);
    harness.update_list(ListKind::Full, vec![]);
    assert_eq!(
        harness.idle_closed_at_ms.get(&backend),
        Some(&harness.now_ms),
        "a backend that is absent from a full list is gone"
    );
}

// ---- many nodes with little traffic each ----

/// Returns one of 500 nodes, each with so little traffic that two candidates usually tie with none in flight.
fn sparse_harness(count: u64) -> Harness {
    let s = Settings {
        classes: vec![class(400.0, 1000.0, Effect::Safe)],
        instances: 500,
        reporting: Reporting::Answers,
        probes: false,
        ..settings()
    };
    Harness::with_backends(s, 1, count)
}

/// Sends one request for a key and answers it after 30 ms with a load report of `busy`. Returns its backend.
fn serve_key(harness: &mut Harness, key: u64, busy: impl Fn(BackendId) -> f64) -> Option<BackendId> {
    let id = harness.send_request(0, Some(key));
    let backend = harness.current_backend(id);
    harness.advance(30.0);
    if let Some(b) = backend {
        harness.end_attempt_with_load(id, Outcome::Done, Load { busy: Some(busy(b)), ..Load::default() });
    }
    harness.advance(100.0);
    backend
}

#[test]
fn a_hot_key_is_spread_and_an_ordinary_one_is_not() {
    let mut harness = sparse_harness(40);
    let mut backends = [std::collections::BTreeSet::new(), std::collections::BTreeSet::new()];
    for n in 0..400 {
        // Every fourth request is for key 1, and every fortieth for key 2.
        let key = if n % 4 == 0 {
            1
        } else if n % 40 == 1 {
            2
        } else {
            100 + n
        };
        let backend = serve_key(&mut harness, key, |_| 0.5);
        if key <= 2 {
            backends[key as usize - 1].extend(backend);
        }
    }
    assert!(
        backends[0].len() >= 8,
        "a quarter of the traffic goes to {} of 40 backends",
        backends[0].len()
    );
    assert!(backends[1].len() <= 6, "an ordinary key goes to {} of 40 backends", backends[1].len());
}

#[test]
fn a_tie_between_candidates_goes_to_the_one_with_less_pressure() {
    let mut harness = sparse_harness(2);
    let hot = up_entry(1).backend;
    let report = |b: BackendId| if b == hot { 0.95 } else { 0.3 };
    for n in 0..20 {
        serve_key(&mut harness, n, report);
    }
    let at_hot = (100..200).filter(|n| serve_key(&mut harness, *n, report) == Some(hot)).count();
    assert!(at_hot < 25, "{at_hot} of 100 requests went to the backend with high pressure");
}

#[test]
fn a_backend_that_fails_fast_does_not_look_idle() {
    let mut harness = sparse_harness(2);
    let bad = up_entry(1).backend;
    let mut at_bad = 0;
    for n in 0..120 {
        let id = harness.send_request(0, Some(n));
        let first = harness.current_backend(id);
        harness.advance(5.0);
        if first == Some(bad) {
            harness.end_attempt_with_load(id, Outcome::Error, Load { busy: Some(0.05), ..Load::default() });
            at_bad += u32::from(n >= 20);
        }
        harness.end_attempt_with_load(id, Outcome::Done, Load { busy: Some(0.6), ..Load::default() });
        harness.advance(100.0);
    }
    assert!(at_bad < 30, "{at_bad} of 100 first attempts went to a backend that fails");
}

#[test]
fn clients_with_short_time_limits_are_served_where_a_late_answer_has_worth() {
    let mut s = sparse_harness(1).settings;
    s.classes[0].late_worth = 0.2;
    let mut harness = Harness::with_backends(s, 1, 4);
    let mut refused = 0;
    for n in 0..200 {
        // Half of the clients give 600 ms, the others 150 to 250 ms.
        let given = if n % 2 == 0 { 600.0 } else { 150.0 + n as f64 / 2.0 };
        let id = harness.send_request_within(0, Some(n), given);
        refused += u32::from(harness.current_backend(id).is_none());
        harness.advance(20.0);
        harness.end_attempt(id, Outcome::Done);
    }
    assert_eq!(refused, 0);
}

/// Sends requests for `ms` milliseconds, answers each after `elapsed_ms` with a load report of `busy`, and returns the
/// refused share.
fn refused_share(harness: &mut Harness, ms: f64, busy: f64, elapsed_ms: f64) -> f64 {
    let (until_ms, mut total, mut refused) = (harness.now_ms + ms, 0.0, 0.0);
    let mut n = 0;
    while harness.now_ms < until_ms {
        n += 1;
        let id = harness.send_request(0, Some(n));
        total += 1.0;
        refused += f64::from(u8::from(harness.current_backend(id).is_none()));
        harness.advance(elapsed_ms);
        harness.end_attempt_with_load(id, Outcome::Done, Load { busy: Some(busy), ..Load::default() });
        harness.advance(20.0);
    }
    refused / total
}

#[test]
fn a_fleet_that_reports_full_load_is_sent_less_before_answers_are_late() {
    let mut harness = sparse_harness(10);
    assert!(refused_share(&mut harness, 5000.0, 0.6, 40.0) == 0.0);
    assert!(refused_share(&mut harness, 4000.0, 1.0, 40.0) > 0.02, "the fleet has just become full");
    refused_share(&mut harness, 12_000.0, 1.0, 40.0);
    let later = refused_share(&mut harness, 5000.0, 1.0, 40.0);
    assert!(later == 0.0, "a full fleet that answers in time is sent all requests: {later}");
}

#[test]
fn the_requests_in_flight_of_a_node_are_bounded_by_its_part_of_the_fleet() {
    // 60 backends and 60 nodes: a node may have a few requests in flight at all backends together, not one at each.
    let mut s = sparse_harness(1).settings;
    s.instances = 60;
    let mut harness = Harness::with_backends(s, 1, 60);
    let sent = |harness: &mut Harness| {
        (0..60)
            .filter(|n| {
                let id = harness.send_request(0, Some(*n));
                harness.current_backend(id).is_some()
            })
            .count()
    };
    let first = sent(&mut harness);
    assert!((6..=16).contains(&first), "{first} requests in flight at once");
}

#[test]
fn a_fleet_that_serves_far_less_than_before_still_gets_requests() {
    let mut harness = sparse_harness(10);
    refused_share(&mut harness, 8000.0, 0.6, 20.0);
    // A tenth of the requests is answered, at the same rate of requests as before.
    let mut refused_in_a_row = 0;
    for n in 0..1000 {
        let id = harness.send_request(0, Some(n));
        refused_in_a_row = if harness.current_backend(id).is_some() { 0 } else { refused_in_a_row + 1 };
        assert!(refused_in_a_row < 200, "nothing was sent for four seconds, at request {n}");
        harness.advance(20.0);
        if n % 10 == 0 {
            harness.end_attempt_with_load(id, Outcome::Done, Load { busy: Some(1.0), ..Load::default() });
        }
    }
}

#[test]
fn an_unstrained_zone_keeps_its_traffic_where_crossing_is_priced() {
    let crossings = |cross_zone| {
        let prices = Prices { cross_zone, ..Prices::default() };
        let mut harness =
            Harness::with_backends(Settings { zone: Some(0), prices, ..sparse_harness(1).settings }, 1, 20);
        (0..200)
            .filter(|n| serve_key(&mut harness, *n, |_| 0.3).is_some_and(|b| harness.list[&b].zone != 0))
            .count()
    };
    let (free, priced) = (crossings(0.0), crossings(0.05));
    assert!(
        priced < free / 5,
        "{priced} of 200 requests cross zones where that has a price, {free} where not"
    );
}

// ---- zone locality ----

/// Sends requests, which take `local_ms` in this node's zone and 30 ms in others. Returns the share of the last quarter
/// that crossed zones.
fn crossing_share(harness: &mut Harness, requests: u64, local_ms: f64) -> f64 {
    let (mut remote, mut total) = (0, 0);
    for n in 0..requests {
        let id = harness.send_request(0, Some(n % 211));
        let Some(at) = harness.current_backend(id) else { continue };
        let own = harness.list[&at].zone == 0;
        harness.advance(if own { local_ms } else { 30.0 });
        harness.end_attempt(id, Outcome::Done);
        if n >= requests * 3 / 4 {
            total += 1;
            remote += u32::from(!own);
        }
    }
    f64::from(remote) / f64::from(total.max(1))
}

/// Returns a harness of twelve backends, half of them in this node's zone, with a price on crossing zones.
fn priced_harness() -> Harness {
    let prices = Prices { cross_zone: 0.06, ..Prices::default() };
    let classes = vec![class(400.0, 1000.0, Effect::Safe)];
    Harness::with_backends(Settings { classes, zone: Some(0), prices, ..settings() }, 3, 12)
}

#[test]
fn a_zone_that_carries_its_own_traffic_keeps_it() {
    let mut harness = priced_harness();
    let part = crossing_share(&mut harness, 2000, 30.0);
    assert!(part < 0.05, "{part} of the requests crossed zones without need");
}

#[test]
fn a_strained_zone_gives_traffic_away_and_takes_it_back() {
    let mut harness = priced_harness();
    crossing_share(&mut harness, 500, 30.0);
    let strained = crossing_share(&mut harness, 400, 380.0);
    assert!(strained > 0.35, "{strained} of the requests crossed while the own zone was strained");
    let eased = crossing_share(&mut harness, 4000, 30.0);
    assert!(eased < 0.05, "{eased} of the requests crossed after that");
}

#[test]
fn zones_are_equal_where_crossing_has_no_price() {
    let mut harness = priced_harness();
    harness.settings.prices.cross_zone = 0.0;
    let mut free = Harness::with_backends(harness.settings.clone(), 3, 12);
    let part = crossing_share(&mut free, 2000, 30.0);
    assert!((0.35..0.65).contains(&part), "{part}");
}
