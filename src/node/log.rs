//! The log: events with names and fields that never change, one line each, on standard error.
//!
//! Lines are bounded in number and written by a thread of its own, so that nobody who reads slowly, or not at
//! all, keeps the loop waiting: what finds the queue full is dropped, and how much that was is said.

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

/// Lines that wait for whoever reads the log.
const QUEUE: usize = 1024;
/// How often it is said that lines were dropped.
const TELL_EVERY: Duration = Duration::from_secs(2);
/// The target whose events are samples, with a bound of their own.
pub const SAMPLES: &str = "request";

/// Lines of one kind: when the second began, how many came in it, and how many may.
struct Bound {
    second: Cell<Option<Instant>>,
    came: Cell<u32>,
    most: Cell<u32>,
}

impl Bound {
    const fn new(most: u32) -> Bound {
        Bound { second: Cell::new(None), came: Cell::new(0), most: Cell::new(most) }
    }

    fn admits(&self) -> bool {
        let now = Instant::now();
        if self.second.get().is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1)) {
            self.second.set(Some(now));
            self.came.set(0);
        }
        self.came.set(self.came.get().saturating_add(1));
        self.came.get() <= self.most.get()
    }
}

thread_local! {
    static LINES: Bound = const { Bound::new(20) };
    static REQUESTS: Bound = const { Bound::new(4) };
    /// Lines over the bound since the start, but for samples.
    static OVER: Cell<u64> = const { Cell::new(0) };
}

/// Whether this second still has a line to give.
pub fn admits(target: &str) -> bool {
    if target == SAMPLES {
        return REQUESTS.with(Bound::admits);
    }
    let admits = LINES.with(Bound::admits);
    if !admits {
        OVER.set(OVER.get() + 1);
    }
    admits
}

/// Writes an event, unless its level is off or this second has had its share: nothing of it is put together
/// then. `log_event!(WARN, "discovery", reason = ?e, "discovery.failed")`: level, target, fields, name.
macro_rules! log_event {
    ($level:ident, $target:literal, $($rest:tt)+) => {
        if tracing::event_enabled!(target: $target, tracing::Level::$level) && $crate::log::admits($target) {
            tracing::event!(target: $target, tracing::Level::$level, $($rest)+);
        }
    };
}
pub(crate) use log_event;

/// Text or JSON, whichever is asked for now.
struct Lines {
    json: Arc<AtomicBool>,
    as_text: Format<Full>,
    as_json: Format<Json>,
}

impl<S, N> FormatEvent<S, N> for Lines
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

/// The log of this process; what is queued is written when it is dropped.
pub struct Log {
    filter: reload::Handle<Targets, Registry>,
    json: Arc<AtomicBool>,
    unwritten: ErrorCounter,
    told: Cell<(u64, u64)>,
    told_at: Cell<Option<Instant>>,
    _writer: WorkerGuard,
}

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

fn targets(options: &options::Log) -> Targets {
    let single = options.targets.iter().map(|(target, l)| (target.clone(), level(*l)));
    // Libraries have logs of their own, of no use to operators.
    Targets::new().with_targets(single).with_default(level(options.level).min(LevelFilter::INFO))
}

impl Log {
    /// Opens it for the whole process.
    pub fn open(options: &options::Log) -> Log {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUE)
            .thread_name("log")
            .finish(std::io::stderr());
        let unwritten = writer.error_counter();
        let (filter, handle) = reload::Layer::new(targets(options));
        let json = Arc::new(AtomicBool::new(false));
        let as_json =
            fmt::format().json().flatten_event(true).with_current_span(false).with_span_list(false);
        let lines = Lines {
            json: json.clone(),
            as_text: fmt::format().with_target(false).with_ansi(false),
            as_json,
        };
        let layer =
            fmt::layer().with_writer(writer).event_format(lines).with_ansi(false).with_filter(filter);
        // Another one can only be there in tests, which do not look at it.
        let _ = tracing::subscriber::set_global_default(Registry::default().with(layer));
        let told = Cell::new((0, 0));
        let log = Log { filter: handle, json, unwritten, told, told_at: Cell::new(None), _writer: guard };
        log.retune(options);
        log
    }

    /// Takes other options, for all that follows.
    pub fn retune(&self, options: &options::Log) {
        self.json.store(options.format == options::Format::Json, Ordering::Relaxed);
        LINES.with(|b| b.most.set(options.lines_per_second));
        REQUESTS.with(|b| b.most.set(options.requests_per_second));
        // It fails only once the log is gone.
        let _ = self.filter.reload(targets(options));
    }

    /// Lines that nobody took in time, and lines over the bound, since the start.
    pub fn dropped(&self) -> (u64, u64) {
        (self.unwritten.dropped_lines() as u64, OVER.get())
    }

    /// Says now and then that lines were dropped.
    pub fn tell_dropped(&self) {
        let dropped = self.dropped();
        let soon = self.told_at.get().is_some_and(|at| at.elapsed() < TELL_EVERY);
        if dropped == self.told.get() || soon {
            return;
        }
        self.told.set(dropped);
        self.told_at.set(Some(Instant::now()));
        let (unwritten, over) = dropped;
        log_event!(WARN, "log", unwritten, over, "log.dropped");
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn samples_and_other_lines_do_not_crowd_each_other_out() {
        let samples = (0..100).filter(|_| admits(SAMPLES)).count();
        let lines = (0..100).filter(|_| admits("node")).count();
        // The second may turn while they come.
        assert!((4..=8).contains(&samples) && (20..=40).contains(&lines), "{samples} and {lines}");
        assert_eq!(OVER.get(), 100 - lines as u64);
    }
}
