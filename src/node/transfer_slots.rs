//! Limits the number of concurrent streamed transfers, because each may fill buffers at both ends.

use crate::memory_budget::{MemoryBudget, MemoryCharge, Purpose};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
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
    memory: Rc<MemoryBudget>,
}

impl TransferSlots {
    /// Creates the slots of a process with this memory budget.
    pub fn new(memory: Rc<MemoryBudget>) -> Rc<TransferSlots> {
        let total = (memory.limit() / MEMORY_DIVISOR / TRANSFER_BYTES).max(2);
        Rc::new(TransferSlots {
            free: Semaphore::new(total),
            total,
            to_withdraw: Cell::new(0),
            is_halved: Cell::new(false),
            memory,
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

    /// Takes a slot if one and its memory are or become free within `wait`.
    pub async fn take(self: &Rc<Self>, wait: Duration) -> Option<TransferSlot> {
        let until = Instant::now() + wait;
        let permit = tokio::time::timeout_at(until.into(), self.free.acquire()).await.ok()?.ok()?;
        let memory = self.memory.reserve(Purpose::Transfer, TRANSFER_BYTES, until).await?;
        permit.forget();
        Some(TransferSlot { slots: self.clone(), _memory: memory })
    }
}

/// Slot of a streamed transfer, returned when dropped.
pub struct TransferSlot {
    slots: Rc<TransferSlots>,
    _memory: MemoryCharge,
}

impl Drop for TransferSlot {
    fn drop(&mut self) {
        match self.slots.to_withdraw.get().checked_sub(1) {
            Some(to_withdraw) => self.slots.to_withdraw.set(to_withdraw),
            None => self.slots.free.add_permits(1),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn two_processes_get_half_of_the_slots_each() {
        let slots = TransferSlots::new(MemoryBudget::new(8 * MEMORY_DIVISOR * TRANSFER_BYTES));
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
