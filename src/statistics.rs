//! What is counted and averaged: windows, sketches, means that fade. It decides nothing; what follows from a
//! figure is `src/policy/`'s to say.

use crate::interface::Load;

/// Buckets of the failure window (the source keeps 16 and one in the making).
const BUCKETS: usize = 16;

/// Failures and tries within a window of buckets.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureWindow {
    buckets: [(u16, u16); BUCKETS],
    newest: u64,
}

impl FailureWindow {
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

    /// Failures and tries that are in it.
    pub(crate) fn totals(&self) -> (f64, f64) {
        self.buckets.iter().fold((0.0, 0.0), |(f, t), b| (f + f64::from(b.0), t + f64::from(b.1)))
    }

    /// Forgets all of them.
    pub(crate) fn clear(&mut self) {
        self.buckets = Default::default();
    }
}

/// How pressed a backend is by its last reports, 0 to 1, and when that was heard.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pressure {
    value: f64,
    reported_at: f64,
}

impl Pressure {
    /// After this long a report says nothing any more, in milliseconds.
    const DECAY_MS: f64 = 10_000.0;

    /// What is left of it at `now`: it returns to what backends are like at large.
    pub(crate) fn estimate(self, now: f64, mean: f64) -> f64 {
        if self.reported_at == 0.0 {
            return mean;
        }
        mean + (self.value - mean) * (-(now - self.reported_at) / Pressure::DECAY_MS).exp()
    }

    /// Takes in a report. One that follows another soon counts less: it is noise of the same moment.
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

/// How often each key is asked for at this node, counted in two rows of a sketch that fades.
#[derive(Debug)]
pub(crate) struct KeyCounts {
    rows: [Vec<f32>; 2],
    total: f64,
}

impl KeyCounts {
    const SLOTS: usize = 2048;
    /// Memory, in milliseconds: long enough for a node with few requests a second to meet a hot key again.
    const DECAY_MS: f64 = 15_000.0;
    /// Requests without which a share is not to be had.
    const MIN_TOTAL: f64 = 20.0;

    pub(crate) fn new() -> KeyCounts {
        KeyCounts { rows: [vec![0.0; KeyCounts::SLOTS], vec![0.0; KeyCounts::SLOTS]], total: 0.0 }
    }

    fn slots(key: u64) -> [usize; 2] {
        [key as usize % KeyCounts::SLOTS, (key >> 32) as usize % KeyCounts::SLOTS]
    }

    pub(crate) fn record(&mut self, key: u64) {
        for (row, slot) in self.rows.iter_mut().zip(KeyCounts::slots(key)) {
            row[slot] += 1.0;
        }
        self.total += 1.0;
    }

    pub(crate) fn decay(&mut self, seconds: f64) {
        let keep = (-seconds * 1000.0 / KeyCounts::DECAY_MS).exp();
        self.rows.iter_mut().flatten().for_each(|n| *n *= keep as f32);
        self.total *= keep;
    }

    /// Part of the traffic that is for this key. One meeting says nothing.
    pub(crate) fn share(&self, key: u64) -> f64 {
        let [a, b] = KeyCounts::slots(key);
        let count = self.rows[0][a].min(self.rows[1][b]);
        f64::from(count - 1.0).max(0.0) / self.total.max(KeyCounts::MIN_TOTAL)
    }
}

/// What this node has learned of a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassStatistics {
    /// Mean time of answers, a stand-in for the class's work.
    pub(crate) mean_ms: f64,
    /// Mean deviation of that.
    pub(crate) deviation_ms: f64,
    pub(crate) answers: u64,
    /// Four of five answers take less.
    pub(crate) p80_ms: f64,
    /// The same in easy times: follows it down at once and up by a hundredth a second.
    pub(crate) usual_ms: f64,
    /// How often clients allowed each hundredth of the deadline, and the hundredth allowed most.
    time_limits: Vec<u32>,
    usual_limit: usize,
    pub(crate) requests: f64,
    pub(crate) served: f64,
}

impl ClassStatistics {
    /// Time that a client has spent on earlier tries. First tries are all given the same time, the most
    /// common one; a try given less, or more (the client's last), shows by its end when the first began.
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

    /// What was asked and served fades within twenty seconds; the usual time may rise by a hundredth a second.
    pub(crate) fn decay(&mut self, seconds: f64) {
        let keep = (-seconds / 20.0_f64).exp();
        (self.requests, self.served) = (self.requests * keep, self.served * keep);
        self.usual_ms = (self.usual_ms * (1.0 + 0.01 * seconds)).min(self.p80_ms);
    }

    /// Takes in the time of an answer.
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

/// What a report says of how pressed a backend is, 0 to 1: how busy its cores are or, where only the queue is
/// told, the work in it: an eighth of the aim is half pressed.
pub(crate) fn reported_pressure(load: &Load, aim: f64) -> Option<f64> {
    let queued =
        load.queue.or(load.in_hand).zip(load.latency_ms).map(|(n, ms)| n * ms / (n * ms + aim / 8.0));
    load.busy.or(queued).map(|p| p.clamp(0.0, 1.0))
}

/// Rates of several sources, in events a second, as means that fade within two seconds.
#[derive(Debug, Default)]
pub(crate) struct DecayingRates {
    rates: Vec<f64>,
    counts: Vec<u32>,
}

impl DecayingRates {
    pub(crate) fn resize(&mut self, sources: usize) {
        self.rates.resize(sources, 0.0);
        self.counts.resize(sources, 0);
    }

    pub(crate) fn record(&mut self, source: usize) {
        self.counts[source] += 1;
    }

    pub(crate) fn rate(&self, source: usize) -> f64 {
        self.rates[source]
    }

    pub(crate) fn tick(&mut self, seconds: f64) {
        let keep = (-seconds / 2.0_f64).exp();
        for (rate, count) in self.rates.iter_mut().zip(&mut self.counts) {
            *rate = *rate * keep + f64::from(*count) / seconds * (1.0 - keep);
            *count = 0;
        }
    }
}

/// The most a second that one of several sources was lately seen to give, which fades slowly, and what one gives
/// now.
#[derive(Debug, Default)]
pub(crate) struct DecayingPeak {
    pub(crate) peak: f64,
    current: f64,
    count: f64,
}

impl DecayingPeak {
    pub(crate) fn record(&mut self) {
        self.count += 1.0;
    }

    /// Takes in what `sources` of them gave within `seconds`; the peak fades within `memory_ms`.
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

/// Good and bad outcomes, weighed, and how many they were; all fade within about a second, so that small nodes
/// still have some.
#[derive(Debug, Default)]
pub(crate) struct OutcomeBalance {
    good: f64,
    bad: f64,
    count: f64,
}

impl OutcomeBalance {
    pub(crate) fn record(&mut self, good: f64, bad: f64, count: f64) {
        self.good += good;
        self.bad += bad;
        self.count += count;
    }

    /// Share of what was bad. Few outcomes are little evidence: they count for less.
    pub(crate) fn bad_share(&self) -> f64 {
        self.bad / (self.good + self.bad).max(1e-9) * self.count / (self.count + 2.0)
    }

    pub(crate) fn decay(&mut self, seconds: f64) {
        let keep = (-seconds / 0.5_f64).exp();
        (self.good, self.bad, self.count) = (self.good * keep, self.bad * keep, self.count * keep);
    }
}

/// Spreads the bits of a number over all of it.
pub(crate) fn mix_bits(mut h: u64) -> u64 {
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}
