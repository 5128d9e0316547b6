//! What discovery is asked, and when: whatever comes of it, news is here before it counts as told, what could not be
//! read is asked for again, and no service is asked without end.

use daleturn::control::departures::Departures;
use daleturn::control::list_sync::{LateAnswer, ListCall, ListRequest, ListResponse, ListSync, NextStep};
use daleturn::control::subset::Target;
use daleturn::interface::{BackendId, Discovery, Health, ListEntry};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

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
fn call(asking: &mut ListSync, now: &mut f64) -> ListCall {
    loop {
        match asking.next(*now) {
            NextStep::Call(call) => return call,
            NextStep::Pause(ms) => *now += ms.max(0.01),
            NextStep::Idle => asking.set_wanted(true),
        }
    }
}

fn whole(version: u64) -> ListResponse {
    ListResponse { version, full: true, skipped: 0 }
}

fn changes(version: u64, skipped: usize) -> ListResponse {
    ListResponse { version, full: false, skipped }
}

/// Longest wait of a call.
fn wait(call: &ListCall) -> f64 {
    match call.request {
        ListRequest::FullList => 0.0,
        ListRequest::Changes { wait_ms, .. } => wait_ms as f64,
    }
}

proptest! {
    #![proptest_config(fixed(400))]

    /// The operators' clock: what a silent watch misses counts as told 6 s after it fell silent, or 2 s after its wait.
    #[test]
    fn a_silent_watch_is_replaced_before_its_news_counts_as_told_with_time_for_one_failure(
        seed: u64, pushed: bool, must_ask in 500.0..60_000.0_f64, silent_from in 0.0..1.0_f64, ends_at in 0.0..=1.0_f64,
        fails_at in 0.0..1.0_f64,
    ) {
        let how = WAYS[usize::from(!pushed)];
        let mut asking = ListSync::new(how, must_ask, Some(7), seed);
        asking.set_wanted(true);
        let mut now = 1000.0_f64;
        if pushed {
            // At a start nothing was heard yet.
            let first = call(&mut asking, &mut now);
            asking.answered(now, &first, changes(7, 0));
            now += 50.0;
        }
        let watch = call(&mut asking, &mut now);
        let told = (now + silent_from * wait(&watch) + 6000.0).max(now + wait(&watch) + 2000.0);
        // Given up, or reset once its wait was over.
        now += wait(&watch) + ends_at * (watch.timeout_ms - wait(&watch));
        prop_assert!(!asking.failed(now, &watch), "nobody paces the repeat");
        let second = call(&mut asking, &mut now);
        prop_assert!(wait(&second) <= 1.0, "what there is comes at once: {second:?}");
        now += second.timeout_ms * fails_at;
        prop_assert!(!asking.failed(now, &second), "told at {told}, now {now}");
        let third = call(&mut asking, &mut now);
        prop_assert!(third.timeout_ms >= WAY_MS && now + WAY_MS < told, "{third:?} at {now}, told at {told}");
    }

    /// After a call that failed, was given up or was replaced, a change counts as told 6 s after discovery had it, also where a
    /// watch that was opened since has fallen silent.
    #[test]
    fn a_watch_after_a_failure_is_replaced_within_six_seconds_of_any_change_with_time_for_one_failure(
        seed: u64, must_ask in 500.0..60_000.0_f64, trouble in 0..3, proven in 0..2, fails_at in 0.0..1.0_f64,
    ) {
        let how = Discovery::OnRequest;
        let mut asking = ListSync::new(how, must_ask, Some(7), seed);
        asking.set_wanted(true);
        let mut now = 1000.0_f64;
        let watch = call(&mut asking, &mut now);
        match trouble {
            0 => drop(asking.failed(now + 30.0, &watch)),
            1 => drop(asking.failed(now + watch.timeout_ms, &watch)),
            _ => asking.discovery_changed(now + 30.0, how),
        }
        now += 5000.0;
        let heard = call(&mut asking, &mut now);
        asking.answered(now, &heard, whole(7));
        for _ in 0..proven {
            // A watch that brought no news when its wait was over.
            let watch = call(&mut asking, &mut now);
            now += wait(&watch);
            asking.answered(now, &watch, changes(7, 0));
        }
        let opened = now;
        let silent = call(&mut asking, &mut now);
        now += silent.timeout_ms;
        asking.failed(now, &silent);
        let first = call(&mut asking, &mut now);
        // Of a watch that is not the first any more, the repeat has no time to hang.
        now += if proven == 0 { first.timeout_ms * fails_at } else { 0.0 };
        asking.failed(now, &first);
        let second = call(&mut asking, &mut now);
        prop_assert!(now + WAY_MS < opened + 6000.0, "{silent:?} at {opened}, {second:?} at {now}");
    }

    /// Where lists are pushed, what discovery has at its return counts at once, and only the drain grace is left.
    #[test]
    fn a_return_is_noticed_well_within_the_drain_grace_however_long_it_was_waited_for(
        seed: u64, grace in 150.0..500.0_f64, returns_at in 0.0..20_000.0_f64, hangs: bool, at_start: bool,
    ) {
        let mut asking = ListSync::new(Discovery::Pushed, 10_000.0, Some(7), seed);
        asking.update_settings(10_000.0, grace);
        let mut now = 0.0;
        if !at_start {
            let watch = call(&mut asking, &mut now);
            asking.answered(now, &watch, changes(7, 0));
            let watch = call(&mut asking, &mut now);
            now += 30.0;
            asking.failed(now, &watch);
        }
        let mut down = Down { returns_at: now + returns_at, hangs, lost: 0, calls: 0 };
        let noticed = down.noticed(&mut asking, now) - down.returns_at;
        prop_assert!(noticed <= grace / 2.0, "noticed after {noticed} ms");
        // No more than were made of a service that refuses: 20 a second, and four a second of short graces.
        let most = returns_at / (grace / 8.0).clamp(20.0, 62.5) + 40.0;
        prop_assert!(f64::from(down.calls) <= most, "{} calls in {returns_at} ms", down.calls);
    }

    /// Where it is asked, it counts 6 s later, though the decisions, which pace calls, wish for none.
    #[test]
    fn a_return_is_noticed_within_six_seconds_with_time_for_one_failure_whatever_the_decisions_wish(
        seed: u64, must_ask in 500.0..60_000.0_f64, returns_at in 0.0..60_000.0_f64, hangs: bool, known: bool,
    ) {
        let mut asking = ListSync::new(Discovery::OnRequest, must_ask, known.then_some(7), seed);
        asking.set_wanted(true);
        let mut now = 0.0;
        let watch = call(&mut asking, &mut now);
        prop_assert!(asking.failed(30.0, &watch), "reset: the decisions are told");
        let mut down = Down { returns_at: 30.0 + returns_at, hangs, lost: 1, calls: 0 };
        let noticed = down.noticed(&mut asking, 30.0) - down.returns_at;
        prop_assert!(noticed + WAY_MS < 6000.0, "noticed after {noticed} ms");
        prop_assert!(f64::from(down.calls) <= (returns_at + 6000.0) / 2100.0 + 1.0, "{} calls", down.calls);
    }

    /// After new settings that name another discovery it is 4 s.
    #[test]
    fn a_new_address_is_asked_for_all_of_its_list_with_time_for_one_failure(
        seed: u64, pushed: bool, must_ask in 500.0..60_000.0_f64, fails_at in 0.0..1.0_f64,
    ) {
        let how = WAYS[usize::from(!pushed)];
        let mut asking = ListSync::new(how, must_ask, Some(7), seed);
        let mut now = 1000.0_f64;
        let told = now + 4000.0;
        asking.discovery_changed(now, how);
        let first = call(&mut asking, &mut now);
        prop_assert_eq!((first.request, now), (ListRequest::FullList, 1000.0));
        now += first.timeout_ms * fails_at;
        prop_assert!(!asking.failed(now, &first));
        let second = call(&mut asking, &mut now);
        prop_assert!(second.request == ListRequest::FullList && now + WAY_MS < told, "{second:?} at {now}");
    }

    /// The 4 s of the first move are not started anew by those that follow: what it had to bring is still owed then.
    #[test]
    fn further_moves_put_off_no_moment_at_which_news_counts_as_told(
        seed: u64, pushed: bool, must_ask in 500.0..60_000.0_f64, gaps in proptest::collection::vec(100.0..1100.0_f64, 1..4),
    ) {
        let how = WAYS[usize::from(!pushed)];
        let mut asking = ListSync::new(how, must_ask, Some(7), seed);
        let mut now = 1000.0_f64;
        let first_told = now + 4000.0;
        asking.discovery_changed(now, how);
        for gap in gaps {
            // The call that is out hangs until the next move ends it.
            call(&mut asking, &mut now.clone());
            now += gap;
            asking.discovery_changed(now, how);
        }
        // From here on every call hangs.
        let last_told = now + 4000.0;
        let mut begun = Vec::new();
        while now < last_told {
            let next = call(&mut asking, &mut now);
            prop_assert_eq!(next.request, ListRequest::FullList);
            begun.push(now);
            now += next.timeout_ms;
            asking.failed(now, &next);
        }
        let in_time = |told: f64| begun.iter().filter(|at| *at + WAY_MS < told).count();
        prop_assert!(in_time(first_told) >= 2, "{begun:?}, told at {first_told}");
        // Nor is the last move's forgotten over the first one's.
        prop_assert!(last_told - first_told < 1000.0 || in_time(last_told) > in_time(first_told),
            "{begun:?}, told at {first_told} and {last_told}");
    }

    /// Whole lists, changes, lines that cannot be read, resets and versions that count anew, in any order: once the
    /// service is well, the list here is its list.
    #[test]
    fn every_change_arrives_whatever_came_before(
        seed: u64, pushed: bool, steps in proptest::collection::vec((0_u8..8, 0_u64..5, any::<bool>()), 1..60),
    ) {
        let mut service = Service { version: 1 << 62, ..Service::default() };
        service.change(0, true);
        let mut asking = ListSync::new(WAYS[usize::from(!pushed)], 10_000.0, None, seed);
        let mut here = BTreeMap::new();
        let mut now = 0.0;
        for (what, uid, up) in steps {
            match what {
                0..=3 => service.change(uid, up),
                4 => service.unreadable = Some(uid),
                5 => service.restart(uid, up),
                _ => service.fails = true,
            }
            service.serve(&mut asking, &mut here, &mut now);
        }
        service.unreadable = None;
        let end = now + 45_000.0;
        while now < end {
            service.serve(&mut asking, &mut here, &mut now);
        }
        prop_assert_eq!(here, service.all);
    }
}

proptest! {
    #![proptest_config(fixed(6000))]

    /// Answers that are read in any order, of calls that were given up, replaced or made beside others, over moves to addresses that count alike or
    /// anew: whoever was told to leave is out once that has been read, and in the end the list here is the service's.
    #[test]
    fn a_departure_that_was_read_holds_whichever_call_it_answers(
        seed: u64, pushed: bool, steps in proptest::collection::vec((0_u8..10, 0_u64..4, any::<bool>(), 0_usize..4), 1..120),
    ) {
        let how = WAYS[usize::from(!pushed)];
        let mut asking = ListSync::new(how, 10_000.0, None, seed);
        asking.set_wanted(true);
        let mut service = Service { version: 1 << 40, ..Service::default() };
        service.change(0, true);
        let mut list = LateList::default();
        let mut now = 0.0;
        for (what, uid, up, which) in steps {
            now += 30.0;
            match what {
                0 | 1 => {
                    service.change(uid, up);
                    list.changed(uid, up, now);
                }
                2 => {
                    if let Some(call) = list.current.take() {
                        asking.failed(now, &call);
                        list.replaced.push(call);
                    }
                }
                3 if up => {
                    // The new address counts alike, or from somewhere else.
                    list.counts.push((asking.last_call(), uid * 1000));
                    list.replaced.extend(list.current.take());
                    asking.discovery_changed(now, how);
                }
                4..=6 => list.write(&service, now, which),
                9 => {
                    let beside = list.current.map(|current| asking.parallel_call(now, &current));
                    list.replaced.extend(beside);
                }
                _ => list.read(&mut asking, now, which),
            }
            if list.current.is_none() {
                list.current = Some(call(&mut asking, &mut now));
            }
            let up_here = list.departed.iter().find(|uid| list.here.get(uid) == Some(&true));
            prop_assert_eq!(up_here, None, "has left and is up here");
        }
        // What is written is read, or its call is given up.
        while !list.written.is_empty() {
            list.read(&mut asking, now, 0);
        }
        // In the end it counts as at first.
        if list.counts.last().is_some_and(|(_, less)| *less > 0) {
            asking.discovery_changed(now, how);
        } else if let Some(call) = list.current {
            asking.failed(now, &call);
        }
        let end = now + 45_000.0;
        while now < end {
            service.serve(&mut asking, &mut list.here, &mut now);
        }
        prop_assert_eq!(list.here, service.all);
    }
}

/// A discovery that is down and returns: what was begun before that hangs or is refused, what is begun later is
/// answered at once, but for calls that are reset.
struct Down {
    returns_at: f64,
    hangs: bool,
    lost: usize,
    calls: u32,
}

impl Down {
    /// When the first call is answered.
    fn noticed(&mut self, asking: &mut ListSync, mut now: f64) -> f64 {
        loop {
            let call = match asking.next(now) {
                NextStep::Pause(ms) => {
                    now += ms.max(0.01);
                    continue;
                }
                NextStep::Idle => panic!("it waits for the decisions"),
                NextStep::Call(call) => call,
            };
            self.calls += 1;
            if now >= self.returns_at && self.lost == 0 {
                return now + 1.0;
            }
            if now >= self.returns_at || !self.hangs {
                self.lost -= usize::from(now >= self.returns_at);
                now += 1.0;
            } else {
                let end = now + call.timeout_ms;
                let tries = std::iter::successors(call.parallel_interval_ms, |at| {
                    Some(at + call.parallel_interval_ms.unwrap_or(f64::INFINITY))
                });
                for at in tries.map(|at| now + at).take_while(|at| *at < end) {
                    self.calls += 1;
                    if at >= self.returns_at {
                        return at + 1.0;
                    }
                }
                now = end;
            }
            asking.failed(now, &call);
        }
    }
}

/// Three hundred nodes ask one discovery that answers in turn, works through calls whose callers have given up, and was
/// away. All hear it within 6 s of its return, and nobody has beaten on it meanwhile.
#[test]
fn three_hundred_callers_of_one_discovery_hear_its_return_within_six_seconds() {
    const NODES: usize = 300;
    const ANSWER_MS: f64 = 8.0;
    for (hangs, must_ask) in [(true, 2000.0), (true, 20_000.0), (false, 2000.0), (false, 20_000.0)] {
        let returns_at = 30_000.0;
        // Their watches are reset together.
        let mut nodes: Vec<(f64, ListSync)> = (0..NODES)
            .map(|seed| {
                let mut asking = ListSync::new(Discovery::OnRequest, must_ask, Some(7), seed as u64);
                asking.set_wanted(true);
                let watch = call(&mut asking, &mut 0.0);
                asking.failed(1.0, &watch);
                (1.0, asking)
            })
            .collect();
        let (mut free_at, mut calls, mut last) = (returns_at, 0, 0.0_f64);
        while let Some(n) = (0..nodes.len()).min_by(|a, b| nodes[*a].0.total_cmp(&nodes[*b].0)) {
            let (now, asking) = &mut nodes[n];
            match asking.next(*now) {
                NextStep::Idle => panic!("it waits for the decisions"),
                NextStep::Pause(ms) => *now += ms.max(0.01),
                NextStep::Call(call) if *now < returns_at => {
                    calls += 1;
                    *now += if hangs { call.timeout_ms } else { 1.0 };
                    asking.failed(*now, &call);
                }
                NextStep::Call(call) => {
                    free_at = free_at.max(*now) + ANSWER_MS;
                    if free_at - *now <= call.timeout_ms {
                        last = last.max(free_at);
                        nodes.swap_remove(n);
                    } else {
                        *now += call.timeout_ms;
                        asking.failed(*now, &call);
                    }
                }
            }
        }
        assert!(last < returns_at + 6000.0, "hangs {hangs}: the last hears after {} ms", last - returns_at);
        let rate = f64::from(calls) / 30.0;
        assert!(rate < 145.0, "hangs {hangs}: {rate} calls a second of {NODES} nodes");
    }
}

/// A discovery with a list of names, which are up or drain.
#[derive(Default)]
struct Service {
    all: BTreeMap<u64, bool>,
    changed: BTreeMap<u64, u64>,
    version: u64,
    /// Its line cannot be read.
    unreadable: Option<u64>,
    fails: bool,
}

impl Service {
    fn change(&mut self, uid: u64, up: bool) {
        self.version += 1;
        self.all.insert(uid, up);
        self.changed.insert(uid, self.version);
    }

    /// Counts anew, from below, with a change that nobody was told of.
    fn restart(&mut self, uid: u64, up: bool) {
        self.version /= 2;
        self.all.insert(uid, up);
        self.changed = self.all.keys().map(|uid| (*uid, self.version)).collect();
    }

    fn serve(&mut self, asking: &mut ListSync, here: &mut BTreeMap<u64, bool>, now: &mut f64) {
        let call = call(asking, now);
        *now += WAY_MS;
        if std::mem::take(&mut self.fails) {
            asking.failed(*now, &call);
            return;
        }
        let since = match call.request {
            ListRequest::FullList => None,
            ListRequest::Changes { after, .. } => Some(after),
        };
        let told = |uid: &u64| since.is_none_or(|after| self.changed[uid] > after);
        if since.is_some() && !self.all.keys().any(told) {
            *now += wait(&call);
        }
        let lines: Vec<u64> = self.all.keys().copied().filter(told).collect();
        let skipped = lines.iter().filter(|uid| self.unreadable == Some(**uid)).count();
        let told = ListResponse { version: self.version, full: since.is_none(), skipped };
        if !asking.answered(*now, &call, told) {
            return;
        }
        if told.full {
            here.clear();
        }
        here.extend(
            lines.iter().filter(|uid| self.unreadable != Some(**uid)).map(|uid| (*uid, self.all[uid])),
        );
    }
}

fn target(uid: u64, up: bool) -> Target {
    let health = if up { Health::Up } else { Health::Draining };
    let backend = BackendId(uid);
    let entry = ListEntry { backend, zone: 0, cell: 0, health, units: 1.0, ready_at_ms: 0.0 };
    Target { entry, address: None, uid: uid.to_string().into() }
}

/// An answer that the service has written and that nobody has read yet.
struct Written {
    at: f64,
    call: ListCall,
    told: ListResponse,
    lines: BTreeMap<u64, bool>,
}

/// The list at a node whose calls are answered late, and the calls that are out.
#[derive(Default)]
struct LateList {
    here: BTreeMap<u64, bool>,
    current: Option<ListCall>,
    replaced: Vec<ListCall>,
    written: Vec<Written>,
    /// After which call each further address was moved to, and how much less its versions are.
    counts: Vec<(u64, u64)>,
    /// When each was last up again in the service.
    up_at: BTreeMap<u64, f64>,
    /// Whoever left by an answer of which nothing else held.
    departures: Departures,
    /// Whoever left by an answer that was read, and was not up again since that was written.
    departed: BTreeSet<u64>,
}

impl LateList {
    /// The service says something else of one.
    fn changed(&mut self, uid: u64, up: bool, now: f64) {
        if up {
            self.up_at.insert(uid, now);
            self.departed.remove(&uid);
        }
    }

    /// The service answers one of the calls that are out.
    fn write(&mut self, service: &Service, now: f64, which: usize) {
        let current = self.replaced.is_empty() || which == 0;
        let call =
            if current { self.current } else { Some(self.replaced.remove(which % self.replaced.len())) };
        let Some(call) = call.filter(|call| !self.written.iter().any(|w| w.call.number() == call.number()))
        else {
            return;
        };
        let count = self.counts.iter().rev().find(|(last_call, _)| *last_call < call.number());
        let less = count.map_or(0, |(_, less)| *less);
        let told = |uid: &u64| match call.request {
            ListRequest::FullList => true,
            ListRequest::Changes { after, .. } => service.changed[uid] - less > after,
        };
        let lines = service.all.iter().filter(|(uid, _)| told(uid)).map(|(uid, up)| (*uid, *up)).collect();
        let told = ListResponse {
            version: service.version - less,
            full: call.request == ListRequest::FullList,
            skipped: 0,
        };
        self.written.push(Written { at: now, call, told, lines });
    }

    /// The node reads one of the answers, in any order.
    fn read(&mut self, asking: &mut ListSync, now: f64, which: usize) {
        if self.written.is_empty() {
            return;
        }
        let Written { at, call, told, lines } = self.written.remove(which % self.written.len());
        self.replaced.retain(|replaced| replaced.number() != call.number());
        let current = self.current.is_some_and(|current| current.number() == call.number());
        let late = if current {
            self.current = None;
            let holds = asking.answered(now, &call, told);
            let departures = LateAnswer::Departures { omissions: false };
            if holds { LateAnswer::Holds } else { departures }
        } else {
            asking.answered_late(now, &call, told)
        };
        let still_out = |uid: &u64| self.up_at.get(uid).is_none_or(|up_at| *up_at < at);
        self.departed.extend(lines.iter().filter(|(uid, up)| !**up && still_out(uid)).map(|(uid, _)| uid));
        match late {
            LateAnswer::Outdated => {}
            LateAnswer::Holds => {
                if told.full {
                    self.here.clear();
                }
                let mut targets: Vec<Target> = lines.iter().map(|(uid, up)| target(*uid, *up)).collect();
                if self.departures.exclude_departed(call.number(), &mut targets) {
                    asking.request_full_list(now);
                }
                let up = |target: &Target| target.entry.health == Health::Up;
                self.here.extend(targets.iter().map(|target| (target.entry.backend.0, up(target))));
                self.replaced.extend(self.current.take());
            }
            LateAnswer::Departures { .. } => {
                let leave = lines.iter().filter(|(_, up)| !**up);
                let leave: Vec<u64> = leave.map(|(uid, _)| *uid).collect();
                let targets: Vec<Target> = leave.iter().map(|uid| target(*uid, false)).collect();
                self.departures.record(&targets, asking.last_call());
                if leave.iter().any(|uid| self.here.get(uid) != Some(&false)) {
                    asking.request_full_list(now);
                    // A watch that is out is replaced by the whole list.
                    if self.current.is_some_and(|current| current.request != ListRequest::FullList) {
                        self.replaced.extend(self.current.take());
                    }
                }
                self.here.extend(leave.iter().map(|uid| (*uid, false)));
            }
        }
    }
}

#[test]
fn a_line_that_cannot_be_read_leads_to_whole_lists_at_a_pace_that_slows() {
    for how in WAYS {
        let mut asking = ListSync::new(how, 10_000.0, Some(1), 3);
        asking.set_wanted(true);
        let (mut now, mut at) = (0.0, Vec::new());
        for version in 2..400 {
            let call = call(&mut asking, &mut now);
            now += 20.0;
            let all = call.request == ListRequest::FullList;
            at.extend(all.then_some(now));
            // Changes come all the time, and the same line is never right.
            assert!(asking.answered(
                now,
                &call,
                ListResponse { version, full: all, skipped: usize::from(all || version == 2) }
            ));
            assert_eq!(asking.version(), None, "it is not the version of a list that is known whole");
        }
        assert!(at[0] < 200.0, "{how:?}: soon: {at:?}");
        let last = at.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max);
        assert!(at.len() < 20 && last > 1000.0, "{how:?}: and not without end: {at:?}");
        let call = call(&mut asking, &mut now);
        assert!(asking.answered(now, &call, whole(500)));
        assert_eq!(asking.version(), Some(500));
    }
}

#[test]
fn a_service_that_does_not_wait_is_not_asked_without_end() {
    for how in WAYS {
        let mut asking = ListSync::new(how, 10_000.0, Some(1), 3);
        asking.set_wanted(true);
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
fn where_discovery_is_asked_the_decisions_pace_what_follows_a_failure_within_a_round() {
    let mut asking = ListSync::new(Discovery::OnRequest, 10_000.0, Some(1), 3);
    assert_eq!(asking.next(0.0), NextStep::Idle);
    assert_eq!(asking.next(1e6), NextStep::Idle, "until they wish it");
    asking.set_wanted(true);
    let mut now = 0.0;
    let reset = call(&mut asking, &mut now);
    assert!(asking.failed(now + 30.0, &reset));
    assert!(matches!(asking.next(now + 30.0), NextStep::Pause(ms) if ms > 2000.0), "not sooner by itself");
    asking.set_wanted(true);
    assert!(matches!(asking.next(now + 31.0), NextStep::Call(_)), "they wish it again");
    asking.set_wanted(false);
    assert_eq!(asking.next(now + 1e6), NextStep::Idle, "they wish for none");
}
