//! A config server as a model: cores shared by what is in work, a waiting room, keys that it remembers, and a cold
//! start. No I/O and no clock: whoever drives it says when it is.

use crate::plan::Plan;
use std::collections::{HashMap, VecDeque};

/// What kind of machine it is.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Cores.
    pub cores: f64,
    /// Speed of a core.
    pub speed: f64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Requests held from which it loses capacity, and what part of it for each.
    pub thrash_at: f64,
    /// See above.
    pub thrash: f64,
    /// Part of its capacity that it starts with.
    pub cold_from: f64,
    /// Until it is warm, in milliseconds.
    pub cold_ms: f64,
    /// Part of the work that is saved for a known key.
    pub key_saving: f64,
    /// A key is known for so long, in milliseconds.
    pub key_ms: f64,
    /// Keys that are known at once.
    pub keys: usize,
    /// A cancel stops what is in work, too.
    pub cancel_stops: bool,
    /// While it is cold, work of more than this multiple of what it can do pushes it over ...
    pub fall_multiple: f64,
    /// ... when sent within so long, in milliseconds.
    pub fall_ms: f64,
}

/// The machine of a server of a day.
pub fn spec(plan: &Plan, number: usize) -> Spec {
    let f = &plan.scenario.fleet;
    Spec {
        cores: f.cores,
        speed: plan.machines[number].speed,
        slots: (f.slots_per_core * f.cores).round() as usize,
        queue: (f.queue_per_core * f.cores).round() as usize,
        thrash_at: f.thrash_at,
        thrash: f.thrash,
        cold_from: f.cold_from,
        cold_ms: f.cold_s * 1000.0,
        key_saving: f.key_saving,
        key_ms: f.key_s * 1000.0,
        keys: f.keys,
        cancel_stops: f.cancel_stops,
        fall_multiple: plan.scenario.rules.fall_multiple,
        fall_ms: plan.scenario.rules.fall_s * 1000.0,
    }
}

#[derive(Clone, Copy, Debug)]
struct Job {
    id: u64,
    left: f64,
    key: Option<u64>,
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// It is worked on, or waits.
    Taken,
    /// Turned away, unseen.
    Full,
    /// The server fell over by it: too much for one that is cold.
    Fell,
}

/// One server.
#[derive(Clone, Debug)]
pub struct Server {
    spec: Spec,
    /// When it came up; long ago for one that is warm.
    since: f64,
    work: Vec<Job>,
    waiting: VecDeque<Job>,
    now: f64,
    /// Multiplies its speed.
    pub pace: f64,
    /// Part of its cores that another program takes.
    pub taken: f64,
    /// It stands still for so long, in milliseconds, each second.
    pub pause_ms: f64,
    known: HashMap<u64, f64>,
    /// What was sent to it while cold: when, and how much.
    sent: VecDeque<(f64, f64)>,
    fallen: bool,
    /// Requests with a key so far, over all its starts, and those whose key it knew.
    pub met: u64,
    /// See above.
    pub knew: u64,
    /// Work done since it came up, in milliseconds of a core of speed 1.
    pub done_ms: f64,
}

/// While it is cold or pauses, its speed is taken for the same for so long.
const STEP_MS: f64 = 20.0;
/// Chance may exceed the cold budget by this.
const SLACK: f64 = 1.1;

impl Server {
    /// One that came up at `since`.
    pub fn new(spec: Spec, since: f64) -> Server {
        Server {
            spec,
            since,
            work: Vec::new(),
            waiting: VecDeque::new(),
            now: since.max(0.0),
            pace: 1.0,
            taken: 0.0,
            pause_ms: 0.0,
            known: HashMap::new(),
            sent: VecDeque::new(),
            fallen: false,
            met: 0,
            knew: 0,
            done_ms: 0.0,
        }
    }

    /// Starts again, cold, at `now`; what it had is gone, and its ids are handed back.
    pub fn restart(&mut self, now: f64) -> Vec<u64> {
        let lost = self.work.iter().chain(&self.waiting).map(|j| j.id).collect();
        let (pace, taken, pause_ms) = (self.pace, self.taken, self.pause_ms);
        let (met, knew) = (self.met, self.knew);
        *self = Server { pace, taken, pause_ms, met, knew, now, ..Server::new(self.spec.clone(), now) };
        lost
    }

    /// Requests that it holds.
    pub fn held(&self) -> usize {
        self.work.len() + self.waiting.len()
    }

    /// Pushed over, and down since.
    pub fn fallen(&self) -> bool {
        self.fallen
    }

    /// Its part of its capacity at a moment, by how long it is up.
    pub fn ramp(&self, now: f64) -> f64 {
        let age = now - self.since;
        if age >= self.spec.cold_ms {
            return 1.0;
        }
        self.spec.cold_from + (1.0 - self.spec.cold_from) * (age / self.spec.cold_ms).max(0.0)
    }

    /// It is cold at that moment.
    pub fn cold(&self, now: f64) -> bool {
        now - self.since < self.spec.cold_ms
    }

    fn paused(&self, now: f64) -> bool {
        self.pause_ms > 0.0 && now.rem_euclid(1000.0) < self.pause_ms
    }

    /// Work that each request in work has done in a millisecond.
    fn rate(&self, now: f64) -> f64 {
        if self.work.is_empty() || self.paused(now) || self.fallen {
            return 0.0;
        }
        let cores = self.spec.cores * (1.0 - self.taken).max(0.01);
        let over = (self.held() as f64 - self.spec.thrash_at * self.spec.cores).max(0.0);
        let thrash = 1.0 / (1.0 + self.spec.thrash * over);
        let share = (cores / self.work.len() as f64).min(1.0);
        self.spec.speed * self.pace * self.ramp(now) * share * thrash
    }

    fn steady(&self, now: f64) -> bool {
        !self.cold(now) && self.pause_ms <= 0.0
    }

    /// Works up to `now`; ids of what was completed meanwhile go to `done`, in their order.
    pub fn advance(&mut self, now: f64, done: &mut Vec<u64>) {
        while self.now < now {
            let rate = self.rate(self.now);
            let least = self.work.iter().map(|j| j.left).fold(f64::INFINITY, f64::min);
            let ends = if rate > 0.0 { self.now + least / rate } else { f64::INFINITY };
            let mut to = now.min(ends);
            if !self.steady(self.now) {
                to = to.min(self.now + STEP_MS);
            }
            // Rounding must not keep it where it is.
            let to = to.max(self.now + 1e-6).min(now);
            let worked = rate * (to - self.now);
            self.done_ms += worked * self.work.len() as f64;
            self.work.iter_mut().for_each(|j| j.left -= worked);
            self.now = to;
            self.finish(done);
            if self.work.is_empty() && self.waiting.is_empty() {
                self.now = now;
            }
        }
    }

    fn finish(&mut self, done: &mut Vec<u64>) {
        let mut n = 0;
        while let Some(job) = self.work.get(n).copied() {
            if job.left > 1e-6 {
                n += 1;
                continue;
            }
            self.work.remove(n);
            done.push(job.id);
            if let Some(key) = job.key {
                self.learn(key);
            }
        }
        while self.work.len() < self.spec.slots.max(1) {
            let Some(job) = self.waiting.pop_front() else { break };
            self.work.push(job);
        }
    }

    fn learn(&mut self, key: u64) {
        if self.known.len() >= self.spec.keys.max(1) && !self.known.contains_key(&key) {
            let oldest = self.known.iter().min_by(|a, b| a.1.total_cmp(b.1).then(a.0.cmp(b.0)));
            if let Some(oldest) = oldest.map(|(k, _)| *k) {
                self.known.remove(&oldest);
            }
        }
        self.known.insert(key, self.now);
    }

    /// When something will be completed, if nothing comes up before; at the latest when to look again.
    pub fn next(&self) -> Option<f64> {
        if self.work.is_empty() || self.fallen {
            return None;
        }
        let rate = self.rate(self.now);
        let least = self.work.iter().map(|j| j.left).fold(f64::INFINITY, f64::min);
        let ends = if rate > 0.0 { self.now + (least / rate).max(1e-3) } else { f64::INFINITY };
        Some(if self.steady(self.now) { ends } else { ends.min(self.now + STEP_MS) })
    }

    /// Takes a request of `work_ms` in at `now`, to which it must have been advanced.
    pub fn arrive(&mut self, now: f64, id: u64, work_ms: f64, key: Option<u64>) -> Admit {
        self.now = self.now.max(now);
        if self.fallen {
            return Admit::Full;
        }
        let warm = key.and_then(|k| self.known.get(&k)).is_some_and(|at| now - at < self.spec.key_ms);
        self.met += u64::from(key.is_some());
        self.knew += u64::from(warm);
        let left = if warm { work_ms * (1.0 - self.spec.key_saving) } else { work_ms };
        if self.cold(now) {
            self.sent.push_back((now, left));
            while self.sent.front().is_some_and(|(at, _)| now - at > self.spec.fall_ms) {
                self.sent.pop_front();
            }
            let sent: f64 = self.sent.iter().map(|s| s.1).sum();
            let able = self.spec.cores * self.spec.speed * self.ramp(now) * self.spec.fall_ms;
            if sent > SLACK * self.spec.fall_multiple * able {
                self.fallen = true;
                return Admit::Fell;
            }
        }
        let job = Job { id, left: left.max(1e-6), key };
        if self.work.len() < self.spec.slots.max(1) {
            self.work.push(job);
        } else if self.waiting.len() < self.spec.queue {
            self.waiting.push_back(job);
        } else {
            return Admit::Full;
        }
        Admit::Taken
    }

    /// Whoever sent it has gone. False: it goes on, or is not there.
    pub fn cancel(&mut self, id: u64) -> bool {
        if let Some(n) = self.waiting.iter().position(|j| j.id == id) {
            self.waiting.remove(n);
            return true;
        }
        let n = self.work.iter().position(|j| j.id == id).filter(|_| self.spec.cancel_stops);
        if let Some(n) = n {
            self.work.remove(n);
            if let Some(job) = self.waiting.pop_front() {
                self.work.push(job);
            }
        }
        n.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec() -> Spec {
        Spec {
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
    fn cores_are_shared_by_what_is_in_work() {
        let mut s = warm();
        assert_eq!(s.arrive(0.0, 1, 100.0, None), Admit::Taken);
        assert_eq!(s.next(), Some(100.0));
        for id in 2..=4 {
            s.arrive(0.0, id, 100.0, None);
        }
        // Four on two cores take twice as long.
        assert_eq!(s.next(), Some(200.0));
        assert!(run(&mut s, 199.0).is_empty());
        assert_eq!(run(&mut s, 200.1), [1, 2, 3, 4]);
    }

    #[test]
    fn beyond_its_slots_requests_wait_and_beyond_its_room_they_are_turned_away() {
        let mut s = warm();
        let admitted: Vec<Admit> = (0..7).map(|id| s.arrive(0.0, id, 100.0, None)).collect();
        assert_eq!(admitted.iter().filter(|a| **a == Admit::Taken).count(), 6);
        assert_eq!(admitted[6], Admit::Full);
        assert!(s.cancel(5) && !s.cancel(5), "one that waits");
        assert!(s.cancel(0), "one in work, whose slot the next one gets");
        assert_eq!(s.held(), 4);
        let mut stubborn = Server::new(Spec { cancel_stops: false, ..spec() }, -1e9);
        stubborn.arrive(0.0, 1, 10.0, None);
        assert!(!stubborn.cancel(1));
    }

    #[test]
    fn a_key_that_it_met_lately_is_less_work_and_only_so_many_are_known() {
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
        assert!(run(&mut s, 350.0).is_empty(), "forgotten for two newer ones");
    }

    #[test]
    fn a_cold_one_is_slow_and_falls_over_when_pushed() {
        let mut s = Server::new(spec(), 0.0);
        s.arrive(0.0, 1, 100.0, None);
        assert!(run(&mut s, 300.0).is_empty());
        assert_eq!(run(&mut s, 400.0), [1], "a quarter of the speed, and a little more by and by");
        // Three times a quarter of two cores for two seconds are 3000 ms, and it rises.
        let mut pushed = Server::new(Spec { queue: 1000, ..spec() }, 0.0);
        let fell = (0..60).position(|n| pushed.arrive(f64::from(n), n as u64, 100.0, None) == Admit::Fell);
        assert!(fell.is_some_and(|n| (32..=36).contains(&n)), "{fell:?}");
        assert!(pushed.fallen() && pushed.arrive(70.0, 99, 1.0, None) == Admit::Full);
        let lost = pushed.restart(1000.0);
        assert!(lost.len() > 30 && !pushed.fallen() && pushed.cold(1001.0) && pushed.held() == 0);
    }

    #[test]
    fn pauses_neighbours_and_thrash_take_time() {
        let mut s = warm();
        s.pause_ms = 300.0;
        s.arrive(0.0, 1, 100.0, None);
        assert!(run(&mut s, 399.0).is_empty());
        assert_eq!(run(&mut s, 420.0), [1]);
        let mut s = warm();
        s.taken = 0.5;
        s.arrive(0.0, 1, 100.0, None);
        s.arrive(0.0, 2, 100.0, None);
        assert_eq!(s.next(), Some(200.0));
        let mut s = Server::new(Spec { thrash_at: 0.5, thrash: 1.0, ..spec() }, -1e9);
        s.arrive(0.0, 1, 100.0, None);
        s.arrive(0.0, 2, 100.0, None);
        assert_eq!(s.next(), Some(200.0), "one over what it holds easily");
    }
}
