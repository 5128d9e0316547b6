//! Structured log on standard error: one line per event; event and field names are stable.
//!
//! The rate of lines is limited and a separate thread writes them, so a slow reader of the log, or none at
//! all, does not block the event loop. Lines that find the queue full are dropped and counted.

use daleturn::options;
use std::cell::Cell;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt::format::{Format, Full, Json, Writer};
use tracing_subscriber::fmt::{self, FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::{Layer, Registry, reload};

/// Maximum number of queued lines.
const MAX_QUEUED_LINES: usize = 1024;
/// Minimum interval between two reports of dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Target whose events are samples, with a rate limit of their own.
pub const SAMPLED_TARGET: &str = "request";

/// Rate limit of one kind of lines: the start of the current second, the lines in it, and their maximum.
struct RateLimit {
    second: Cell<Option<Instant>>,
    count: Cell<u32>,
    max: Cell<u32>,
}

impl RateLimit {
    const fn new(max: u32) -> RateLimit {
        RateLimit { second: Cell::new(None), count: Cell::new(0), max: Cell::new(max) }
    }

    fn admits(&self) -> bool {
        let now = Instant::now();
        if self.second.get().is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1)) {
            self.second.set(Some(now));
            self.count.set(0);
        }
        self.count.set(self.count.get().saturating_add(1));
        self.count.get() <= self.max.get()
    }
}

thread_local! {
    static LINES: RateLimit = const { RateLimit::new(20) };
    static SAMPLES: RateLimit = const { RateLimit::new(4) };
    /// Lines dropped by the rate limit since the start, without samples.
    static RATE_LIMITED: Cell<u64> = const { Cell::new(0) };
}

/// Counts a line and returns whether the rate limit admits it.
pub fn admits(target: &str) -> bool {
    if target == SAMPLED_TARGET {
        return SAMPLES.with(RateLimit::admits);
    }
    let admits = LINES.with(RateLimit::admits);
    if !admits {
        RATE_LIMITED.set(RATE_LIMITED.get() + 1);
    }
    admits
}

/// Writes an event unless its level is disabled or the rate limit is reached; its fields are evaluated only
/// then.
///
/// Example: `log_event!(WARN, "discovery", reason = ?e, "discovery.failed")` with the level, target, fields
/// and event name.
macro_rules! log_event {
    ($level:ident, $target:literal, $($rest:tt)+) => {
        if tracing::event_enabled!(target: $target, tracing::Level::$level) && $crate::log::admits($target) {
            tracing::event!(target: $target, tracing::Level::$level, $($rest)+);
        }
    };
}
pub(crate) use log_event;

/// Event format that switches between text and JSON at run time.
struct SwitchableFormat {
    json: Arc<AtomicBool>,
    as_text: Format<Full>,
    as_json: Format<Json>,
}

impl<S, N> FormatEvent<S, N> for SwitchableFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        cx: &FmtContext<'_, S, N>,
        to: Writer<'_>,
        event: &Event<'_>,
    ) -> std::fmt::Result {
        if self.json.load(Ordering::Relaxed) {
            self.as_json.format_event(cx, to, event)
        } else {
            self.as_text.format_event(cx, to, event)
        }
    }
}

/// Log of the process. Dropping it writes the queued lines.
pub struct Log {
    filter: reload::Handle<Targets, Registry>,
    json: Arc<AtomicBool>,
    unwritten: ErrorCounter,
    reported: Cell<(u64, u64)>,
    reported_at: Cell<Option<Instant>>,
    _writer: WorkerGuard,
}

/// Converts a level of the options.
fn level(level: options::Level) -> LevelFilter {
    match level {
        options::Level::Off => LevelFilter::OFF,
        options::Level::Error => LevelFilter::ERROR,
        options::Level::Warn => LevelFilter::WARN,
        options::Level::Info => LevelFilter::INFO,
        options::Level::Debug => LevelFilter::DEBUG,
        options::Level::Trace => LevelFilter::TRACE,
    }
}

/// Returns the level filter of the options.
fn targets(options: &options::Log) -> Targets {
    let single = options.targets.iter().map(|(target, l)| (target.clone(), level(*l)));
    // Debug and trace events of libraries are useless to operators, so the default level is at most INFO.
    Targets::new().with_targets(single).with_default(level(options.level).min(LevelFilter::INFO))
}

impl Log {
    /// Initializes the log of the process.
    pub fn open(options: &options::Log) -> Log {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(MAX_QUEUED_LINES)
            .thread_name("log")
            .finish(std::io::stderr());
        let unwritten = writer.error_counter();
        let (filter, handle) = reload::Layer::new(targets(options));
        let json = Arc::new(AtomicBool::new(false));
        let as_json =
            fmt::format().json().flatten_event(true).with_current_span(false).with_span_list(false);
        let lines = SwitchableFormat {
            json: json.clone(),
            as_text: fmt::format().with_target(false).with_ansi(false),
            as_json,
        };
        let layer =
            fmt::layer().with_writer(writer).event_format(lines).with_ansi(false).with_filter(filter);
        // Fails only in tests, where another log is already set.
        let _ = tracing::subscriber::set_global_default(Registry::default().with(layer));
        let reported = Cell::new((0, 0));
        let log =
            Log { filter: handle, json, unwritten, reported, reported_at: Cell::new(None), _writer: guard };
        log.apply_options(options);
        log
    }

    /// Applies new options.
    pub fn apply_options(&self, options: &options::Log) {
        self.json.store(options.format == options::Format::Json, Ordering::Relaxed);
        LINES.with(|b| b.max.set(options.lines_per_second));
        SAMPLES.with(|b| b.max.set(options.requests_per_second));
        // Fails only once the log has been dropped.
        let _ = self.filter.reload(targets(options));
    }

    /// Returns the lines dropped since the start because the queue was full, and because of the rate limit.
    pub fn dropped(&self) -> (u64, u64) {
        (self.unwritten.dropped_lines() as u64, RATE_LIMITED.get())
    }

    /// Logs the number of dropped lines, if it has changed and not too often.
    pub fn log_dropped(&self) {
        let dropped = self.dropped();
        let is_too_soon = self.reported_at.get().is_some_and(|at| at.elapsed() < DROP_REPORT_INTERVAL);
        if dropped == self.reported.get() || is_too_soon {
            return;
        }
        self.reported.set(dropped);
        self.reported_at.set(Some(Instant::now()));
        let (unwritten, over) = dropped;
        log_event!(WARN, "log", unwritten, over, "log.dropped");
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn samples_and_other_lines_have_separate_limits() {
        let samples = (0..100).filter(|_| admits(SAMPLED_TARGET)).count();
        let lines = (0..100).filter(|_| admits("node")).count();
        // The second may change during the loops, which allows twice the limit.
        assert!((4..=8).contains(&samples) && (20..=40).contains(&lines), "{samples} and {lines}");
        assert_eq!(RATE_LIMITED.get(), 100 - lines as u64);
    }
}
