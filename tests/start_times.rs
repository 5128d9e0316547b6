//! Start times of backends on a node's own clock. If the clock is right, start times do not change; if it is
//! wrong, a backend is taken for no older than it can be, and never for one that starts in the future.

use daleturn::control::start_times::{LISTED_AFTER_MS, StartTimes};
use daleturn::interface::BackendId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const BACKEND: BackendId = BackendId(7);
const WALL_MS: f64 = 1.8e12;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(30),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_correct_clock_takes_start_times_as_reported(
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
    fn a_wrong_clock_errs_by_no_more_than_the_time_since_the_last_list(
        clock_error in -3_600_000.0..3_600_000.0_f64, quiet in 0.0..20_000.0_f64, listed_after in 0.0..LISTED_AFTER_MS,
    ) {
        let mut starts = StartTimes::default();
        starts.list_received(WALL_MS + clock_error);
        let started = WALL_MS + quiet;
        let now = started + listed_after + clock_error;
        starts.record(now, BACKEND, started);
        starts.list_received(now);
        let local = starts.local_start_ms(now, BACKEND, started);
        prop_assert!(local <= now, "{local} is after {now}");
        prop_assert!(
            local >= WALL_MS + clock_error - LISTED_AFTER_MS,
            "{local} is before it could have been listed"
        );
        // Repeated reports do not change the start time, and a later start stays later.
        let later = now + 1000.0;
        starts.record(later, BACKEND, started);
        prop_assert_eq!(starts.local_start_ms(later, BACKEND, started), local);
        starts.record(later, BACKEND, started + 500.0);
        prop_assert!(starts.local_start_ms(later, BACKEND, started + 500.0) > local);
    }
}

#[test]
fn starts_in_the_first_list_and_starts_of_long_ago_are_taken_as_reported() {
    let mut starts = StartTimes::default();
    starts.record(WALL_MS, BACKEND, WALL_MS - 7_200_000.0);
    assert_eq!(starts.local_start_ms(WALL_MS, BACKEND, WALL_MS - 7_200_000.0), WALL_MS - 7_200_000.0);
    starts.list_received(WALL_MS);
    let other = BackendId(8);
    starts.record(WALL_MS + 10.0, other, 0.0);
    assert_eq!(starts.local_start_ms(WALL_MS + 10.0, other, 0.0), 0.0);
    // The backend was missing from one list and is back with the same start time.
    starts.record(WALL_MS + 20_000.0, BACKEND, WALL_MS - 7_200_000.0);
    assert_eq!(
        starts.local_start_ms(WALL_MS + 20_000.0, BACKEND, WALL_MS - 7_200_000.0),
        WALL_MS - 7_200_000.0
    );
}
