//! A timer accurate to a tenth of a millisecond. The runtime's own timers have a resolution of one
//! millisecond, which is too coarse for the delays in a run.

use super::links::lock;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::pin::Pin;
use std::sync::{Arc, Condvar, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Maximum time for which the thread sleeps; it ends when it finds that all clones of the timer are
/// dropped.
const MAX_SLEEP: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Deadlines {
    /// Deadlines with the ids of their wakers, earliest first.
    heap: BinaryHeap<Reverse<(Instant, u64)>>,
    wakers: std::collections::HashMap<u64, Waker>,
    next: u64,
}

#[derive(Default)]
struct Shared {
    deadlines: Mutex<Deadlines>,
    changed: Condvar,
}

/// The timer. Clones share the thread.
#[derive(Clone)]
pub struct Timer(Arc<Shared>);

impl Timer {
    /// Starts the timer's thread, which ends when the last clone is dropped.
    ///
    /// # Errors
    /// Returns an error if the system cannot start the thread.
    pub fn start() -> std::io::Result<Timer> {
        let shared = Arc::new(Shared::default());
        let weak = Arc::downgrade(&shared);
        std::thread::Builder::new().name("timer".to_owned()).spawn(move || {
            while let Some(shared) = weak.upgrade() {
                let mut deadlines = lock(&shared.deadlines);
                let now = Instant::now();
                let mut woken = Vec::new();
                while let Some(Reverse((at, id))) = deadlines.heap.peek().copied()
                    && at <= now
                {
                    deadlines.heap.pop();
                    woken.extend(deadlines.wakers.remove(&id));
                }
                if woken.is_empty() {
                    let wait = deadlines
                        .heap
                        .peek()
                        .map_or(MAX_SLEEP, |Reverse((at, _))| (*at - now).min(MAX_SLEEP));
                    // The loop checks the state again even if the lock is poisoned.
                    drop(shared.changed.wait_timeout(deadlines, wait));
                } else {
                    drop(deadlines);
                    woken.into_iter().for_each(Waker::wake);
                }
            }
        })?;
        Ok(Timer(shared))
    }

    /// Returns a future that completes at `at`.
    pub fn sleep_until(&self, at: Instant) -> Sleep {
        Sleep { timer: self.clone(), at, id: None }
    }

    /// Returns a future that completes after `time`.
    pub fn sleep(&self, time: Duration) -> Sleep {
        self.sleep_until(Instant::now() + time)
    }
}

/// The future of a sleep.
pub struct Sleep {
    timer: Timer,
    at: Instant,
    id: Option<u64>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.at {
            return Poll::Ready(());
        }
        let (at, known) = (self.at, self.id);
        let (id, first) = {
            let mut deadlines = lock(&self.timer.0.deadlines);
            let id = known.unwrap_or(deadlines.next);
            if known.is_none() {
                deadlines.next += 1;
                deadlines.heap.push(Reverse((at, id)));
            } else if !deadlines.wakers.contains_key(&id) {
                // The deadline was popped, but the waker ran slightly too early: wait again.
                deadlines.heap.push(Reverse((at, id)));
            }
            deadlines.wakers.insert(id, cx.waker().clone());
            (id, deadlines.heap.peek().is_some_and(|Reverse((_, first))| *first == id))
        };
        self.id = Some(id);
        if first {
            self.timer.0.changed.notify_one();
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            lock(&self.timer.0.deadlines).wakers.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn sleeps_end_in_order_and_not_early() {
        let timer = Timer::start().unwrap();
        let begun = Instant::now();
        let order = Arc::new(Mutex::new(Vec::new()));
        let waits = [30, 5, 10, 5].map(|ms| {
            let (timer, order) = (timer.clone(), order.clone());
            tokio::spawn(async move {
                timer.sleep_until(begun + Duration::from_millis(ms)).await;
                assert!(begun.elapsed() >= Duration::from_millis(ms));
                lock(&order).push(ms);
            })
        });
        for wait in waits {
            wait.await.unwrap();
        }
        assert_eq!(*lock(&order), [5, 5, 10, 30]);
        let abandoned = timer.sleep(Duration::from_secs(3600));
        assert!(tokio::time::timeout(Duration::from_millis(10), abandoned).await.is_err());
        assert!(lock(&timer.0.deadlines).wakers.is_empty());
    }
}
