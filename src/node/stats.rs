//! Figures for operators: counts since the start, and times of the last window or two. All of it is bounded: by
//! the classes that may be told apart, by the listed backends, and by the fixed size of the histograms.

use daleturn::interface::{BackendId, Outcome};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Classes that are told apart: of more, the one that was asked for the longest ago is forgotten.
const CLASSES: usize = 64;
/// The longest time that is told apart from longer ones, in microseconds.
const LONGEST_US: u64 = 600_000_000;
/// Name of what no class of the settings is.
const UNKNOWN: &str = "?";

/// Times in two windows, with two digits.
#[derive(Default)]
struct Times {
    now: Option<Histogram<u32>>,
    before: Option<Histogram<u32>>,
}

impl Times {
    fn note(&mut self, time: Duration) {
        if self.now.is_none() {
            self.now = Histogram::new_with_bounds(1, LONGEST_US, 2).ok();
        }
        if let Some(now) = &mut self.now {
            now.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        }
    }

    fn turn(&mut self) {
        // The older one's memory serves again.
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
            // They are of one make.
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

/// How a request ended.
#[derive(Clone, Copy, Debug)]
pub enum End {
    /// Served, within its class's aim or not, with the time to the answer's hand-over and what of it this node
    /// took itself; no times for a long request, whose sender sets the pace.
    Served {
        /// After the aim.
        late: bool,
        /// Both times.
        times: Option<(Duration, Duration)>,
    },
    /// Refused, with word of when to come back.
    Refused,
    /// Failed.
    Failed,
    /// A backend found it wrong.
    Rejected,
    /// Its client had gone, or its time was over.
    Left,
}

#[derive(Default)]
struct Class {
    asked: u64,
    served: u64,
    late: u64,
    refused: u64,
    failed: u64,
    rejected: u64,
    left: u64,
    last: Option<Instant>,
    answer: Times,
}

#[derive(Clone, Copy, Default)]
struct Sent {
    sent: u64,
    done: u64,
    failed: u64,
    /// Sums of the answers' times, in milliseconds, and of their squares.
    ms: f64,
    ms_squared: f64,
}

/// The figures.
pub struct Stats {
    window: Duration,
    turned: Instant,
    classes: BTreeMap<String, Class>,
    attempts: [u64; Outcome::COUNT],
    backends: HashMap<BackendId, Sent>,
    answer: Times,
    through: Times,
    /// Refused before the decisions heard of them.
    early_refusals: u64,
}

/// Name of an outcome in the figures.
fn word(outcome: Outcome) -> &'static str {
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
    /// Nothing counted yet; times are kept for `window`, and as long again.
    pub fn new(window: Duration) -> Stats {
        Stats {
            window,
            turned: Instant::now(),
            classes: BTreeMap::new(),
            attempts: [0; Outcome::COUNT],
            backends: HashMap::new(),
            answer: Times::default(),
            through: Times::default(),
            early_refusals: 0,
        }
    }

    /// Another window, from the next turn on.
    pub fn retune(&mut self, window: Duration) {
        self.window = window;
    }

    fn turn(&mut self) {
        let windows = self.turned.elapsed().as_secs_f64() / self.window.as_secs_f64();
        if windows < 1.0 {
            return;
        }
        self.turned = Instant::now();
        // After a pause both are old.
        for _ in 0..if windows < 2.0 { 1 } else { 2 } {
            self.answer.turn();
            self.through.turn();
            self.classes.values_mut().for_each(|c| c.answer.turn());
        }
    }

    fn class(&mut self, name: Option<&str>) -> Option<&mut Class> {
        let name = name.unwrap_or(UNKNOWN);
        if !self.classes.contains_key(name) {
            if self.classes.len() >= CLASSES {
                let oldest = self.classes.iter().min_by_key(|(_, c)| c.last).map(|(n, _)| n.clone());
                oldest.and_then(|n| self.classes.remove(&n));
            }
            self.classes.insert(name.to_owned(), Class::default());
        }
        self.classes.get_mut(name)
    }

    /// A request of a class came.
    pub fn asked(&mut self, class: Option<&str>) {
        self.turn();
        if let Some(class) = self.class(class) {
            class.asked += 1;
            class.last = Some(Instant::now());
        }
    }

    /// One was refused before the decisions heard of it.
    pub fn count_early_refusal(&mut self, class: Option<&str>) {
        self.asked(class);
        self.ended(class, End::Refused);
        self.early_refusals += 1;
    }

    /// A request is over.
    pub fn ended(&mut self, class: Option<&str>, end: End) {
        let Some(own) = self.class(class) else { return };
        match end {
            End::Served { late, times } => {
                own.served += 1;
                own.late += u64::from(late);
                if let Some((answer, through)) = times {
                    own.answer.note(answer);
                    self.answer.note(answer);
                    self.through.note(through);
                }
            }
            End::Refused => own.refused += 1,
            End::Failed => own.failed += 1,
            End::Rejected => own.rejected += 1,
            End::Left => own.left += 1,
        }
    }

    /// An attempt was sent.
    pub fn sent(&mut self, backend: BackendId) {
        self.backends.entry(backend).or_default().sent += 1;
    }

    /// An attempt ended.
    pub fn attempt_ended(&mut self, backend: BackendId, outcome: Outcome, elapsed_ms: f64) {
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

    /// Forgets backends that are not listed any more.
    pub fn retain_listed(&mut self, listed: impl Fn(BackendId) -> bool) {
        self.backends.retain(|id, _| listed(*id));
    }

    /// Attempts at a backend: sent, done and failed.
    pub fn of_backend(&self, backend: BackendId) -> (u64, u64, u64) {
        let Sent { sent, done, failed, .. } = self.backends.get(&backend).copied().unwrap_or_default();
        (sent, done, failed)
    }

    /// Sums of a backend's answer times in milliseconds, and of their squares.
    pub fn times_of(&self, backend: BackendId) -> (f64, f64) {
        let sent = self.backends.get(&backend).copied().unwrap_or_default();
        (sent.ms, sent.ms_squared)
    }

    /// Refused before the decisions heard of them.
    pub fn early_refusals(&self) -> u64 {
        self.early_refusals
    }

    /// Classes, attempts and times.
    pub fn json(&mut self) -> Value {
        self.turn();
        let class = |c: &Class| {
            json!({"asked": c.asked, "served": c.served, "late": c.late, "refused": c.refused,
                   "failed": c.failed, "rejected": c.rejected, "left": c.left, "answer_ms": c.answer.json()})
        };
        let classes: BTreeMap<&str, Value> =
            self.classes.iter().map(|(n, c)| (n.as_str(), class(c))).collect();
        let attempts: BTreeMap<&str, u64> =
            Outcome::ALL.into_iter().map(|o| (word(o), self.attempts[o as usize])).collect();
        json!({"classes": classes, "attempts": attempts, "answer_ms": self.answer.json(),
               "through_ms": self.through.json(), "window_s": self.window.as_secs()})
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn served(ms: u64) -> End {
        let time = Duration::from_millis(ms);
        End::Served { late: false, times: Some((time, time / 10)) }
    }

    #[test]
    fn times_are_of_the_last_windows_and_counts_of_all() {
        let mut stats = Stats::new(Duration::from_secs(3600));
        for n in 1..=100 {
            stats.asked(Some("a"));
            stats.ended(Some("a"), served(n));
        }
        let json = stats.json();
        assert_eq!(json["classes"]["a"]["served"], 100);
        let p99 = json["classes"]["a"]["answer_ms"]["p99"].as_f64().unwrap();
        assert!((98.0..=101.0).contains(&p99), "{p99}");
        let through = json["through_ms"]["p50"].as_f64().unwrap();
        assert!((4.9..=5.2).contains(&through), "{through}");
        for n in [100, 0] {
            stats.classes.values_mut().for_each(|c| c.answer.turn());
            assert_eq!(stats.json()["classes"]["a"]["answer_ms"]["n"], n);
        }
        assert_eq!(stats.json()["classes"]["a"]["served"], 100);
    }

    #[test]
    fn a_class_may_vanish_and_none_of_many_fills_the_memory() {
        let mut stats = Stats::new(Duration::from_secs(60));
        for n in 0..200 {
            stats.asked(Some(&format!("c{n}")));
            stats.ended(Some(&format!("c{n}")), served(5));
        }
        stats.ended(None, End::Failed);
        assert_eq!(stats.classes.len(), CLASSES);
        let json = stats.json();
        assert_eq!(json["classes"]["c199"]["asked"], 1);
        assert!(json["classes"]["c0"].is_null());
        assert_eq!(json["classes"]["?"]["failed"], 1);
    }

    #[test]
    fn a_backend_that_is_gone_is_forgotten() {
        let mut stats = Stats::new(Duration::from_secs(60));
        let (a, b) = (BackendId(1), BackendId(2));
        stats.sent(a);
        stats.sent(b);
        stats.attempt_ended(a, Outcome::Done, 5.0);
        stats.attempt_ended(b, Outcome::Reset, 5.0);
        assert_eq!((stats.of_backend(a), stats.of_backend(b)), ((1, 1, 0), (1, 0, 1)));
        stats.retain_listed(|id| id == a);
        assert_eq!(stats.of_backend(b), (0, 0, 0));
        // One that ends later brings it back no more.
        stats.attempt_ended(b, Outcome::Done, 5.0);
        assert_eq!(stats.backends.len(), 1);
    }
}
