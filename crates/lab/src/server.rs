//! A model of a config server: cores shared by the requests in progress, a queue, a cache of keys, and a
//! slow start. It does no I/O and reads no clock: its caller passes the time.

use crate::plan::Plan;
use std::collections::{HashMap, VecDeque};

/// Parameters of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core; 1 is the reference speed in which work is measured.
    pub speed: f64,
    /// Maximum number of requests in progress.
    pub slots: usize,
    /// Maximum number of requests in the queue.
    pub queue: usize,
    /// Requests held per core above which the server loses capacity.
    pub thrash_at: f64,
    /// Loss of capacity by overload: with n requests held beyond `thrash_at` per core, the capacity is
    /// divided by 1 + n * `thrash`.
    pub thrash: f64,
    /// Share of its capacity that the server has when it starts.
    pub cold_from: f64,
    /// Time until it has its full capacity, in milliseconds.
    pub cold_ms: f64,
    /// Share of the work that is saved for a known key.
    pub key_saving: f64,
    /// Time for which a key is known, in milliseconds.
    pub key_ms: f64,
    /// Maximum number of known keys.
    pub keys: usize,
    /// True if cancelling a request also stops it while it is in progress.
    pub cancel_stops: bool,
    /// Work received while cold, as a multiple of the server's capacity, above which it falls over ...
    pub fall_multiple: f64,
    /// ... if received within this time, in milliseconds.
    pub fall_ms: f64,
}

/// Returns the parameters of a server of the plan.
pub fn server_spec(plan: &Plan, number: usize) -> ServerSpec {
    let fleet = &plan.scenario.fleet;
    ServerSpec {
        cores: fleet.cores,
        speed: plan.machines[number].speed,
        slots: (fleet.slots_per_core * fleet.cores).round() as usize,
        queue: (fleet.queue_per_core * fleet.cores).round() as usize,
        thrash_at: fleet.thrash_at,
        thrash: fleet.thrash,
        cold_from: fleet.cold_from,
        cold_ms: fleet.cold_s * 1000.0,
        key_saving: fleet.key_saving,
        key_ms: fleet.key_s * 1000.0,
        keys: fleet.keys,
        cancel_stops: fleet.cancel_stops,
        fall_multiple: plan.scenario.rules.fall_multiple,
        fall_ms: plan.scenario.rules.fall_s * 1000.0,
    }
}

/// A request that the server holds, with the work left.
#[derive(Clone, Copy, Debug)]
struct Job {
    id: u64,
    left_ms: f64,
    key: Option<u64>,
}

/// What the server does with a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is in progress or queued.
    Accepted,
    /// The request is rejected without running.
    Rejected,
    /// The server falls over: it is cold and received too much work.
    FellOver,
}

/// The model of one server.
#[derive(Clone, Debug)]
pub struct Server {
    spec: ServerSpec,
    /// Start time, in milliseconds; far in the past for a warm server.
    started_ms: f64,
    in_progress: Vec<Job>,
    queue: VecDeque<Job>,
    now_ms: f64,
    /// Factor on the speed.
    pub speed_factor: f64,
    /// Share of the cores that another program takes.
    pub neighbour_share: f64,
    /// Time for which the server pauses in each second, in milliseconds.
    pub pause_ms: f64,
    /// Known keys with the time at which each was last used, in milliseconds.
    known: HashMap<u64, f64>,
    /// Work received while cold: time and amount, both in milliseconds.
    sent: VecDeque<(f64, f64)>,
    fallen: bool,
    /// Requests with a key received over all starts.
    pub keyed_requests: u64,
    /// Those of them whose key was known.
    pub known_key_requests: u64,
    /// Work done since the start, in milliseconds of a core of speed 1.
    pub done_ms: f64,
}

/// Step in which the speed is treated as constant while the server is cold or has pauses, in milliseconds.
const STEP_MS: f64 = 20.0;
/// Tolerance for random variation of the load on a cold server, as a factor.
const COLD_TOLERANCE: f64 = 1.1;

impl Server {
    /// Creates a server that started at `started_ms`.
    pub fn new(spec: ServerSpec, started_ms: f64) -> Server {
        Server {
            spec,
            started_ms,
            in_progress: Vec::new(),
            queue: VecDeque::new(),
            now_ms: started_ms.max(0.0),
            speed_factor: 1.0,
            neighbour_share: 0.0,
            pause_ms: 0.0,
            known: HashMap::new(),
            sent: VecDeque::new(),
            fallen: false,
            keyed_requests: 0,
            known_key_requests: 0,
            done_ms: 0.0,
        }
    }

    /// Restarts the server, cold, at `now_ms`. Returns the ids of the requests lost.
    pub fn restart(&mut self, now_ms: f64) -> Vec<u64> {
        let lost = self.in_progress.iter().chain(&self.queue).map(|j| j.id).collect();
        let (speed_factor, neighbour_share, pause_ms) =
            (self.speed_factor, self.neighbour_share, self.pause_ms);
        let (keyed_requests, known_key_requests) = (self.keyed_requests, self.known_key_requests);
        *self = Server {
            speed_factor,
            neighbour_share,
            pause_ms,
            keyed_requests,
            known_key_requests,
            now_ms,
            ..Server::new(self.spec.clone(), now_ms)
        };
        lost
    }

    /// Returns the number of requests in progress and queued.
    pub fn held(&self) -> usize {
        self.in_progress.len() + self.queue.len()
    }

    /// Returns true if the server fell over and has not been restarted.
    pub fn has_fallen(&self) -> bool {
        self.fallen
    }

    /// Returns the share of its capacity that the server has at `now`, from its time since the start.
    pub fn capacity_share(&self, now: f64) -> f64 {
        let age = now - self.started_ms;
        if age >= self.spec.cold_ms {
            return 1.0;
        }
        self.spec.cold_from + (1.0 - self.spec.cold_from) * (age / self.spec.cold_ms).max(0.0)
    }

    /// Returns true if the server is cold at `now`.
    pub fn is_cold(&self, now: f64) -> bool {
        now - self.started_ms < self.spec.cold_ms
    }

    /// Returns true if the server is in a pause at `now`.
    fn is_paused(&self, now: f64) -> bool {
        self.pause_ms > 0.0 && now.rem_euclid(1000.0) < self.pause_ms
    }

    /// Returns the work done on each request in progress per millisecond.
    fn rate(&self, now: f64) -> f64 {
        if self.in_progress.is_empty() || self.is_paused(now) || self.fallen {
            return 0.0;
        }
        let cores = self.spec.cores * (1.0 - self.neighbour_share).max(0.01);
        let over = (self.held() as f64 - self.spec.thrash_at * self.spec.cores).max(0.0);
        let thrash = 1.0 / (1.0 + self.spec.thrash * over);
        let share = (cores / self.in_progress.len() as f64).min(1.0);
        self.spec.speed * self.speed_factor * self.capacity_share(now) * share * thrash
    }

    /// Returns true if the speed changes only with the requests held: the server is warm and has no pauses.
    fn is_steady(&self, now: f64) -> bool {
        !self.is_cold(now) && self.pause_ms <= 0.0
    }

    /// Advances the model to `now` and appends the ids of completed requests to `done`, in order of
    /// completion.
    pub fn advance(&mut self, now: f64, done: &mut Vec<u64>) {
        while self.now_ms < now {
            let rate = self.rate(self.now_ms);
            let least_left_ms = self.in_progress.iter().map(|j| j.left_ms).fold(f64::INFINITY, f64::min);
            let completes_ms = if rate > 0.0 { self.now_ms + least_left_ms / rate } else { f64::INFINITY };
            let mut to = now.min(completes_ms);
            if !self.is_steady(self.now_ms) {
                to = to.min(self.now_ms + STEP_MS);
            }
            // Guarantees progress in spite of rounding errors.
            let to = to.max(self.now_ms + 1e-6).min(now);
            let worked = rate * (to - self.now_ms);
            self.done_ms += worked * self.in_progress.len() as f64;
            self.in_progress.iter_mut().for_each(|j| j.left_ms -= worked);
            self.now_ms = to;
            self.finish(done);
            if self.in_progress.is_empty() && self.queue.is_empty() {
                self.now_ms = now;
            }
        }
    }

    /// Removes completed requests and starts queued ones.
    fn finish(&mut self, done: &mut Vec<u64>) {
        let mut n = 0;
        while let Some(job) = self.in_progress.get(n).copied() {
            if job.left_ms > 1e-6 {
                n += 1;
                continue;
            }
            self.in_progress.remove(n);
            done.push(job.id);
            if let Some(key) = job.key {
                self.learn(key);
            }
        }
        while self.in_progress.len() < self.spec.slots.max(1) {
            let Some(job) = self.queue.pop_front() else { break };
            self.in_progress.push(job);
        }
    }

    /// Adds a key to the known ones, in place of the oldest one if there are too many.
    fn learn(&mut self, key: u64) {
        if self.known.len() >= self.spec.keys.max(1) && !self.known.contains_key(&key) {
            let oldest = self.known.iter().min_by(|a, b| a.1.total_cmp(b.1).then(a.0.cmp(b.0)));
            if let Some(oldest) = oldest.map(|(k, _)| *k) {
                self.known.remove(&oldest);
            }
        }
        self.known.insert(key, self.now_ms);
    }

    /// Returns the time at which the next request completes if none arrives before, or an earlier time at
    /// which to advance the model again.
    pub fn next_event_ms(&self) -> Option<f64> {
        if self.in_progress.is_empty() || self.fallen {
            return None;
        }
        let rate = self.rate(self.now_ms);
        let least_left_ms = self.in_progress.iter().map(|j| j.left_ms).fold(f64::INFINITY, f64::min);
        let completes_ms =
            if rate > 0.0 { self.now_ms + (least_left_ms / rate).max(1e-3) } else { f64::INFINITY };
        Some(if self.is_steady(self.now_ms) {
            completes_ms
        } else {
            completes_ms.min(self.now_ms + STEP_MS)
        })
    }

    /// Accepts or rejects a request with `work_ms` of work. The model must have been advanced to `now`.
    pub fn arrive(&mut self, now: f64, id: u64, work_ms: f64, key: Option<u64>) -> Admission {
        self.now_ms = self.now_ms.max(now);
        if self.fallen {
            return Admission::Rejected;
        }
        let is_known = key.and_then(|k| self.known.get(&k)).is_some_and(|at| now - at < self.spec.key_ms);
        self.keyed_requests += u64::from(key.is_some());
        self.known_key_requests += u64::from(is_known);
        let left_ms = if is_known { work_ms * (1.0 - self.spec.key_saving) } else { work_ms };
        if self.is_cold(now) {
            self.sent.push_back((now, left_ms));
            while self.sent.front().is_some_and(|(at, _)| now - at > self.spec.fall_ms) {
                self.sent.pop_front();
            }
            let sent_ms: f64 = self.sent.iter().map(|s| s.1).sum();
            let capacity_ms =
                self.spec.cores * self.spec.speed * self.capacity_share(now) * self.spec.fall_ms;
            if sent_ms > COLD_TOLERANCE * self.spec.fall_multiple * capacity_ms {
                self.fallen = true;
                return Admission::FellOver;
            }
        }
        let job = Job { id, left_ms: left_ms.max(1e-6), key };
        if self.in_progress.len() < self.spec.slots.max(1) {
            self.in_progress.push(job);
        } else if self.queue.len() < self.spec.queue {
            self.queue.push_back(job);
        } else {
            return Admission::Rejected;
        }
        Admission::Accepted
    }

    /// Cancels a request. Returns false if it continues or is unknown.
    pub fn cancel(&mut self, id: u64) -> bool {
        if let Some(n) = self.queue.iter().position(|j| j.id == id) {
            self.queue.remove(n);
            return true;
        }
        let n = self.in_progress.iter().position(|j| j.id == id).filter(|_| self.spec.cancel_stops);
        if let Some(n) = n {
            self.in_progress.remove(n);
            if let Some(job) = self.queue.pop_front() {
                self.in_progress.push(job);
            }
        }
        n.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec() -> ServerSpec {
        ServerSpec {
            cores: 2.0,
            speed: 1.0,
            slots: 4,
            queue: 2,
            thrash_at: 100.0,
            thrash: 0.0,
            cold_from: 0.25,
            cold_ms: 4000.0,
            key_saving: 0.5,
            key_ms: 1000.0,
            keys: 2,
            cancel_stops: true,
            fall_multiple: 3.0,
            fall_ms: 2000.0,
        }
    }

    fn warm() -> Server {
        Server::new(spec(), -1e9)
    }

    fn run(server: &mut Server, to: f64) -> Vec<u64> {
        let mut done = Vec::new();
        server.advance(to, &mut done);
        done
    }

    #[test]
    fn requests_in_progress_share_the_cores() {
        let mut s = warm();
        assert_eq!(s.arrive(0.0, 1, 100.0, None), Admission::Accepted);
        assert_eq!(s.next_event_ms(), Some(100.0));
        for id in 2..=4 {
            s.arrive(0.0, id, 100.0, None);
        }
        // Four requests on two cores take twice as long.
        assert_eq!(s.next_event_ms(), Some(200.0));
        assert!(run(&mut s, 199.0).is_empty());
        assert_eq!(run(&mut s, 200.1), [1, 2, 3, 4]);
    }

    #[test]
    fn requests_beyond_the_slots_are_queued_and_beyond_the_queue_rejected() {
        let mut s = warm();
        let admitted: Vec<Admission> = (0..7).map(|id| s.arrive(0.0, id, 100.0, None)).collect();
        assert_eq!(admitted.iter().filter(|a| **a == Admission::Accepted).count(), 6);
        assert_eq!(admitted[6], Admission::Rejected);
        assert!(s.cancel(5) && !s.cancel(5), "a queued request");
        assert!(s.cancel(0), "one in progress, whose slot the next one gets");
        assert_eq!(s.held(), 4);
        let mut uncancellable = Server::new(ServerSpec { cancel_stops: false, ..spec() }, -1e9);
        uncancellable.arrive(0.0, 1, 10.0, None);
        assert!(!uncancellable.cancel(1));
    }

    #[test]
    fn a_known_key_saves_work_and_the_number_of_known_keys_is_limited() {
        let mut s = warm();
        s.arrive(0.0, 1, 100.0, Some(7));
        assert_eq!(run(&mut s, 100.1), [1]);
        s.arrive(200.0, 2, 100.0, Some(7));
        assert_eq!(run(&mut s, 250.1), [2]);
        for (id, key) in [(3, 8), (4, 9)] {
            s.arrive(250.1, id, 1.0, Some(key));
        }
        run(&mut s, 260.0);
        s.arrive(260.0, 5, 100.0, Some(7));
        assert!(run(&mut s, 350.0).is_empty(), "displaced by two newer keys");
    }

    #[test]
    fn a_cold_server_is_slow_and_falls_over_under_too_much_work() {
        let mut s = Server::new(spec(), 0.0);
        s.arrive(0.0, 1, 100.0, None);
        assert!(run(&mut s, 300.0).is_empty());
        assert_eq!(run(&mut s, 400.0), [1], "a quarter of the speed, which rises slowly");
        // The limit is three times a quarter of two cores for two seconds, which is 3000 ms, and rises with
        // the capacity.
        let mut pushed = Server::new(ServerSpec { queue: 1000, ..spec() }, 0.0);
        let fell_at =
            (0..60).position(|n| pushed.arrive(f64::from(n), n as u64, 100.0, None) == Admission::FellOver);
        assert!(fell_at.is_some_and(|n| (32..=36).contains(&n)), "{fell_at:?}");
        assert!(pushed.has_fallen() && pushed.arrive(70.0, 99, 1.0, None) == Admission::Rejected);
        let lost = pushed.restart(1000.0);
        assert!(lost.len() > 30 && !pushed.has_fallen() && pushed.is_cold(1001.0) && pushed.held() == 0);
    }

    #[test]
    fn pauses_neighbours_and_overload_slow_a_server_down() {
        let mut s = warm();
        s.pause_ms = 300.0;
        s.arrive(0.0, 1, 100.0, None);
        assert!(run(&mut s, 399.0).is_empty());
        assert_eq!(run(&mut s, 420.0), [1]);
        let mut s = warm();
        s.neighbour_share = 0.5;
        s.arrive(0.0, 1, 100.0, None);
        s.arrive(0.0, 2, 100.0, None);
        assert_eq!(s.next_event_ms(), Some(200.0));
        let mut s = Server::new(ServerSpec { thrash_at: 0.5, thrash: 1.0, ..spec() }, -1e9);
        s.arrive(0.0, 1, 100.0, None);
        s.arrive(0.0, 2, 100.0, None);
        assert_eq!(s.next_event_ms(), Some(200.0), "one request beyond the threshold");
    }
}
