//! Determines when the last byte of a streamed request reached this machine.
//!
//! A request is timed from its last byte. While a backend takes nothing, nothing is read from the client, and
//! the last byte stays in the receive buffer of the client's socket.

use crate::socket::{BodyProgress, Socket};
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Interval at which the receive buffer is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How much of a body has arrived, as far as it is known.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    /// At least one byte is missing.
    Incomplete,
    /// The end may be among the unread bytes. `received` bytes have come on the connection, the last of them
    /// at about `since`.
    PossiblyComplete { since: Instant, received: u64 },
    /// The last byte came at about this time.
    Complete(Instant),
}

/// Arrival of the body of one request.
pub struct BodyArrival {
    socket: Socket,
    /// Number of the request on its connection.
    request_number: u64,
    arrival: Cell<Arrival>,
    completed: Notify,
}

impl BodyArrival {
    /// Starts to follow the body of the request that is being read from `socket`.
    pub fn new(socket: Socket, request_number: u64) -> BodyArrival {
        BodyArrival {
            socket,
            request_number,
            arrival: Cell::new(Arrival::Incomplete),
            completed: Notify::new(),
        }
    }

    /// Notes that the last byte has been read.
    pub fn complete(&self) {
        let at = match self.arrival.get() {
            Arrival::Complete(at) => at,
            Arrival::PossiblyComplete { since, .. } => since,
            Arrival::Incomplete => Instant::now(),
        };
        self.arrival.set(Arrival::Complete(at));
        self.completed.notify_waiters();
    }

    /// Returns when the last byte of a body that was read meanwhile had arrived, if that was noticed before.
    pub fn completed_at(&self) -> Option<Instant> {
        match self.arrival.get() {
            Arrival::Complete(at) => Some(at),
            Arrival::PossiblyComplete { since, received } if self.socket.bytes_read() <= received => {
                Some(since)
            }
            Arrival::PossiblyComplete { .. } | Arrival::Incomplete => None,
        }
    }

    /// Completes once `time` has passed since the last byte arrived, and since `not_before`.
    pub async fn passed(&self, time: Duration, not_before: Instant) {
        loop {
            let now = Instant::now();
            let arrival = self.check(now);
            let (due, next_check) = match arrival {
                Arrival::Incomplete => (None, now + CHECK_INTERVAL),
                Arrival::PossiblyComplete { since, .. } => {
                    let due = since.max(not_before) + time;
                    (Some(due), due.min(now + CHECK_INTERVAL))
                }
                Arrival::Complete(at) => {
                    let due = at.max(not_before) + time;
                    (Some(due), due)
                }
            };
            if due.is_some_and(|due| due <= now) {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(next_check.into()) => {}
                () = self.completed.notified() => {}
            }
        }
    }

    /// Updates the arrival by what the socket has received so far.
    fn check(&self, now: Instant) -> Arrival {
        let known = self.arrival.get();
        if matches!(known, Arrival::Complete(_)) {
            return known;
        }
        let arrival = match (self.socket.body_progress(self.request_number), known) {
            (BodyProgress::Incomplete, _) => Arrival::Incomplete,
            (BodyProgress::Complete, Arrival::PossiblyComplete { since, .. }) => Arrival::Complete(since),
            (BodyProgress::Complete, _) => Arrival::Complete(now),
            (BodyProgress::Unknown { received }, Arrival::PossiblyComplete { received: before, .. })
                if received == before =>
            {
                known
            }
            (BodyProgress::Unknown { received }, _) => Arrival::PossiblyComplete { since: now, received },
        };
        self.arrival.set(arrival);
        arrival
    }
}
