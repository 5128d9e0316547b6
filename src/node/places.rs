//! The node's places for long transfers: each may fill buffers at both ends, so there are only so many.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// What one long transfer can fill: buffers and pieces at both ends.
const TRANSFER: usize = 128 * 1024;
/// Part of the memory limit that long transfers may fill.
const TRANSFER_PART: usize = 3;

/// The places.
pub struct Places {
    free: Semaphore,
    /// Places in all, and those that were given up while in use.
    all: usize,
    owed: Cell<usize>,
    halved: Cell<bool>,
}

impl Places {
    /// Those of a process that may use so many bytes of memory.
    pub fn new(memory: usize) -> Rc<Places> {
        let all = (memory / TRANSFER_PART / TRANSFER).max(2);
        Rc::new(Places { free: Semaphore::new(all), all, owed: Cell::new(0), halved: Cell::new(false) })
    }

    /// Leaves half of them to another process of this node, or takes them back.
    pub fn halve(&self, halved: bool) {
        if self.halved.replace(halved) == halved {
            return;
        }
        let half = self.all / 2;
        if halved {
            // What is in use is given up when it turns free.
            self.owed.set(half - self.free.forget_permits(half));
        } else {
            self.free.add_permits(half - self.owed.replace(0));
        }
    }

    /// One, where one is free or turns free within `wait`.
    pub async fn take(self: &Rc<Self>, wait: Duration) -> Option<Place> {
        let permit = tokio::time::timeout(wait, self.free.acquire()).await.ok()?.ok()?;
        permit.forget();
        Some(Place(self.clone()))
    }
}

/// A long transfer's place; given back when dropped.
pub struct Place(Rc<Places>);

impl Drop for Place {
    fn drop(&mut self) {
        match self.0.owed.get().checked_sub(1) {
            Some(owed) => self.0.owed.set(owed),
            None => self.0.free.add_permits(1),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn two_processes_have_half_of_the_places_each() {
        let places = Places::new(8 * TRANSFER_PART * TRANSFER);
        let mut held = Vec::new();
        for _ in 0..6 {
            held.extend(places.take(Duration::ZERO).await);
        }
        assert_eq!(held.len(), 6);
        places.halve(true);
        places.halve(true);
        assert!(places.take(Duration::ZERO).await.is_none());
        // Two are over the half: they are given up as they turn free, and a third one is not.
        held.truncate(4);
        assert!(places.take(Duration::ZERO).await.is_none());
        held.truncate(3);
        held.extend(places.take(Duration::ZERO).await);
        assert_eq!(held.len(), 4);
        places.halve(false);
        for _ in 0..9 {
            held.extend(places.take(Duration::ZERO).await);
        }
        assert_eq!(held.len(), 8);
    }
}
