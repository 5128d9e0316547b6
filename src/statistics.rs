//! Statistics that decay with time: failure windows, frequency sketches, rates and means. They decide nothing; what
//! follows from a value is decided in `src/policy/`.

use crate::interface::Load;

/// Buckets of a failure window. The window spans all of them; the newest one is being filled. The congestion paper
/// keeps 16 complete buckets besides that one.
const BUCKETS: usize = 16;

/// Failures and tries within a sliding window of buckets.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureWindow {
    /// Failures and tries of each bucket.
    buckets: [(u16, u16); BUCKETS],
    /// Number of the newest bucket, counted from time 0.
    newest: u64,
}

impl FailureWindow {
    /// Clears the buckets that have left the window since the last call.
    fn advance(&mut self, now: f64, window: f64) {
        let newest = (now.max(0.0) / (window / BUCKETS as f64)) as u64;
        let passed = newest.saturating_sub(self.newest).min(BUCKETS as u64);
        for i in 0..passed {
            self.buckets[((newest - i) % BUCKETS as u64) as usize] = (0, 0);
        }
        self.newest = self.newest.max(newest);
    }

    /// Counts one try at `now` in a window of `window` milliseconds.
    pub(crate) fn record(&mut self, now: f64, window: f64, failed: bool) {
        self.advance(now, window);
        let bucket = &mut self.buckets[(self.newest % BUCKETS as u64) as usize];
        bucket.0 = bucket.0.saturating_add(u16::from(failed));
        bucket.1 = bucket.1.saturating_add(1);
    }

    /// Returns the failures and the tries in the window, as of the last try.
    pub(crate) fn totals(&self) -> (f64, f64) {
        self.buckets.iter().fold((0.0, 0.0), |(f, t), b| (f + f64::from(b.0), t + f64::from(b.1)))
    }

    /// Clears all buckets.
    pub(crate) fn clear(&mut self) {
        self.buckets = Default::default();
    }
}

/// Pressure of a backend, its load as a share from 0 to 1, by its last reports.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pressure {
    value: f64,
    /// Time of the last report, 0 before the first.
    reported_at: f64,
}

impl Pressure {
    /// Time constant with which a report loses its weight, in milliseconds.
    const DECAY_MS: f64 = 10_000.0;

    /// Estimates the pressure at `now`: the reported value, which decays towards the mean of all backends.
    pub(crate) fn estimate(self, now: f64, mean: f64) -> f64 {
        if self.reported_at == 0.0 {
            return mean;
        }
        mean + (self.value - mean) * (-(now - self.reported_at) / Pressure::DECAY_MS).exp()
    }

    /// Updates the estimate by a report. A report soon after another counts less, because both show the noise of the
    /// same moment.
    pub(crate) fn update(&mut self, now: f64, mean: f64, value: f64) {
        let known = self.estimate(now, mean);
        let step = if self.reported_at == 0.0 {
            1.0
        } else {
            0.3 + 0.7 * (1.0 - (-(now - self.reported_at) / 1000.0).exp())
        };
        *self = Pressure { value: known + step * (value - known), reported_at: now };
    }
}

/// Requests for each key at this node, counted in a sketch of two rows that decays.
#[derive(Debug)]
pub(crate) struct KeyCounts {
    rows: [Vec<f32>; 2],
    total: f64,
}

impl KeyCounts {
    /// Counters of each row.
    const SLOTS: usize = 2048;
    /// Time constant of the decay, in milliseconds: long enough for a node with few requests per second to see a hot
    /// key again.
    const DECAY_MS: f64 = 15_000.0;
    /// Lowest total that shares are computed from: with fewer requests no key's share can be large.
    const MIN_TOTAL: f64 = 20.0;

    pub(crate) fn new() -> KeyCounts {
        KeyCounts { rows: [vec![0.0; KeyCounts::SLOTS], vec![0.0; KeyCounts::SLOTS]], total: 0.0 }
    }

    fn slots(key: u64) -> [usize; 2] {
        [key as usize % KeyCounts::SLOTS, (key >> 32) as usize % KeyCounts::SLOTS]
    }

    /// Counts one request for a key.
    pub(crate) fn record(&mut self, key: u64) {
        for (row, slot) in self.rows.iter_mut().zip(KeyCounts::slots(key)) {
            row[slot] += 1.0;
        }
        self.total += 1.0;
    }

    /// Lets the counts decay by `seconds`.
    pub(crate) fn decay(&mut self, seconds: f64) {
        let keep = (-seconds * 1000.0 / KeyCounts::DECAY_MS).exp();
        self.rows.iter_mut().flatten().for_each(|n| *n *= keep as f32);
        self.total *= keep;
    }

    /// Returns the part of the traffic that is for this key. One request is left out: it shows no frequency.
    pub(crate) fn share(&self, key: u64) -> f64 {
        let [a, b] = KeyCounts::slots(key);
        let count = self.rows[0][a].min(self.rows[1][b]);
        f64::from(count - 1.0).max(0.0) / self.total.max(KeyCounts::MIN_TOTAL)
    }
}

/// Statistics of the requests of one class at this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassStatistics {
    /// Mean time of answers, an estimate of the class's work.
    pub(crate) mean_ms: f64,
    /// Mean absolute deviation from `mean_ms`.
    pub(crate) deviation_ms: f64,
    /// Answers recorded so far.
    pub(crate) answers: u64,
    /// Time that four of five answers stay below.
    pub(crate) p80_ms: f64,
    /// The same percentile without overload: follows `p80_ms` down at once, and up by 1 percent per second.
    pub(crate) usual_ms: f64,
    /// Requests by the time that their clients allow, in hundredths of the deadline.
    time_limits: Vec<u32>,
    /// Index of the largest count in `time_limits`.
    usual_limit: usize,
    /// Recent first tries, decaying.
    pub(crate) requests: f64,
    /// Recent requests answered within the aim, decaying.
    pub(crate) served: f64,
}

impl ClassStatistics {
    /// Estimates the time in milliseconds that a client has spent on earlier tries of a request; 0 for a first try.
    /// Clients give all their first tries the same time, the most common one. A try with less time, or with more
    /// (the client's last), shows by its deadline when the first try began.
    pub(crate) fn request_age(&mut self, given_ms: f64, deadline_ms: f64) -> f64 {
        if self.time_limits.is_empty() {
            self.time_limits = vec![0; 101];
        }
        let bin = ((given_ms / deadline_ms * 100.0).round().clamp(0.0, 100.0)) as usize;
        self.time_limits[bin] += 1;
        if self.time_limits[bin] > self.time_limits[self.usual_limit] {
            self.usual_limit = bin;
        }
        if self.time_limits[bin] > 1000 {
            self.time_limits.iter_mut().for_each(|n| *n /= 2);
        }
        let known = self.time_limits[self.usual_limit] >= 8 && bin.abs_diff(self.usual_limit) > 2;
        if known { (deadline_ms - given_ms).max(0.0) } else { 0.0 }
    }

    /// Lets the counts of requests decay with a time constant of twenty seconds, and the usual time rise by 1 percent
    /// per second, to `p80_ms` at most.
    pub(crate) fn decay(&mut self, seconds: f64) {
        let keep = (-seconds / 20.0_f64).exp();
        (self.requests, self.served) = (self.requests * keep, self.served * keep);
        self.usual_ms = (self.usual_ms * (1.0 + 0.01 * seconds)).min(self.p80_ms);
    }

    /// Records the time of an answer, in milliseconds.
    pub(crate) fn record_answer(&mut self, elapsed: f64) {
        let step = if self.answers < 20 { 1.0 / (self.answers as f64 + 1.0) } else { 0.02 };
        self.answers += 1;
        if self.answers < 20 {
            (self.p80_ms, self.usual_ms) = (self.mean_ms, self.mean_ms);
        }
        self.p80_ms *= if elapsed > self.p80_ms { 1.02 } else { 0.995 };
        self.deviation_ms += step * ((elapsed - self.mean_ms).abs() - self.deviation_ms);
        self.mean_ms += step * (elapsed - self.mean_ms);
    }
}

/// Returns the pressure that a load report shows, 0 to 1: the busy share of the cores or, where only the queue is
/// reported, the work in the queue relative to the aim (an eighth of the aim counts as 0.5).
pub(crate) fn reported_pressure(load: &Load, aim: f64) -> Option<f64> {
    let queued =
        load.queue.or(load.in_hand).zip(load.latency_ms).map(|(n, ms)| n * ms / (n * ms + aim / 8.0));
    load.busy.or(queued).map(|p| p.clamp(0.0, 1.0))
}

/// Rates of several sources in events per second, as means with a time constant of two seconds.
#[derive(Debug, Default)]
pub(crate) struct DecayingRates {
    rates: Vec<f64>,
    counts: Vec<u32>,
}

impl DecayingRates {
    /// Changes the number of sources. New ones begin at 0.
    pub(crate) fn resize(&mut self, sources: usize) {
        self.rates.resize(sources, 0.0);
        self.counts.resize(sources, 0);
    }

    /// Counts one event of a source.
    pub(crate) fn record(&mut self, source: usize) {
        self.counts[source] += 1;
    }

    /// Returns the rate of a source as of the last tick.
    pub(crate) fn rate(&self, source: usize) -> f64 {
        self.rates[source]
    }

    /// Updates the rates by the events of the last `seconds`.
    pub(crate) fn tick(&mut self, seconds: f64) {
        let keep = (-seconds / 2.0_f64).exp();
        for (rate, count) in self.rates.iter_mut().zip(&mut self.counts) {
            *rate = *rate * keep + f64::from(*count) / seconds * (1.0 - keep);
            *count = 0;
        }
    }
}

/// Peak of the mean rate per source, in events per second. The peak decays slowly.
#[derive(Debug, Default)]
pub(crate) struct DecayingPeak {
    /// Highest recent rate of one source.
    pub(crate) peak: f64,
    /// Present rate of one source, as a mean with a time constant of two seconds.
    current: f64,
    count: f64,
}

impl DecayingPeak {
    /// Counts one event.
    pub(crate) fn record(&mut self) {
        self.count += 1.0;
    }

    /// Updates the rate by the events of `sources` sources within `seconds`. `decay_ms` is the time constant of the
    /// peak.
    pub(crate) fn tick(&mut self, seconds: f64, sources: usize, decay_ms: f64) {
        let keep = (-seconds / 2.0_f64).exp();
        if sources > 0 {
            let rate = self.count / seconds / sources as f64;
            self.current = self.current * keep + rate * (1.0 - keep);
        }
        self.peak = (self.peak * (-seconds * 1000.0 / decay_ms.max(1.0)).exp()).max(self.current);
        self.count = 0.0;
    }
}

/// Weighted sums of good and bad outcomes and their number. All decay within about a second, slowly enough that small
/// nodes still have some.
#[derive(Debug, Default)]
pub(crate) struct OutcomeBalance {
    good: f64,
    bad: f64,
    count: f64,
}

impl OutcomeBalance {
    /// Adds weights of good and bad outcomes, and the number of outcomes that they stand for.
    pub(crate) fn record(&mut self, good: f64, bad: f64, count: f64) {
        self.good += good;
        self.bad += bad;
        self.count += count;
    }

    /// Returns the bad share of the weight, 0 to 1, reduced where the outcomes are few.
    pub(crate) fn bad_share(&self) -> f64 {
        self.bad / (self.good + self.bad).max(1e-9) * self.count / (self.count + 2.0)
    }

    /// Lets the sums decay by `seconds`.
    pub(crate) fn decay(&mut self, seconds: f64) {
        let keep = (-seconds / 0.5_f64).exp();
        (self.good, self.bad, self.count) = (self.good * keep, self.bad * keep, self.count * keep);
    }
}

/// Mixes the bits of a number: each bit of the input affects all bits of the result.
pub(crate) fn mix_bits(mut h: u64) -> u64 {
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}
