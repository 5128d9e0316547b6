//! A clock that wakes within a tenth of a millisecond: the runtime's own timers count whole ones, and a day has
//! delays of less.

use super::links::lock;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::pin::Pin;
use std::sync::{Arc, Condvar, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// With nothing to wait for, the thread looks again after this: it ends once nobody holds the clock.
const IDLE: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Due {
    /// When, in the order of asking, and whom to wake.
    heap: BinaryHeap<Reverse<(Instant, u64)>>,
    wakers: std::collections::HashMap<u64, Waker>,
    next: u64,
}

#[derive(Default)]
struct Shared {
    due: Mutex<Due>,
    changed: Condvar,
}

/// The clock. Clones are the same one.
#[derive(Clone)]
pub struct Timer(Arc<Shared>);

impl Timer {
    /// Starts its thread, which ends with the last clone.
    ///
    /// # Errors
    /// The system has no thread for it.
    pub fn start() -> std::io::Result<Timer> {
        let shared = Arc::new(Shared::default());
        let weak = Arc::downgrade(&shared);
        std::thread::Builder::new().name("timer".to_owned()).spawn(move || {
            while let Some(shared) = weak.upgrade() {
                let mut due = lock(&shared.due);
                let now = Instant::now();
                let mut woken = Vec::new();
                while let Some(Reverse((at, id))) = due.heap.peek().copied()
                    && at <= now
                {
                    due.heap.pop();
                    woken.extend(due.wakers.remove(&id));
                }
                if woken.is_empty() {
                    let wait = due.heap.peek().map_or(IDLE, |Reverse((at, _))| (*at - now).min(IDLE));
                    // Poisoned or not, the loop looks again.
                    drop(shared.changed.wait_timeout(due, wait));
                } else {
                    drop(due);
                    woken.into_iter().for_each(Waker::wake);
                }
            }
        })?;
        Ok(Timer(shared))
    }

    /// Ends at that moment.
    pub fn until(&self, at: Instant) -> Until {
        Until { timer: self.clone(), at, id: None }
    }

    /// Ends after that time.
    pub fn sleep(&self, time: Duration) -> Until {
        self.until(Instant::now() + time)
    }
}

/// A wait.
pub struct Until {
    timer: Timer,
    at: Instant,
    id: Option<u64>,
}

impl Future for Until {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.at {
            return Poll::Ready(());
        }
        let (at, known) = (self.at, self.id);
        let (id, first) = {
            let mut due = lock(&self.timer.0.due);
            let id = known.unwrap_or(due.next);
            if known.is_none() {
                due.next += 1;
                due.heap.push(Reverse((at, id)));
            } else if !due.wakers.contains_key(&id) {
                // Woken a moment too early: once more.
                due.heap.push(Reverse((at, id)));
            }
            due.wakers.insert(id, cx.waker().clone());
            (id, due.heap.peek().is_some_and(|Reverse((_, first))| *first == id))
        };
        self.id = Some(id);
        if first {
            self.timer.0.changed.notify_one();
        }
        Poll::Pending
    }
}

impl Drop for Until {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            lock(&self.timer.0.due).wakers.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn waits_end_in_their_order_and_not_before_their_time() {
        let timer = Timer::start().unwrap();
        let begun = Instant::now();
        let order = Arc::new(Mutex::new(Vec::new()));
        let waits = [30, 5, 10, 5].map(|ms| {
            let (timer, order) = (timer.clone(), order.clone());
            tokio::spawn(async move {
                timer.until(begun + Duration::from_millis(ms)).await;
                assert!(begun.elapsed() >= Duration::from_millis(ms));
                lock(&order).push(ms);
            })
        });
        for wait in waits {
            wait.await.unwrap();
        }
        assert_eq!(*lock(&order), [5, 5, 10, 30]);
        let given_up = timer.sleep(Duration::from_secs(3600));
        assert!(tokio::time::timeout(Duration::from_millis(10), given_up).await.is_err());
        assert!(lock(&timer.0.due).wakers.is_empty());
    }
}
