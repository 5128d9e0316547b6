//! The machine's monotonic clock, which all processes of a node read alike and which no step of the wall clock
//! moves.

use rustix::time::{ClockId, clock_gettime};

/// Returns the time in milliseconds since a moment that is the same for all processes of the machine.
pub fn machine_now_ms() -> f64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as f64 * 1000.0 + now.tv_nsec as f64 / 1e6
}
