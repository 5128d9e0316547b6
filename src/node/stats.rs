//! Statistics for operators: counters since the start, and latencies of the last one or two windows. Memory
//! is bounded by the maximum number of classes, by the listed backends, and by the fixed size of the
//! histograms.

use daleturn::interface::{BackendId, Outcome};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Maximum number of classes; beyond that, the one with the oldest last request is dropped.
const MAX_CLASSES: usize = 64;
/// Maximum latency that the histograms distinguish, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Name of requests whose class is not in the settings.
const UNKNOWN_CLASS: &str = "?";

/// Latency histograms of two windows, with two significant digits.
#[derive(Default)]
struct LatencyWindows {
    now: Option<Histogram<u32>>,
    before: Option<Histogram<u32>>,
}

impl LatencyWindows {
    fn record(&mut self, time: Duration) {
        if self.now.is_none() {
            self.now = Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).ok();
        }
        if let Some(now) = &mut self.now {
            now.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        }
    }

    fn rotate(&mut self) {
        // Reuses the memory of the older histogram.
        std::mem::swap(&mut self.now, &mut self.before);
        if let Some(now) = &mut self.now {
            now.reset();
        }
    }

    fn json(&self) -> Value {
        let mut both = match (&self.now, &self.before) {
            (Some(now), _) => now.clone(),
            (None, Some(before)) => before.clone(),
            (None, None) => return json!({"n": 0}),
        };
        if let (Some(_), Some(before)) = (&self.now, &self.before) {
            // Cannot fail: both have the same bounds.
            let _ = both.add(before);
        }
        if both.is_empty() {
            return json!({"n": 0});
        }
        let ms = |us: u64| us as f64 / 1000.0;
        let at = |q: f64| ms(both.value_at_quantile(q));
        json!({"n": both.len(), "p50": at(0.5), "p90": at(0.9), "p99": at(0.99), "p999": at(0.999),
               "max": ms(both.max())})
    }
}

/// Result of a request.
#[derive(Clone, Copy, Debug)]
pub enum RequestResult {
    /// Served, within its class's objective or late.
    Served {
        /// True if the response was later than the objective.
        late: bool,
        /// Time until the response was handed over, and the part of it spent in this node. `None` for a
        /// streamed request, whose pace the sender determines.
        times: Option<(Duration, Duration)>,
    },
    /// Refused with a retry delay.
    Refused,
    /// Failed.
    Failed,
    /// Rejected by a backend as invalid.
    Rejected,
    /// The client left, or the deadline had passed.
    Left,
}

/// Counters and latencies of a class.
#[derive(Default)]
struct ClassStats {
    asked: u64,
    served: u64,
    late: u64,
    refused: u64,
    failed: u64,
    rejected: u64,
    left: u64,
    last: Option<Instant>,
    answer: LatencyWindows,
}

/// Counters of the attempts at a backend.
#[derive(Clone, Copy, Default)]
struct BackendStats {
    sent: u64,
    done: u64,
    failed: u64,
    /// Sums of the response times in milliseconds, and of their squares.
    ms: f64,
    ms_squared: f64,
}

/// Statistics of a node.
pub struct Stats {
    window: Duration,
    rotated_at: Instant,
    classes: BTreeMap<String, ClassStats>,
    attempts: [u64; Outcome::COUNT],
    backends: HashMap<BackendId, BackendStats>,
    answer: LatencyWindows,
    through: LatencyWindows,
    /// Requests refused before they reached the balancer.
    early_refusals: u64,
}

/// Returns the name of an outcome in the statistics.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Error => "error",
        Outcome::Full => "full",
        Outcome::TimedOut => "timed_out",
        Outcome::NotConnected => "not_connected",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::Skipped => "skipped",
        Outcome::Rejected => "rejected",
    }
}

impl Stats {
    /// Creates empty statistics. Latencies are kept for one to two times `window`.
    pub fn new(window: Duration) -> Stats {
        Stats {
            window,
            rotated_at: Instant::now(),
            classes: BTreeMap::new(),
            attempts: [0; Outcome::COUNT],
            backends: HashMap::new(),
            answer: LatencyWindows::default(),
            through: LatencyWindows::default(),
            early_refusals: 0,
        }
    }

    /// Sets the window length, effective with the next rotation.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    fn rotate(&mut self) {
        let windows = self.rotated_at.elapsed().as_secs_f64() / self.window.as_secs_f64();
        if windows < 1.0 {
            return;
        }
        self.rotated_at = Instant::now();
        // After a pause, both histograms are outdated.
        for _ in 0..if windows < 2.0 { 1 } else { 2 } {
            self.answer.rotate();
            self.through.rotate();
            self.classes.values_mut().for_each(|c| c.answer.rotate());
        }
    }

    /// Returns the statistics of a class, adding it if necessary.
    fn class(&mut self, name: Option<&str>) -> Option<&mut ClassStats> {
        let name = name.unwrap_or(UNKNOWN_CLASS);
        if !self.classes.contains_key(name) {
            if self.classes.len() >= MAX_CLASSES {
                let oldest = self.classes.iter().min_by_key(|(_, c)| c.last).map(|(n, _)| n.clone());
                oldest.and_then(|n| self.classes.remove(&n));
            }
            self.classes.insert(name.to_owned(), ClassStats::default());
        }
        self.classes.get_mut(name)
    }

    /// Counts a request of a class.
    pub fn count_request(&mut self, class: Option<&str>) {
        self.rotate();
        if let Some(class) = self.class(class) {
            class.asked += 1;
            class.last = Some(Instant::now());
        }
    }

    /// Counts a request that was refused before it reached the balancer.
    pub fn count_early_refusal(&mut self, class: Option<&str>) {
        self.count_request(class);
        self.count_result(class, RequestResult::Refused);
        self.early_refusals += 1;
    }

    /// Counts the result of a request.
    pub fn count_result(&mut self, class: Option<&str>, result: RequestResult) {
        let Some(counts) = self.class(class) else { return };
        match result {
            RequestResult::Served { late, times } => {
                counts.served += 1;
                counts.late += u64::from(late);
                if let Some((answer, through)) = times {
                    counts.answer.record(answer);
                    self.answer.record(answer);
                    self.through.record(through);
                }
            }
            RequestResult::Refused => counts.refused += 1,
            RequestResult::Failed => counts.failed += 1,
            RequestResult::Rejected => counts.rejected += 1,
            RequestResult::Left => counts.left += 1,
        }
    }

    /// Counts an attempt that was sent.
    pub fn count_sent(&mut self, backend: BackendId) {
        self.backends.entry(backend).or_default().sent += 1;
    }

    /// Counts the outcome of an attempt.
    pub fn count_attempt_result(&mut self, backend: BackendId, outcome: Outcome, elapsed_ms: f64) {
        if let Some(count) = self.attempts.get_mut(outcome as usize) {
            *count += 1;
        }
        if let Some(sent) = self.backends.get_mut(&backend) {
            match outcome {
                Outcome::Done => {
                    sent.done += 1;
                    if elapsed_ms.is_finite() {
                        sent.ms += elapsed_ms;
                        sent.ms_squared += elapsed_ms * elapsed_ms;
                    }
                }
                Outcome::Cancelled | Outcome::Skipped | Outcome::Rejected => {}
                _ => sent.failed += 1,
            }
        }
    }

    /// Drops the statistics of backends that are no longer listed.
    pub fn retain_listed(&mut self, listed: impl Fn(BackendId) -> bool) {
        self.backends.retain(|id, _| listed(*id));
    }

    /// Returns the number of attempts at a backend: sent, done and failed.
    pub fn attempt_counts(&self, backend: BackendId) -> (u64, u64, u64) {
        let BackendStats { sent, done, failed, .. } =
            self.backends.get(&backend).copied().unwrap_or_default();
        (sent, done, failed)
    }

    /// Returns the sum of a backend's response times in milliseconds, and of their squares.
    pub fn response_time_sums(&self, backend: BackendId) -> (f64, f64) {
        let sent = self.backends.get(&backend).copied().unwrap_or_default();
        (sent.ms, sent.ms_squared)
    }

    /// Returns the number of requests refused before they reached the balancer.
    pub fn early_refusals(&self) -> u64 {
        self.early_refusals
    }

    /// Returns classes, attempts and latencies as JSON.
    pub fn json(&mut self) -> Value {
        self.rotate();
        let class = |c: &ClassStats| {
            json!({"asked": c.asked, "served": c.served, "late": c.late, "refused": c.refused,
                   "failed": c.failed, "rejected": c.rejected, "left": c.left, "answer_ms": c.answer.json()})
        };
        let classes: BTreeMap<&str, Value> =
            self.classes.iter().map(|(n, c)| (n.as_str(), class(c))).collect();
        let attempts: BTreeMap<&str, u64> =
            Outcome::ALL.into_iter().map(|o| (outcome_name(o), self.attempts[o as usize])).collect();
        json!({"classes": classes, "attempts": attempts, "answer_ms": self.answer.json(),
               "through_ms": self.through.json(), "window_s": self.window.as_secs()})
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn served(ms: u64) -> RequestResult {
        let time = Duration::from_millis(ms);
        RequestResult::Served { late: false, times: Some((time, time / 10)) }
    }

    #[test]
    fn latencies_cover_two_windows_and_counters_everything() {
        let mut stats = Stats::new(Duration::from_secs(3600));
        for n in 1..=100 {
            stats.count_request(Some("a"));
            stats.count_result(Some("a"), served(n));
        }
        let json = stats.json();
        assert_eq!(json["classes"]["a"]["served"], 100);
        let p99 = json["classes"]["a"]["answer_ms"]["p99"].as_f64().unwrap();
        assert!((98.0..=101.0).contains(&p99), "{p99}");
        let through = json["through_ms"]["p50"].as_f64().unwrap();
        assert!((4.9..=5.2).contains(&through), "{through}");
        for n in [100, 0] {
            stats.classes.values_mut().for_each(|c| c.answer.rotate());
            assert_eq!(stats.json()["classes"]["a"]["answer_ms"]["n"], n);
        }
        assert_eq!(stats.json()["classes"]["a"]["served"], 100);
    }

    #[test]
    fn number_of_classes_is_bounded() {
        let mut stats = Stats::new(Duration::from_secs(60));
        for n in 0..200 {
            stats.count_request(Some(&format!("c{n}")));
            stats.count_result(Some(&format!("c{n}")), served(5));
        }
        stats.count_result(None, RequestResult::Failed);
        assert_eq!(stats.classes.len(), MAX_CLASSES);
        let json = stats.json();
        assert_eq!(json["classes"]["c199"]["asked"], 1);
        assert!(json["classes"]["c0"].is_null());
        assert_eq!(json["classes"]["?"]["failed"], 1);
    }

    #[test]
    fn statistics_of_unlisted_backends_are_dropped() {
        let mut stats = Stats::new(Duration::from_secs(60));
        let (a, b) = (BackendId(1), BackendId(2));
        stats.count_sent(a);
        stats.count_sent(b);
        stats.count_attempt_result(a, Outcome::Done, 5.0);
        stats.count_attempt_result(b, Outcome::Reset, 5.0);
        assert_eq!((stats.attempt_counts(a), stats.attempt_counts(b)), ((1, 1, 0), (1, 0, 1)));
        stats.retain_listed(|id| id == a);
        assert_eq!(stats.attempt_counts(b), (0, 0, 0));
        // An attempt that ends later does not add the backend again.
        stats.count_attempt_result(b, Outcome::Done, 5.0);
        assert_eq!(stats.backends.len(), 1);
    }
}
