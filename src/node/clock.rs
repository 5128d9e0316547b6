//! The node's clock. It starts from the wall clock and is monotonic from there, and its times convert to those of
//! the machine's monotonic clock, which all processes of the machine read alike.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the time on the machine's monotonic clock in milliseconds. No step of the wall clock moves it.
pub fn machine_now_ms() -> f64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as f64 * 1000.0 + now.tv_nsec as f64 / 1e6
}

/// Clock of the balancer: milliseconds since 1970, read from the system clock once at startup and advanced
/// by the monotonic clock from there. Wall-clock times received from discovery can be compared with it, and
/// a given instant always converts to the same value.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_ms: f64,
    /// Start on the machine's monotonic clock, in milliseconds.
    machine_start_ms: f64,
}

impl Clock {
    /// Starts the clock at the current system time.
    pub fn new() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let machine_start_ms = machine_now_ms();
        Clock { start: Instant::now(), start_ms: wall.as_secs_f64() * 1000.0, machine_start_ms }
    }

    /// Converts a time of this clock to one on the machine's monotonic clock.
    pub fn to_machine_ms(self, at_ms: f64) -> f64 {
        at_ms - self.start_ms + self.machine_start_ms
    }

    /// Converts a time on the machine's monotonic clock to one of this clock.
    pub fn at_machine_ms(self, machine_ms: f64) -> f64 {
        machine_ms - self.machine_start_ms + self.start_ms
    }

    /// Returns the current time in milliseconds since 1970.
    pub fn now_ms(&self) -> f64 {
        self.at_ms(Instant::now())
    }

    /// Converts an instant after the start to milliseconds since 1970.
    pub fn at_ms(&self, at: Instant) -> f64 {
        self.start_ms + at.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// Converts milliseconds since 1970 to an instant.
    pub fn instant(&self, at_ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(((at_ms - self.start_ms) / 1000.0).clamp(0.0, 1e9))
    }
}
