//! Limits the number of concurrent streamed transfers, because each may fill buffers at both ends.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Memory in bytes that one streamed transfer can fill: buffers and pieces at both ends.
const TRANSFER_BYTES: usize = 128 * 1024;
/// Streamed transfers may use one part in this many of the memory limit.
const MEMORY_DIVISOR: usize = 3;

/// Transfer slots of a process.
pub struct TransferSlots {
    free: Semaphore,
    /// Total number of slots.
    total: usize,
    /// Number of slots in use that are withdrawn when they become free.
    to_withdraw: Cell<usize>,
    is_halved: Cell<bool>,
}

impl TransferSlots {
    /// Creates the slots of a process with this memory limit in bytes.
    pub fn new(memory: usize) -> Rc<TransferSlots> {
        let total = (memory / MEMORY_DIVISOR / TRANSFER_BYTES).max(2);
        Rc::new(TransferSlots {
            free: Semaphore::new(total),
            total,
            to_withdraw: Cell::new(0),
            is_halved: Cell::new(false),
        })
    }

    /// Leaves half of the slots to another process of this node, or takes them back.
    pub fn set_halved(&self, is_halved: bool) {
        if self.is_halved.replace(is_halved) == is_halved {
            return;
        }
        let half = self.total / 2;
        if is_halved {
            // Slots in use are withdrawn when they become free.
            self.to_withdraw.set(half - self.free.forget_permits(half));
        } else {
            self.free.add_permits(half - self.to_withdraw.replace(0));
        }
    }

    /// Takes a slot if one is or becomes free within `wait`.
    pub async fn take(self: &Rc<Self>, wait: Duration) -> Option<TransferSlot> {
        let permit = tokio::time::timeout(wait, self.free.acquire()).await.ok()?.ok()?;
        permit.forget();
        Some(TransferSlot(self.clone()))
    }
}

/// Slot of a streamed transfer, returned when dropped.
pub struct TransferSlot(Rc<TransferSlots>);

impl Drop for TransferSlot {
    fn drop(&mut self) {
        match self.0.to_withdraw.get().checked_sub(1) {
            Some(to_withdraw) => self.0.to_withdraw.set(to_withdraw),
            None => self.0.free.add_permits(1),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn two_processes_get_half_of_the_slots_each() {
        let slots = TransferSlots::new(8 * MEMORY_DIVISOR * TRANSFER_BYTES);
        let mut held = Vec::new();
        for _ in 0..6 {
            held.extend(slots.take(Duration::ZERO).await);
        }
        assert_eq!(held.len(), 6);
        slots.set_halved(true);
        slots.set_halved(true);
        assert!(slots.take(Duration::ZERO).await.is_none());
        // Two slots are over the half and are withdrawn as they become free; the third is returned.
        held.truncate(4);
        assert!(slots.take(Duration::ZERO).await.is_none());
        held.truncate(3);
        held.extend(slots.take(Duration::ZERO).await);
        assert_eq!(held.len(), 4);
        slots.set_halved(false);
        for _ in 0..9 {
            held.extend(slots.take(Duration::ZERO).await);
        }
        assert_eq!(held.len(), 8);
    }
}
