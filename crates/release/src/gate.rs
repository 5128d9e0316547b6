//! The gate: compares members on the new version with the remaining members over the same period. It tests
//! the difference of two failure rates and of two mean response times. A difference is a breach if it
//! exceeds the plan's limit and is statistically significant.

use crate::plan::Gate;
use serde::{Deserialize, Serialize};

/// Number of standard errors from which a difference is significant in an evaluation during the watch. It is
/// higher than at the end, because there are many such evaluations and each could raise a false alarm.
const EARLY_STANDARD_ERRORS: f64 = 4.5;
/// Number of standard errors from which a difference is significant at the end of the watch.
const FINAL_STANDARD_ERRORS: f64 = 3.5;

/// Number of failures from which a group of 40 to 99 attempts is large enough to compare.
const MIN_FAILURES: u64 = 8;

/// Traffic of a group of members over a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Attempts that were answered.
    pub done: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Sum of the response times of answered attempts, in milliseconds.
    pub ms: f64,
    /// Sum of the squares of these response times, in square milliseconds.
    pub ms_squared: f64,
}

impl Sample {
    /// Adds another group's traffic.
    pub fn add(&mut self, other: &Sample) {
        self.done += other.done;
        self.failed += other.failed;
        self.ms += other.ms;
        self.ms_squared += other.ms_squared;
    }

    /// Returns the traffic since an earlier sample. If the counters were reset meanwhile, returns the
    /// current values.
    pub fn since(&self, before: &Sample) -> Sample {
        if self.done < before.done || self.failed < before.failed {
            return *self;
        }
        Sample {
            done: self.done - before.done,
            failed: self.failed - before.failed,
            ms: (self.ms - before.ms).max(0.0),
            ms_squared: (self.ms_squared - before.ms_squared).max(0.0),
        }
    }

    fn attempts(&self) -> f64 {
        (self.done + self.failed) as f64
    }

    fn mean_and_variance(&self) -> (f64, f64) {
        let n = (self.done as f64).max(1.0);
        let mean = self.ms / n;
        // The second value is the variance of the mean.
        (mean, ((self.ms_squared / n - mean * mean).max(0.0)) / n)
    }
}

/// Result of an evaluation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GateResult {
    /// Too little traffic for a result.
    InsufficientTraffic,
    /// No significant difference above the plan's limits.
    Pass,
    /// A breach, with its description.
    Breach(String),
}

/// Compares the two groups. `is_final` marks the evaluation at the end of the watch.
pub fn evaluate(new: &Sample, rest: &Sample, gate: &Gate, is_final: bool) -> GateResult {
    let threshold = if is_final { FINAL_STANDARD_ERRORS } else { EARLY_STANDARD_ERRORS };
    let (new_count, rest_count) = (new.attempts(), rest.attempts());
    // A failing member receives less traffic, so a small group suffices if enough of its attempts failed.
    let is_large_enough = new_count >= 100.0 || (new_count >= 40.0 && new.failed >= MIN_FAILURES);
    if is_large_enough && rest_count >= 100.0 {
        let (new_rate, rest_rate) = (new.failed as f64 / new_count, rest.failed as f64 / rest_count);
        let pooled = (new.failed + rest.failed) as f64 / (new_count + rest_count);
        let standard_error = (pooled * (1.0 - pooled) * (1.0 / new_count + 1.0 / rest_count)).sqrt();
        if new_rate - rest_rate > gate.errors_percent / 100.0
            && new_rate - rest_rate > threshold * standard_error
        {
            return GateResult::Breach(format!(
                "{:.2} % of {new_count:.0} fail, {:.2} % of the rest's {rest_count:.0}",
                100.0 * new_rate,
                100.0 * rest_rate
            ));
        }
        let ((new_mean, new_variance), (rest_mean, rest_variance)) =
            (new.mean_and_variance(), rest.mean_and_variance());
        if new_mean - rest_mean > rest_mean * gate.slower_percent / 100.0
            && new_mean - rest_mean > threshold * (new_variance + rest_variance).sqrt()
        {
            return GateResult::Breach(format!(
                "answers take {new_mean:.1} ms, the rest's {rest_mean:.1} ms"
            ));
        }
    }
    if new_count < gate.least as f64 || rest_count < gate.least as f64 {
        GateResult::InsufficientTraffic
    } else {
        GateResult::Pass
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Draws one second of a group's traffic: `attempts` attempts, a share `failing` of which fail, with
    /// exponentially distributed response times.
    fn sample_one_second(rng: &mut fastrand::Rng, attempts: u64, failing: f64, mean_ms: f64) -> Sample {
        let mut s = Sample::default();
        for _ in 0..attempts {
            if rng.f64() < failing {
                s.failed += 1;
            } else {
                let ms = -mean_ms * rng.f64().max(1e-12).ln();
                (s.done, s.ms, s.ms_squared) = (s.done + 1, s.ms + ms, s.ms_squared + ms * ms);
            }
        }
        s
    }

    /// Simulates a stage's watch with 60 evaluations and returns whether it ends in a breach.
    fn is_breach(seed: u64, added_failures: f64, slowdown: f64) -> bool {
        let (mut rng, gate) = (fastrand::Rng::with_seed(seed), Gate::default());
        let (mut new, mut rest) = (Sample::default(), Sample::default());
        (0..60).any(|n| {
            new.add(&sample_one_second(&mut rng, 50, 0.01 + added_failures, 50.0 * slowdown));
            rest.add(&sample_one_second(&mut rng, 250, 0.01, 50.0));
            matches!(evaluate(&new, &rest, &gate, n == 59), GateResult::Breach(_))
        })
    }

    #[test]
    fn false_alarms_and_missed_breaches_are_rare() {
        let count =
            |failing: f64, slower: f64| (0..1000).filter(|s| is_breach(*s, failing, slower)).count();
        let (none, errors, slow) = (count(0.0, 1.0), count(0.02, 1.0), count(0.0, 1.2));
        println!("of 1000: no difference {none} alarms, 2 % more errors {errors}, 20 % slower {slow}");
        assert!(none <= 2, "{none}");
        assert!(errors >= 980, "{errors}");
        assert!(slow >= 980, "{slow}");
    }

    #[test]
    fn insufficient_traffic_does_not_pass() {
        let few = Sample { done: 90, ..Sample::default() };
        let many = Sample { done: 90_000, ..Sample::default() };
        let gate = Gate::default();
        assert_eq!(evaluate(&few, &many, &gate, true), GateResult::InsufficientTraffic);
        assert_eq!(evaluate(&many, &few, &gate, true), GateResult::InsufficientTraffic);
        assert_eq!(evaluate(&many, &many, &gate, false), GateResult::Pass);
    }

    #[test]
    fn reset_counters_count_from_zero() {
        let before = Sample { done: 50, failed: 2, ms: 9.0, ms_squared: 9.0 };
        let after = Sample { done: 7, failed: 0, ms: 3.0, ms_squared: 2.0 };
        assert_eq!(after.since(&before), after);
        assert_eq!(before.since(&before), Sample::default());
    }
}
