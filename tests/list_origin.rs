//! Which of two lists is newer, and what a process takes over from another process of its node: an older list
//! never replaces a newer one, whatever was on its way.

use daleturn::control::list_origin::{Adoption, ListOrigin, ListSource, UpdateKind};
use daleturn::control::list_sync::{LateAnswer, ListCall, ListResponse, ListSync, NextStep};
use daleturn::control::start_times::StartTimes;
use daleturn::control::subset::{Subset, Target};
use daleturn::interface::{BackendId, Discovery, Health, ListEntry, ListKind, Settings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;
use std::net::SocketAddr;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(51),
        ..ProptestConfig::default()
    }
}

fn service(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn origin(version: u64, asked_ms: f64, received_ms: f64) -> ListOrigin {
    ListOrigin { discovery: service(1), version, asked_ms, received_ms }
}

fn handed_over(origin: ListOrigin) -> ListSource {
    ListSource::Discovery { origin, handed_over: true }
}

/// Makes the first call of a node that knows this version.
fn first_call(mode: Discovery, known: u64) -> (ListSync, ListCall) {
    let mut sync = ListSync::new(mode, 10_000.0, Some(known), 7);
    sync.set_wanted(true);
    let NextStep::Call(call) = sync.next(0.0) else { panic!("a call is due") };
    (sync, call)
}

proptest! {
    #![proptest_config(config())]

    /// A service answers two calls, and begins to count anew at some time. A response that was written later is
    /// never taken for the older one, unless both calls were under way when the count began anew.
    #[test]
    fn a_response_that_was_written_later_is_not_older(
        asked in prop::array::uniform2(0.0..100.0_f64), until_written in prop::array::uniform2(0.0..50.0_f64),
        until_read in prop::array::uniform2(0.1..50.0_f64), restarts_at in 0.0..300.0_f64,
    ) {
        let written = [asked[0] + until_written[0], asked[1] + until_written[1]];
        let version_at = |at: f64| if at < restarts_at { 1000 + at as u64 } else { (at - restarts_at) as u64 };
        let response = |n: usize| origin(version_at(written[n]), asked[n], written[n] + until_read[n]);
        let (first, second) = (response(0), response(1));
        prop_assert!(!(first.is_newer_than(&second) && second.is_newer_than(&first)));
        prop_assert!(!first.is_newer_than(&first));
        let overlap = asked[0] < second.received_ms && asked[1] < first.received_ms;
        let is_counted_alike = (written[0] < restarts_at) == (written[1] < restarts_at);
        if written[0] < written[1] && (is_counted_alike || !overlap) {
            prop_assert!(!first.is_newer_than(&second), "{first:?} {second:?}");
            prop_assert!(second.is_newer_than(&first) || second.version == first.version);
        }
    }

    /// A response to a call that was under way when a list was adopted cannot undo that list.
    #[test]
    fn an_adopted_list_is_not_undone_by_a_response_on_its_way(
        pushed: bool, known in 1_u64..50, adopted in 1_u64..100, answered in 1_u64..100, full: bool,
    ) {
        let mode = if pushed { Discovery::Pushed } else { Discovery::OnRequest };
        let (mut sync, call) = first_call(mode, known);
        sync.adopted(Some(adopted), Some(adopted));
        prop_assert_eq!(sync.version(), Some(adopted));
        let late = sync.answered_late(10.0, &call, ListResponse { version: answered, full, skipped: 0 });
        let expected = if answered <= adopted {
            LateAnswer::Outdated
        } else {
            LateAnswer::Departures { omissions: true }
        };
        prop_assert_eq!(late, expected);
    }

    /// A long list that is read in slices is complete, whatever the size of the slices.
    #[test]
    fn slices_of_a_list_contain_every_line(lines in prop::collection::btree_set(any::<u64>(), 0..200), count in 1_usize..50) {
        let (settings, _) = daleturn::wire::settings(
            r#"{"areas": ["a", "b"], "zone": "a", "classes": [{"name": "x", "hardLimitMs": 1}], "prices": {"crossArea": 1.0},
                "rules": {"coldMs": 1, "startCapacity": 1, "fallMultiple": 1, "fallMs": 1}}"#,
        ).unwrap();
        let subset = subset_of(&lines, &settings);
        let (mut position, mut read) = (None, Vec::new());
        loop {
            let slice = subset.lines_after(position, count);
            let Some((last, _)) = slice.last() else { break };
            position = Some(*last);
            read.extend(slice.iter().map(|(_, line)| line.entry.backend.0));
        }
        prop_assert_eq!(read.len(), lines.len());
        prop_assert_eq!(read.into_iter().collect::<BTreeSet<_>>(), lines);
    }

    /// The start of a backend stays the same instant in a process whose wall clock differs.
    #[test]
    fn a_restored_start_keeps_its_age(age in 0.0..20_000.0_f64, step in -3_600_000.0..3_600_000.0_f64) {
        let (now, backend) = (1.8e12, BackendId(7));
        let reported = now - age;
        let mut starts = StartTimes::default();
        starts.restore(backend, reported, now + step - age);
        starts.list_received(now + step);
        starts.record(now + step + 100.0, backend, reported);
        prop_assert_eq!(starts.local_start_ms(now + step + 100.0, backend, reported), now + step - age);
    }
}

/// Returns a list of backends that are up, half of them in each of two zones.
fn subset_of(ids: &BTreeSet<u64>, settings: &Settings) -> Subset {
    let mut subset = Subset::new(0, settings);
    let line = |id: &u64| Target {
        entry: ListEntry {
            backend: BackendId(*id),
            zone: u16::from(id.is_multiple_of(2)),
            cell: 0,
            health: Health::Up,
            units: 1.0,
            ready_at_ms: 0.0,
        },
        address: None,
        uid: id.to_string().into(),
    };
    subset.apply(ListKind::Full, ids.iter().map(line).collect());
    subset
}

#[test]
fn a_list_is_compared_with_the_configured_one_by_what_both_processes_started_with() {
    let update = origin(5, 10.0, 20.0);
    let adoption = |source: ListSource, started_with| {
        source.adoption(UpdateKind::Full(started_with), &update, service(1))
    };
    assert_eq!(adoption(ListSource::None, None), Adoption::All);
    assert_eq!(adoption(ListSource::Configured(4), None), Adoption::All);
    // The service has begun to count anew since the old process started with the same file.
    assert_eq!(adoption(ListSource::Configured(9), Some(9)), Adoption::All);
    assert_eq!(adoption(ListSource::Configured(9), Some(4)), Adoption::Nothing);
    // A service at another address counts otherwise.
    let elsewhere = ListSource::Configured(9).adoption(UpdateKind::Full(Some(4)), &update, service(2));
    assert_eq!(elsewhere, Adoption::All);
    assert_eq!(adoption(ListSource::Stored { version: 9, stored_ms: 0.0 }, None), Adoption::All);
}

#[test]
fn changes_apply_to_a_list_that_they_continue_and_otherwise_departures_alone() {
    let update = origin(8, 10.0, 20.0);
    let adoption = |own: ListOrigin, kind| handed_over(own).adoption(kind, &update, service(1));
    let changes = UpdateKind::Changes(5);
    assert_eq!(adoption(origin(5, 0.0, 1.0), changes), Adoption::All);
    assert_eq!(adoption(origin(7, 0.0, 11.0), changes), Adoption::All);
    assert_eq!(adoption(origin(4, 0.0, 1.0), changes), Adoption::Departures);
    assert_eq!(adoption(origin(8, 0.0, 11.0), changes), Adoption::Nothing);
    assert_eq!(adoption(origin(3, 21.0, 22.0), changes), Adoption::Nothing, "asked later");
    let elsewhere = ListOrigin { discovery: service(2), ..origin(7, 0.0, 11.0) };
    assert_eq!(adoption(elsewhere, changes), Adoption::Departures);
    assert_eq!(adoption(origin(4, 0.0, 1.0), UpdateKind::Departures), Adoption::Departures);
    assert_eq!(adoption(origin(4, 0.0, 1.0), UpdateKind::Full(None)), Adoption::All);
}
