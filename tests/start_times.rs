//! Starts of backends on a node's own clock, which may be off: where it is right nothing moves, and where it is wrong a start is
//! taken for no older than it can be, and never for one of the future.

use daleturn::control::start_times::{LISTED_AFTER_MS, StartTimes};
use daleturn::interface::BackendId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const BACKEND: BackendId = BackendId(7);
const WALL_MS: f64 = 1.8e12;

fn fixed() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(30),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn a_clock_that_is_right_takes_starts_as_told(
        quiet in 0.0..60_000.0_f64, listed_after in 0.0..LISTED_AFTER_MS, asked_after in 0.0..60_000.0_f64,
    ) {
        let mut starts = StartTimes::default();
        starts.list_received(WALL_MS);
        let started = WALL_MS + quiet;
        let now = started + listed_after;
        starts.record(now, BACKEND, started);
        prop_assert_eq!(starts.local_start_ms(now + asked_after, BACKEND, started), started);
    }

    #[test]
    fn a_clock_that_is_wrong_is_off_by_no_more_than_the_silence_before(
        off in -3_600_000.0..3_600_000.0_f64, quiet in 0.0..20_000.0_f64, listed_after in 0.0..LISTED_AFTER_MS,
    ) {
        let mut starts = StartTimes::default();
        starts.list_received(WALL_MS + off);
        let started = WALL_MS + quiet;
        let now = started + listed_after + off;
        starts.record(now, BACKEND, started);
        starts.list_received(now);
        let own = starts.local_start_ms(now, BACKEND, started);
        prop_assert!(own <= now, "{own} is after {now}");
        prop_assert!(own >= WALL_MS + off - LISTED_AFTER_MS, "{own} is before it could have been listed");
        // Told again and again it stays the same, and a later start is later.
        let later = now + 1000.0;
        starts.record(later, BACKEND, started);
        prop_assert_eq!(starts.local_start_ms(later, BACKEND, started), own);
        starts.record(later, BACKEND, started + 500.0);
        prop_assert!(starts.local_start_ms(later, BACKEND, started + 500.0) > own);
    }
}

#[test]
fn what_was_listed_from_the_first_and_what_started_long_ago_is_taken_as_told() {
    let mut starts = StartTimes::default();
    starts.record(WALL_MS, BACKEND, WALL_MS - 7_200_000.0);
    assert_eq!(starts.local_start_ms(WALL_MS, BACKEND, WALL_MS - 7_200_000.0), WALL_MS - 7_200_000.0);
    starts.list_received(WALL_MS);
    let other = BackendId(8);
    starts.record(WALL_MS + 10.0, other, 0.0);
    assert_eq!(starts.local_start_ms(WALL_MS + 10.0, other, 0.0), 0.0);
    // It is gone for a list and back with the same start.
    starts.record(WALL_MS + 20_000.0, BACKEND, WALL_MS - 7_200_000.0);
    assert_eq!(
        starts.local_start_ms(WALL_MS + 20_000.0, BACKEND, WALL_MS - 7_200_000.0),
        WALL_MS - 7_200_000.0
    );
}
