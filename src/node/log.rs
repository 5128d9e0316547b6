//! Log lines on standard error: sparse and bounded, since the loop waits while one is written.

use std::cell::Cell;
use std::io::Write;
use std::thread::LocalKey;
use std::time::{Duration, Instant};

/// Lines that may be written in one second; more than this says nothing new.
const LINES_PER_SECOND: u32 = 20;
/// And lines that tell the course of single requests: samples, which must not crowd out the rest.
const REQUESTS_PER_SECOND: u32 = 4;

type Window = Cell<(Option<Instant>, u32)>;

thread_local! {
    static LINES: Window = const { Cell::new((None, 0)) };
    static REQUESTS: Window = const { Cell::new((None, 0)) };
}

/// Whether this second still has a line to give.
fn allowed(window: &'static LocalKey<Window>, most: u32) -> bool {
    let (begun, written) = window.get();
    let now = Instant::now();
    let fresh = begun.is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1));
    let (begun, written) = if fresh { (Some(now), 0) } else { (begun, written) };
    window.set((begun, written.saturating_add(1)));
    written < most
}

fn write(text: &str) {
    // A log that nobody can take must not end the node.
    let _ = writeln!(std::io::stderr(), "daleturn-node: {text}");
}

/// Writes a line, unless this second has had its share.
pub fn line(text: &str) {
    if allowed(&LINES, LINES_PER_SECOND) {
        write(text);
    }
}

/// Writes the course of one request, unless this second has had its samples; put together only if written.
pub fn request(text: impl FnOnce() -> String) {
    if allowed(&REQUESTS, REQUESTS_PER_SECOND) {
        write(&text());
    }
}
