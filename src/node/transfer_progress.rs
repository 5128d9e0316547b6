//! Progress of a streamed transfer, and when it counts as stalled.

use std::time::{Duration, Instant};

/// A transfer has stalled if it moves less than [`STALL_BYTES`] in this time.
const STALL_WINDOW: Duration = Duration::from_secs(15);
const STALL_BYTES: u64 = 16 * 1024;

/// Progress of a transfer at the last check that found enough of it.
#[derive(Clone, Copy, Debug)]
pub struct TransferProgress {
    bytes: u64,
    at: Instant,
}

impl TransferProgress {
    /// Starts a window in which `bytes` bytes have been moved before.
    pub fn new(bytes: u64) -> TransferProgress {
        TransferProgress { bytes, at: Instant::now() }
    }

    /// Updates the progress to `bytes` bytes in total. Returns true if the transfer has stalled.
    pub fn has_stalled(&mut self, bytes: u64) -> bool {
        if bytes >= self.bytes + STALL_BYTES {
            *self = TransferProgress::new(bytes);
            return false;
        }
        self.at.elapsed() > STALL_WINDOW
    }
}
