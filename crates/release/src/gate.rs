//! Whether the members on the new version do as well as the rest at the same time. Two proportions and two means, each
//! against the rest; a difference is a breach when it is larger than the plan allows and no chance.

use crate::plan::Gate;
use serde::{Deserialize, Serialize};

/// Standard errors from which a difference is no chance, at a look before the watch is over, and at its end. Looks are
/// many, so each of them asks more.
const EARLY: f64 = 4.5;
const LAST: f64 = 3.5;

/// Failures without which a few dozen attempts say nothing.
const FAILED: u64 = 8;

/// What a group of members has done within a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Attempts that were answered.
    pub done: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Sum of the answers' times, in milliseconds, and of their squares.
    pub ms: f64,
    /// See above.
    pub ms_squared: f64,
}

impl Sample {
    /// Both together.
    pub fn add(&mut self, other: &Sample) {
        self.done += other.done;
        self.failed += other.failed;
        self.ms += other.ms;
        self.ms_squared += other.ms_squared;
    }

    /// What came since an earlier one; counters that started anew count from there.
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

    fn all(&self) -> f64 {
        (self.done + self.failed) as f64
    }

    fn mean(&self) -> (f64, f64) {
        let n = (self.done as f64).max(1.0);
        let mean = self.ms / n;
        // The variance of the mean.
        (mean, ((self.ms_squared / n - mean * mean).max(0.0)) / n)
    }
}

/// What a look shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Shows {
    /// Too little traffic to tell.
    Little,
    /// No difference that matters.
    Fine,
    /// One that does, in words.
    Worse(String),
}

/// Looks at both groups; `last`: the watch is over.
pub fn look(new: &Sample, rest: &Sample, gate: &Gate, last: bool) -> Shows {
    let sure = if last { LAST } else { EARLY };
    let (n, m) = (new.all(), rest.all());
    // A member that fails is sent less: a few dozen attempts must do, if enough of them failed.
    let enough = n >= 100.0 || (n >= 40.0 && new.failed >= FAILED);
    if enough && m >= 100.0 {
        let (p, q) = (new.failed as f64 / n, rest.failed as f64 / m);
        let pooled = (new.failed + rest.failed) as f64 / (n + m);
        let error = (pooled * (1.0 - pooled) * (1.0 / n + 1.0 / m)).sqrt();
        if p - q > gate.errors_percent / 100.0 && p - q > sure * error {
            return Shows::Worse(format!(
                "{:.2} % of {n:.0} fail, {:.2} % of the rest's {m:.0}",
                100.0 * p,
                100.0 * q
            ));
        }
        let ((a, va), (b, vb)) = (new.mean(), rest.mean());
        if a - b > b * gate.slower_percent / 100.0 && a - b > sure * (va + vb).sqrt() {
            return Shows::Worse(format!("answers take {a:.1} ms, the rest's {b:.1} ms"));
        }
    }
    if n < gate.least as f64 || m < gate.least as f64 { Shows::Little } else { Shows::Fine }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A group's second: so many attempts, a part of which fail, with times around a mean that vary as much as it.
    fn second(rng: &mut fastrand::Rng, attempts: u64, failing: f64, mean_ms: f64) -> Sample {
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

    /// Plays a stage's watch of 60 looks and says whether it was a breach.
    fn breach(seed: u64, more_failing: f64, slower: f64) -> bool {
        let (mut rng, gate) = (fastrand::Rng::with_seed(seed), Gate::default());
        let (mut new, mut rest) = (Sample::default(), Sample::default());
        (0..60).any(|n| {
            new.add(&second(&mut rng, 50, 0.01 + more_failing, 50.0 * slower));
            rest.add(&second(&mut rng, 250, 0.01, 50.0));
            matches!(look(&new, &rest, &gate, n == 59), Shows::Worse(_))
        })
    }

    #[test]
    fn alarms_are_hardly_ever_false_and_what_matters_is_hardly_ever_missed() {
        let count = |failing: f64, slower: f64| (0..1000).filter(|s| breach(*s, failing, slower)).count();
        let (none, errors, slow) = (count(0.0, 1.0), count(0.02, 1.0), count(0.0, 1.2));
        println!("of 1000: no difference {none} alarms, 2 % more errors {errors}, 20 % slower {slow}");
        assert!(none <= 2, "{none}");
        assert!(errors >= 980, "{errors}");
        assert!(slow >= 980, "{slow}");
    }

    #[test]
    fn too_little_traffic_never_passes() {
        let few = Sample { done: 90, ..Sample::default() };
        let many = Sample { done: 90_000, ..Sample::default() };
        let gate = Gate::default();
        assert_eq!(look(&few, &many, &gate, true), Shows::Little);
        assert_eq!(look(&many, &few, &gate, true), Shows::Little);
        assert_eq!(look(&many, &many, &gate, false), Shows::Fine);
    }

    #[test]
    fn counters_that_start_anew_count_from_there() {
        let before = Sample { done: 50, failed: 2, ms: 9.0, ms_squared: 9.0 };
        let after = Sample { done: 7, failed: 0, ms: 3.0, ms_squared: 2.0 };
        assert_eq!(after.since(&before), after);
        assert_eq!(before.since(&before), Sample::default());
    }
}
