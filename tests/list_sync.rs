//! Requests to discovery: whatever fails, the node learns of each change before the change counts as
//! notified, unreadable lines are requested again, and the service is not called without end.

use daleturn::control::departures::Departures;
use daleturn::control::list_sync::{LateAnswer, ListCall, ListRequest, ListResponse, ListSync, NextStep};
use daleturn::control::subset::Target;
use daleturn::interface::{BackendId, Discovery, Health, ListEntry};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

const MODES: [Discovery; 2] = [Discovery::Pushed, Discovery::OnRequest];
/// Time for a connection and for a response that discovery gives without waiting.
const ROUND_TRIP_MS: f64 = 60.0;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(21),
        ..ProptestConfig::default()
    }
}

/// Returns the next call, and advances `now` to the time at which it is made.
fn next_call(sync: &mut ListSync, now: &mut f64) -> ListCall {
    loop {
        match sync.next(*now) {
            NextStep::Call(call) => return call,
            NextStep::Pause(ms) => *now += ms.max(0.01),
            NextStep::Idle => sync.set_wanted(true),
        }
    }
}

fn full_response(version: u64) -> ListResponse {
    ListResponse { version, full: true, skipped: 0 }
}

fn changes_response(version: u64, skipped: usize) -> ListResponse {
    ListResponse { version, full: false, skipped }
}

/// Returns the requested wait of a call, in milliseconds.
fn requested_wait_ms(call: &ListCall) -> f64 {
    match call.request {
        ListRequest::FullList => 0.0,
        ListRequest::Changes { wait_ms, .. } => wait_ms as f64,
    }
}

proptest! {
    #![proptest_config(config(400))]

    /// Notification deadline: a change that a silent watch misses counts as notified 6 s after the watch fell
    /// silent, or 2 s after the end of its wait, whichever is later.
    #[test]
    fn a_silent_watch_is_replaced_before_the_notification_deadline_with_time_for_one_failure(
        seed: u64, pushed: bool, must_ask in 500.0..60_000.0_f64, silent_from in 0.0..1.0_f64, ends_at in 0.0..=1.0_f64,
        fails_at in 0.0..1.0_f64,
    ) {
        let mode = MODES[usize::from(!pushed)];
        let mut sync = ListSync::new(mode, must_ask, Some(7), seed);
        sync.set_wanted(true);
        let mut now = 1000.0_f64;
        if pushed {
            // In pushed mode a node starts without having heard discovery.
            let first = next_call(&mut sync, &mut now);
            sync.answered(now, &first, changes_response(7, 0));
            now += 50.0;
        }
        let watch = next_call(&mut sync, &mut now);
        let notified_at = (now + silent_from * requested_wait_ms(&watch) + 6000.0)
            .max(now + requested_wait_ms(&watch) + 2000.0);
        // The call times out, or is reset after its wait had passed.
        now += requested_wait_ms(&watch) + ends_at * (watch.timeout_ms - requested_wait_ms(&watch));
        prop_assert!(!sync.failed(now, &watch), "the policy does not pace the repeated call");
        let second = next_call(&mut sync, &mut now);
        prop_assert!(requested_wait_ms(&second) <= 1.0, "changes are requested without a wait: {second:?}");
        now += second.timeout_ms * fails_at;
        prop_assert!(!sync.failed(now, &second), "notified at {notified_at}, now {now}");
        let third = next_call(&mut sync, &mut now);
        prop_assert!(
            third.timeout_ms >= ROUND_TRIP_MS && now + ROUND_TRIP_MS < notified_at,
            "{third:?} at {now}, notified at {notified_at}"
        );
    }

    /// After a call that failed, timed out or was replaced, a change counts as notified 6 s after discovery
    /// had it, even if a watch made since has stopped responding.
    #[test]
    fn a_watch_after_a_failure_is_replaced_within_six_seconds_of_any_change_with_time_for_one_failure(
        seed: u64, must_ask in 500.0..60_000.0_f64, failure in 0..3, answered_watches in 0..2, fails_at in 0.0..1.0_f64,
    ) {
        let mode = Discovery::OnRequest;
        let mut sync = ListSync::new(mode, must_ask, Some(7), seed);
        sync.set_wanted(true);
        let mut now = 1000.0_f64;
        let watch = next_call(&mut sync, &mut now);
        match failure {
            0 => drop(sync.failed(now + 30.0, &watch)),
            1 => drop(sync.failed(now + watch.timeout_ms, &watch)),
            _ => sync.discovery_changed(now + 30.0, mode),
        }
        now += 5000.0;
        let heard = next_call(&mut sync, &mut now);
        sync.answered(now, &heard, full_response(7));
        for _ in 0..answered_watches {
            // A watch that returned without changes at the end of its wait.
            let watch = next_call(&mut sync, &mut now);
            now += requested_wait_ms(&watch);
            sync.answered(now, &watch, changes_response(7, 0));
        }
        let opened = now;
        let silent_watch = next_call(&mut sync, &mut now);
        now += silent_watch.timeout_ms;
        sync.failed(now, &silent_watch);
        let first = next_call(&mut sync, &mut now);
        // After a second watch there is no time for the repeated call to hang.
        now += if answered_watches == 0 { first.timeout_ms * fails_at } else { 0.0 };
        sync.failed(now, &first);
        let second = next_call(&mut sync, &mut now);
        prop_assert!(now + ROUND_TRIP_MS < opened + 6000.0, "{silent_watch:?} at {opened}, {second:?} at {now}");
    }

    /// In pushed mode a change counts as notified as soon as discovery recovers, so only the drain grace is
    /// left.
    #[test]
    fn a_recovery_is_noticed_well_within_the_drain_grace_however_long_the_outage(
        seed: u64, grace in 150.0..500.0_f64, recovers_at in 0.0..20_000.0_f64, hangs: bool, at_start: bool,
    ) {
        let mut sync = ListSync::new(Discovery::Pushed, 10_000.0, Some(7), seed);
        sync.update_settings(10_000.0, grace);
        let mut now = 0.0;
        if !at_start {
            let watch = next_call(&mut sync, &mut now);
            sync.answered(now, &watch, changes_response(7, 0));
            let watch = next_call(&mut sync, &mut now);
            now += 30.0;
            sync.failed(now, &watch);
        }
        let mut service = RecoveringService { recovers_at: now + recovers_at, hangs, resets: 0, calls: 0 };
        let noticed_after_ms = service.first_answer_at(&mut sync, now) - service.recovers_at;
        prop_assert!(noticed_after_ms <= grace / 2.0, "noticed after {noticed_after_ms} ms");
        // Calls are at least half of the shortest parallel interval apart: 16 to 50 a second, depending on
        // the grace, as with a service that refuses connections.
        let most = recovers_at / (grace / 8.0).clamp(20.0, 62.5) + 40.0;
        prop_assert!(f64::from(service.calls) <= most, "{} calls in {recovers_at} ms", service.calls);
    }

    /// In on-request mode a change counts as notified 6 s after discovery recovers, even if the policy, which
    /// paces calls, requests none.
    #[test]
    fn a_recovery_is_noticed_within_six_seconds_with_time_for_one_failure_whatever_the_policy_requests(
        seed: u64, must_ask in 500.0..60_000.0_f64, recovers_at in 0.0..60_000.0_f64, hangs: bool, known: bool,
    ) {
        let mut sync = ListSync::new(Discovery::OnRequest, must_ask, known.then_some(7), seed);
        sync.set_wanted(true);
        let mut now = 0.0;
        let watch = next_call(&mut sync, &mut now);
        prop_assert!(sync.failed(30.0, &watch), "after a reset the policy is told");
        let mut service = RecoveringService { recovers_at: 30.0 + recovers_at, hangs, resets: 1, calls: 0 };
        let noticed_after_ms = service.first_answer_at(&mut sync, 30.0) - service.recovers_at;
        prop_assert!(noticed_after_ms + ROUND_TRIP_MS < 6000.0, "noticed after {noticed_after_ms} ms");
        prop_assert!(f64::from(service.calls) <= (recovers_at + 6000.0) / 2100.0 + 1.0, "{} calls", service.calls);
    }

    /// After a change of discovery's address the new list counts as notified 4 s later.
    #[test]
    fn a_new_address_is_asked_for_its_full_list_with_time_for_one_failure(
        seed: u64, pushed: bool, must_ask in 500.0..60_000.0_f64, fails_at in 0.0..1.0_f64,
    ) {
        let mode = MODES[usize::from(!pushed)];
        let mut sync = ListSync::new(mode, must_ask, Some(7), seed);
        let mut now = 1000.0_f64;
        let notified_at = now + 4000.0;
        sync.discovery_changed(now, mode);
        let first = next_call(&mut sync, &mut now);
        prop_assert_eq!((first.request, now), (ListRequest::FullList, 1000.0));
        now += first.timeout_ms * fails_at;
        prop_assert!(!sync.failed(now, &first));
        let second = next_call(&mut sync, &mut now);
        prop_assert!(
            second.request == ListRequest::FullList && now + ROUND_TRIP_MS < notified_at,
            "{second:?} at {now}"
        );
    }

    /// A further change of address does not restart the 4 s of the first: its list is still due then.
    #[test]
    fn further_changes_of_address_postpone_no_notification_deadline(
        seed: u64, pushed: bool, must_ask in 500.0..60_000.0_f64, gaps in proptest::collection::vec(100.0..1100.0_f64, 1..4),
    ) {
        let mode = MODES[usize::from(!pushed)];
        let mut sync = ListSync::new(mode, must_ask, Some(7), seed);
        let mut now = 1000.0_f64;
        let first_notified_at = now + 4000.0;
        sync.discovery_changed(now, mode);
        for gap in gaps {
            // The outstanding call hangs until the next change of address ends it.
            next_call(&mut sync, &mut now.clone());
            now += gap;
            sync.discovery_changed(now, mode);
        }
        // From here on every call hangs.
        let last_notified_at = now + 4000.0;
        let mut call_times = Vec::new();
        while now < last_notified_at {
            let next = next_call(&mut sync, &mut now);
            prop_assert_eq!(next.request, ListRequest::FullList);
            call_times.push(now);
            now += next.timeout_ms;
            sync.failed(now, &next);
        }
        let in_time =
            |notified_at: f64| call_times.iter().filter(|at| *at + ROUND_TRIP_MS < notified_at).count();
        prop_assert!(in_time(first_notified_at) >= 2, "{call_times:?}, notified at {first_notified_at}");
        // Nor does the first deadline replace that of the last change.
        prop_assert!(
            last_notified_at - first_notified_at < 1000.0
                || in_time(last_notified_at) > in_time(first_notified_at),
            "{call_times:?}, notified at {first_notified_at} and {last_notified_at}"
        );
    }

    /// Full lists, changes, unreadable lines, resets and renumbered versions, in any order: once the service
    /// works, the node's list equals the service's.
    #[test]
    fn every_change_arrives_whatever_came_before(
        seed: u64, pushed: bool, steps in proptest::collection::vec((0_u8..8, 0_u64..5, any::<bool>()), 1..60),
    ) {
        let mut service = Service { version: 1 << 62, ..Service::default() };
        service.change(0, true);
        let mut sync = ListSync::new(MODES[usize::from(!pushed)], 10_000.0, None, seed);
        let mut known = BTreeMap::new();
        let mut now = 0.0;
        for (action, uid, up) in steps {
            match action {
                0..=3 => service.change(uid, up),
                4 => service.unreadable = Some(uid),
                5 => service.restart(uid, up),
                _ => service.fails = true,
            }
            service.serve(&mut sync, &mut known, &mut now);
        }
        service.unreadable = None;
        let end = now + 45_000.0;
        while now < end {
            service.serve(&mut sync, &mut known, &mut now);
        }
        prop_assert_eq!(known, service.backends);
    }
}

proptest! {
    #![proptest_config(config(6000))]

    /// Responses read in any order, to calls that timed out, were replaced or made in parallel, across
    /// changes of address with the same or other version numbers: a backend is out once its departure has
    /// been read, and in the end the node's list equals the service's.
    #[test]
    fn a_departure_that_was_read_holds_whichever_call_it_answered(
        seed: u64, pushed: bool, steps in proptest::collection::vec((0_u8..10, 0_u64..4, any::<bool>(), 0_usize..4), 1..120),
    ) {
        let mode = MODES[usize::from(!pushed)];
        let mut sync = ListSync::new(mode, 10_000.0, None, seed);
        sync.set_wanted(true);
        let mut service = Service { version: 1 << 40, ..Service::default() };
        service.change(0, true);
        let mut list = LateList::default();
        let mut now = 0.0;
        for (action, uid, up, which) in steps {
            now += 30.0;
            match action {
                0 | 1 => {
                    service.change(uid, up);
                    list.record_change(uid, up, now);
                }
                2 => {
                    if let Some(call) = list.current.take() {
                        sync.failed(now, &call);
                        list.replaced.push(call);
                    }
                }
                3 if up => {
                    // The new address has the same version numbers, or smaller ones.
                    list.address_changes.push((sync.last_call(), uid * 1000));
                    list.replaced.extend(list.current.take());
                    sync.discovery_changed(now, mode);
                }
                4..=6 => list.write_response(&service, now, which),
                9 => {
                    let parallel_call = list.current.map(|current| sync.parallel_call(now, &current));
                    list.replaced.extend(parallel_call);
                }
                _ => list.read_response(&mut sync, now, which),
            }
            if list.current.is_none() {
                list.current = Some(next_call(&mut sync, &mut now));
            }
            let up_here = list.departed.iter().find(|uid| list.known.get(uid) == Some(&true));
            prop_assert_eq!(up_here, None, "has departed and is up here");
        }
        // Every written response is read.
        while !list.written.is_empty() {
            list.read_response(&mut sync, now, 0);
        }
        // In the end the service has its first version numbers.
        if list.address_changes.last().is_some_and(|(_, decrease)| *decrease > 0) {
            sync.discovery_changed(now, mode);
        } else if let Some(call) = list.current {
            sync.failed(now, &call);
        }
        let end = now + 45_000.0;
        while now < end {
            service.serve(&mut sync, &mut list.known, &mut now);
        }
        prop_assert_eq!(list.known, service.backends);
    }
}

/// A discovery service that is down and recovers. Calls made before its recovery hang or are refused; later
/// calls are answered at once, except for those that are reset.
struct RecoveringService {
    recovers_at: f64,
    hangs: bool,
    resets: usize,
    calls: u32,
}

impl RecoveringService {
    /// Returns the time at which the first call is answered.
    fn first_answer_at(&mut self, sync: &mut ListSync, mut now: f64) -> f64 {
        loop {
            let call = match sync.next(now) {
                NextStep::Pause(ms) => {
                    now += ms.max(0.01);
                    continue;
                }
                NextStep::Idle => panic!("the state machine waits for the policy"),
                NextStep::Call(call) => call,
            };
            self.calls += 1;
            if now >= self.recovers_at && self.resets == 0 {
                return now + 1.0;
            }
            if now >= self.recovers_at || !self.hangs {
                self.resets -= usize::from(now >= self.recovers_at);
                now += 1.0;
            } else {
                let end = now + call.timeout_ms;
                let tries = std::iter::successors(call.parallel_interval_ms, |at| {
                    Some(at + call.parallel_interval_ms.unwrap_or(f64::INFINITY))
                });
                for at in tries.map(|at| now + at).take_while(|at| *at < end) {
                    self.calls += 1;
                    if at >= self.recovers_at {
                        return at + 1.0;
                    }
                }
                now = end;
            }
            sync.failed(now, &call);
        }
    }
}

/// A discovery service that answers one call at a time, and also works through calls that have timed out, was
/// down for 30 s. All 300 nodes hear it within 6 s of its recovery, and their call rate meanwhile stays
/// bounded.
#[test]
fn three_hundred_nodes_hear_a_recovered_discovery_within_six_seconds() {
    const NODES: usize = 300;
    const ANSWER_MS: f64 = 8.0;
    for (hangs, must_ask) in [(true, 2000.0), (true, 20_000.0), (false, 2000.0), (false, 20_000.0)] {
        let recovers_at = 30_000.0;
        // The watches of all nodes are reset at the same time.
        let mut nodes: Vec<(f64, ListSync)> = (0..NODES)
            .map(|seed| {
                let mut sync = ListSync::new(Discovery::OnRequest, must_ask, Some(7), seed as u64);
                sync.set_wanted(true);
                let watch = next_call(&mut sync, &mut 0.0);
                sync.failed(1.0, &watch);
                (1.0, sync)
            })
            .collect();
        let (mut free_at, mut calls, mut last) = (recovers_at, 0, 0.0_f64);
        while let Some(n) = (0..nodes.len()).min_by(|a, b| nodes[*a].0.total_cmp(&nodes[*b].0)) {
            let (now, sync) = &mut nodes[n];
            match sync.next(*now) {
                NextStep::Idle => panic!("the state machine waits for the policy"),
                NextStep::Pause(ms) => *now += ms.max(0.01),
                NextStep::Call(call) if *now < recovers_at => {
                    calls += 1;
                    *now += if hangs { call.timeout_ms } else { 1.0 };
                    sync.failed(*now, &call);
                }
                NextStep::Call(call) => {
                    free_at = free_at.max(*now) + ANSWER_MS;
                    if free_at - *now <= call.timeout_ms {
                        last = last.max(free_at);
                        nodes.swap_remove(n);
                    } else {
                        *now += call.timeout_ms;
                        sync.failed(*now, &call);
                    }
                }
            }
        }
        assert!(
            last < recovers_at + 6000.0,
            "hangs {hangs}: the last hears after {} ms",
            last - recovers_at
        );
        let rate = f64::from(calls) / 30.0;
        assert!(rate < 145.0, "hangs {hangs}: {rate} calls a second of {NODES} nodes");
    }
}

/// A discovery service whose backends are up or draining.
#[derive(Default)]
struct Service {
    backends: BTreeMap<u64, bool>,
    changed_in: BTreeMap<u64, u64>,
    version: u64,
    /// Backend whose line cannot be read.
    unreadable: Option<u64>,
    fails: bool,
}

impl Service {
    fn change(&mut self, uid: u64, up: bool) {
        self.version += 1;
        self.backends.insert(uid, up);
        self.changed_in.insert(uid, self.version);
    }

    /// Renumbers the versions from a lower number, with a change that no node was notified of.
    fn restart(&mut self, uid: u64, up: bool) {
        self.version /= 2;
        self.backends.insert(uid, up);
        self.changed_in = self.backends.keys().map(|uid| (*uid, self.version)).collect();
    }

    fn serve(&mut self, sync: &mut ListSync, known: &mut BTreeMap<u64, bool>, now: &mut f64) {
        let call = next_call(sync, now);
        *now += ROUND_TRIP_MS;
        if std::mem::take(&mut self.fails) {
            sync.failed(*now, &call);
            return;
        }
        let since = match call.request {
            ListRequest::FullList => None,
            ListRequest::Changes { after, .. } => Some(after),
        };
        let is_included = |uid: &u64| since.is_none_or(|after| self.changed_in[uid] > after);
        if since.is_some() && !self.backends.keys().any(is_included) {
            *now += requested_wait_ms(&call);
        }
        let lines: Vec<u64> = self.backends.keys().copied().filter(is_included).collect();
        let skipped = lines.iter().filter(|uid| self.unreadable == Some(**uid)).count();
        let response = ListResponse { version: self.version, full: since.is_none(), skipped };
        if !sync.answered(*now, &call, response) {
            return;
        }
        if response.full {
            known.clear();
        }
        known.extend(
            lines.iter().filter(|uid| self.unreadable != Some(**uid)).map(|uid| (*uid, self.backends[uid])),
        );
    }
}

fn target(uid: u64, up: bool) -> Target {
    let health = if up { Health::Up } else { Health::Draining };
    let backend = BackendId(uid);
    let entry = ListEntry { backend, zone: 0, cell: 0, health, units: 1.0, ready_at_ms: 0.0 };
    Target { entry, address: None, uid: uid.to_string().into() }
}

/// A response that the service has written and the node has not read yet.
struct Written {
    at: f64,
    call: ListCall,
    response: ListResponse,
    lines: BTreeMap<u64, bool>,
}

/// The list of a node that reads responses late, and its outstanding calls.
#[derive(Default)]
struct LateList {
    known: BTreeMap<u64, bool>,
    current: Option<ListCall>,
    replaced: Vec<ListCall>,
    written: Vec<Written>,
    /// For each change of address, the last call before it and how much smaller the versions are after it.
    address_changes: Vec<(u64, u64)>,
    /// Time at which each backend was last up again in the service.
    up_at: BTreeMap<u64, f64>,
    /// Backends that departed by a response of which nothing else was applied.
    departures: Departures,
    /// Backends whose departure was read, and that were not up again after the response was written.
    departed: BTreeSet<u64>,
}

impl LateList {
    /// Records that the service changed a backend.
    fn record_change(&mut self, uid: u64, up: bool, now: f64) {
        if up {
            self.up_at.insert(uid, now);
            self.departed.remove(&uid);
        }
    }

    /// The service writes the response to one of the outstanding calls.
    fn write_response(&mut self, service: &Service, now: f64, which: usize) {
        let answers_current = self.replaced.is_empty() || which == 0;
        let call = if answers_current {
            self.current
        } else {
            Some(self.replaced.remove(which % self.replaced.len()))
        };
        let Some(call) = call.filter(|call| !self.written.iter().any(|w| w.call.number() == call.number()))
        else {
            return;
        };
        let address_change =
            self.address_changes.iter().rev().find(|(last_call, _)| *last_call < call.number());
        let decrease = address_change.map_or(0, |(_, decrease)| *decrease);
        let is_included = |uid: &u64| match call.request {
            ListRequest::FullList => true,
            ListRequest::Changes { after, .. } => service.changed_in[uid] - decrease > after,
        };
        let lines = service
            .backends
            .iter()
            .filter(|(uid, _)| is_included(uid))
            .map(|(uid, up)| (*uid, *up))
            .collect();
        let response = ListResponse {
            version: service.version - decrease,
            full: call.request == ListRequest::FullList,
            skipped: 0,
        };
        self.written.push(Written { at: now, call, response, lines });
    }

    /// The node reads one of the written responses.
    fn read_response(&mut self, sync: &mut ListSync, now: f64, which: usize) {
        if self.written.is_empty() {
            return;
        }
        let Written { at, call, response, lines } = self.written.remove(which % self.written.len());
        self.replaced.retain(|replaced| replaced.number() != call.number());
        let is_current = self.current.is_some_and(|current| current.number() == call.number());
        let late = if is_current {
            self.current = None;
            let holds = sync.answered(now, &call, response);
            let departures = LateAnswer::Departures { omissions: false };
            if holds { LateAnswer::Holds } else { departures }
        } else {
            sync.answered_late(now, &call, response)
        };
        let still_out = |uid: &u64| self.up_at.get(uid).is_none_or(|up_at| *up_at < at);
        self.departed.extend(lines.iter().filter(|(uid, up)| !**up && still_out(uid)).map(|(uid, _)| uid));
        match late {
            LateAnswer::Outdated => {}
            LateAnswer::Holds => {
                if response.full {
                    self.known.clear();
                }
                let mut targets: Vec<Target> = lines.iter().map(|(uid, up)| target(*uid, *up)).collect();
                if self.departures.exclude_departed(call.number(), &mut targets) {
                    sync.request_full_list(now);
                }
                let up = |target: &Target| target.entry.health == Health::Up;
                self.known.extend(targets.iter().map(|target| (target.entry.backend.0, up(target))));
                self.replaced.extend(self.current.take());
            }
            LateAnswer::Departures { .. } => {
                let departed = lines.iter().filter(|(_, up)| !**up);
                let departed: Vec<u64> = departed.map(|(uid, _)| *uid).collect();
                let targets: Vec<Target> = departed.iter().map(|uid| target(*uid, false)).collect();
                self.departures.record(&targets, sync.last_call());
                if departed.iter().any(|uid| self.known.get(uid) != Some(&false)) {
                    sync.request_full_list(now);
                    // An outstanding watch is replaced by a request for the full list.
                    if self.current.is_some_and(|current| current.request != ListRequest::FullList) {
                        self.replaced.extend(self.current.take());
                    }
                }
                self.known.extend(departed.iter().map(|uid| (*uid, false)));
            }
        }
    }
}

#[test]
fn an_unreadable_line_leads_to_full_lists_at_growing_intervals() {
    for mode in MODES {
        let mut sync = ListSync::new(mode, 10_000.0, Some(1), 3);
        sync.set_wanted(true);
        let (mut now, mut at) = (0.0, Vec::new());
        for version in 2..400 {
            let call = next_call(&mut sync, &mut now);
            now += 20.0;
            let is_full = call.request == ListRequest::FullList;
            at.extend(is_full.then_some(now));
            // Changes arrive all the time, and the same line is never readable.
            assert!(sync.answered(
                now,
                &call,
                ListResponse { version, full: is_full, skipped: usize::from(is_full || version == 2) }
            ));
            assert_eq!(sync.version(), None, "the known list is not complete");
        }
        assert!(at[0] < 200.0, "{mode:?}: the first one is soon: {at:?}");
        let last = at.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max);
        assert!(at.len() < 20 && last > 1000.0, "{mode:?}: intervals grow: {at:?}");
        let call = next_call(&mut sync, &mut now);
        assert!(sync.answered(now, &call, full_response(500)));
        assert_eq!(sync.version(), Some(500));
    }
}

#[test]
fn a_service_that_answers_watches_at_once_is_not_called_in_a_busy_loop() {
    for mode in MODES {
        let mut sync = ListSync::new(mode, 10_000.0, Some(1), 3);
        sync.set_wanted(true);
        let (mut now, mut calls) = (0.0, 0);
        while now < 10_000.0 {
            let call = next_call(&mut sync, &mut now);
            sync.answered(now, &call, changes_response(1, 0));
            calls += 1;
        }
        // A watch misses nothing if the next call comes within 200 ms.
        assert!((50..150).contains(&calls), "{mode:?}: {calls} calls in 10 s");
    }
}

#[test]
fn in_on_request_mode_the_policy_paces_calls_after_a_failure_within_a_round() {
    let mut sync = ListSync::new(Discovery::OnRequest, 10_000.0, Some(1), 3);
    assert_eq!(sync.next(0.0), NextStep::Idle);
    assert_eq!(sync.next(1e6), NextStep::Idle, "until the policy requests updates");
    sync.set_wanted(true);
    let mut now = 0.0;
    let reset = next_call(&mut sync, &mut now);
    assert!(sync.failed(now + 30.0, &reset));
    assert!(
        matches!(sync.next(now + 30.0), NextStep::Pause(ms) if ms > 2000.0),
        "not sooner without a request of the policy"
    );
    sync.set_wanted(true);
    assert!(matches!(sync.next(now + 31.0), NextStep::Call(_)), "the policy requests updates again");
    sync.set_wanted(false);
    assert_eq!(sync.next(now + 1e6), NextStep::Idle, "the policy requests no updates");
}
