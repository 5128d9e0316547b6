//! The life of a request: it comes, is tried, fails, is tried again, and ends; and what each end teaches.

use super::admission::TARGET_STRAIN;
use super::peer_messages::TOLD_ANSWERS;
use super::{Balancer, send_rules};
use crate::counters::StopReason;
use crate::interface::{Action, AttemptEnded, Outcome, Reporting, Request, RequestId};
use crate::peer_message::PeerMessage;
use crate::request_table::{Attempt, OpenRequest};
use crate::statistics::{mix_bits, pressed};

/// Cap of a backend that answers nothing but errors: a request every thirty usual times shows when it mends.
const ERRING_FLOOR: f64 = 1.0 / 32.0;

impl Balancer {
    pub(super) fn on_request(&mut self, now: f64, request: Request, out: &mut Vec<Action>) {
        let given = (request.deadline_ms - now).max(0.0);
        let class = self.settings.classes.get(request.class);
        let (aim, deadline) = class.map_or((given, given), |c| (c.aim_ms, c.deadline_ms));
        let mut worth = class.map_or(1.0, |c| c.worth);
        let late_worth = class.map_or(0.0, |c| c.late_worth);
        let mut age = 0.0;
        if let Some(l) = self.learned.get_mut(request.class) {
            // A client in a hurry looks like one at its last try. Where a late answer still has worth, the
            // doubt is the client's: held for old, such clients were all shed in easy times.
            age = if late_worth > 0.0 { 0.0 } else { l.age(given, deadline) };
            l.asked += if age > 0.0 { 0.0 } else { 1.0 };
        }
        let over = self.over_share(request.tenant);
        if over {
            worth *= self.settings.over_share_worth;
        }
        if age >= aim {
            worth *= late_worth;
        }
        let mean = self.learned.get(request.class).map_or(1.0, |l| l.mean.max(1.0));
        let cost = request.effort_ms.filter(|e| e.is_finite() && *e > 0.0).unwrap_or(mean);
        self.counters.ask();
        let let_in = self.let_in(&request, cost, worth, over || age >= aim);
        if let Some(key) = request.key {
            self.keys.note(mix_bits(key));
        }
        // Budgets guard a strained fleet: one at ease can bear more.
        let a = &mut self.admission;
        let share = 0.1 + 0.2 * (1.0 - a.strain / TARGET_STRAIN).max(0.0);
        (a.retry, a.spill) = ((a.retry + share).min(10.0), (a.spill + share).min(10.0));
        let id = request.id;
        let aim_at = now + (aim - age).max(0.0);
        let open =
            OpenRequest { request, arrived: now, aim_at, worth, finished: false, attempts: Vec::new() };
        self.open.insert(id, open);
        if let_in {
            self.attempt(now, id, out);
        } else {
            self.answer(now, id, out);
        }
    }

    /// Sends an attempt, or answers when there is nowhere to send it.
    pub(super) fn attempt(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(index) = self.pick(now, id) else {
            // What finds every way blocked is pressure too: admission must shed by worth, not by chance.
            // It counts as far as backends are blocked at large: a hot key's two are no matter of the fleet.
            let worth = self.open.get(&id).map_or(0.0, |o| o.worth);
            self.counters.stop(StopReason::NoBackend);
            let blocked = self.admission.blocked;
            self.admission.evidence.note(0.0, worth * blocked, blocked);
            return self.answer(now, id, out);
        };
        let gain = self.cold_gain(now, index);
        let Some(open) = self.open.get_mut(&id) else { return };
        let class = self.settings.classes.get(open.request.class);
        let late = class.is_some_and(|c| c.late_worth > 0.0);
        let end = if late && self.admission.level > 0.95 { open.request.deadline_ms } else { open.aim_at };
        let mut timeout = end.min(open.request.deadline_ms) - now;
        let b = &mut self.backends[index];
        if let Some(l) = self.learned.get(open.request.class).filter(|l| l.seen >= 20) {
            // n is short where the backend is in doubt and a repeat is allowed: a silent one costs little.
            let doubt = b.record.congested || b.record.doubt > 0;
            if doubt && send_rules::repeats(class) && self.admission.retry >= 1.0 {
                timeout = timeout.min(l.mean + 4.0 * l.spread);
            }
        }
        if timeout < self.settings.tick_ms {
            return self.answer(now, id, out);
        }
        b.in_flight += 1;
        self.in_flight += 1;
        let trial = b.record.congested;
        b.record.trial_out |= trial;
        if now - b.cold_since < self.settings.cold_ms {
            b.cold_tokens = b.cold_tokens.min(1.0 - gain) - 1.0;
        }
        let (backend, zone, cell) = (b.id, b.zone, b.cell);
        open.attempts.push(Attempt { backend, zone, cell, sent: now, timeout, trial, ..Attempt::OUT });
        out.push(Action::Send { id, backend, timeout_ms: timeout });
    }

    /// The first bytes are what is timed; the last may come when they will, and crowd nobody out.
    pub(super) fn on_started(&mut self, now: f64, id: RequestId, attempt: u32, elapsed: f64) {
        let Some(o) = self.open.get_mut(&id) else { return };
        o.aim_at = if elapsed <= o.aim_at - o.arrived { f64::INFINITY } else { now };
        if let Some(a) = o.attempts.get_mut(attempt as usize).filter(|a| a.out && !a.begun) {
            a.begun = true;
            self.in_flight = self.in_flight.saturating_sub(1);
        }
    }

    pub(super) fn on_left(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.finished = true;
        if self.settings.may_cancel {
            out.extend(open.cancel(|_| true));
        }
        if !open.out() {
            self.open.remove(&id);
        }
    }

    pub(super) fn on_ended(&mut self, now: f64, e: &AttemptEnded, out: &mut Vec<Action>) {
        let (id, outcome) = (e.id, e.outcome);
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(a) = open.attempts.get_mut(e.attempt as usize).filter(|a| a.out) else { return };
        // A time that is no number must not spoil what is learned.
        let elapsed = if e.elapsed_ms.is_finite() { e.elapsed_ms } else { now - a.sent }.max(0.0);
        a.out = false;
        self.in_flight = self.in_flight.saturating_sub(u32::from(!a.begun));
        a.never_ran = send_rules::never_ran(&self.settings, outcome);
        self.counters.end(outcome);
        open.finished |= e.last;
        let (backend, timeout, trial, class) = (a.backend, a.timeout, a.trial, open.request.class);
        let in_aim = outcome == Outcome::Done && now <= open.aim_at;
        let worth = open.worth;
        // A time-out that was noticed long after it was due is this node's own stall.
        let own_stall = elapsed > timeout + 20.0 * self.settings.tick_ms;
        if let Some(i) = self.find(backend) {
            self.backends[i].in_flight = self.backends[i].in_flight.saturating_sub(1);
            self.close_idle(now, i, out);
            // A backend that fails or refuses fast looks idle: its failures count as full pressure, but only
            // where answers bring reports, which alone lower it again.
            let heard = match outcome {
                Outcome::Done => pressed(&e.load, self.settings.aim_ms(class)),
                Outcome::Cancelled | Outcome::Skipped | Outcome::Rejected => None,
                _ => Some(1.0).filter(|_| self.settings.reporting == Reporting::Answers),
            };
            if let Some(value) = heard {
                self.backends[i].load.hear(now, self.pressure, value);
                self.pressure += 0.05 * (value - self.pressure);
            }
            if trial {
                // Any answer at all shows that it can be reached; called off says nothing.
                match outcome {
                    Outcome::Cancelled | Outcome::Skipped => self.backends[i].record.trial_out = false,
                    Outcome::TimedOut | Outcome::NotConnected | Outcome::Reset => {
                        self.trial_over(now, i, PeerMessage::TrialFailed, out);
                    }
                    _ => self.trial_over(now, i, PeerMessage::TrialSucceeded, out),
                }
            } else if !own_stall {
                self.learn(now, i, class, (outcome, in_aim, elapsed), worth, out);
            }
        }
        if in_aim && let Some(l) = self.learned.get_mut(class) {
            l.served += 1.0;
        }
        let Some(open) = self.open.get(&id).filter(|o| !o.out()) else { return };
        if open.finished || outcome == Outcome::Rejected {
            // What is wrong here is wrong everywhere.
            if self.open.remove(&id).is_some_and(|o| !o.finished) {
                out.push(Action::Fail(id));
            }
            return;
        }
        // Further attempts multiply load: each takes from a budget, less where nothing ran.
        let price = if send_rules::never_ran(&self.settings, outcome) { 0.25 } else { 1.0 };
        if self.admission.retry >= price && outcome != Outcome::Skipped && now < open.aim_at {
            self.admission.retry -= price;
            self.attempt(now, id, out);
        } else {
            self.answer(now, id, out);
        }
    }

    /// What an attempt's end says of its backend and of the fleet.
    pub(super) fn learn(
        &mut self,
        now: f64,
        i: usize,
        class: usize,
        (outcome, in_aim, elapsed): (Outcome, bool, f64),
        worth: f64,
        out: &mut Vec<Action>,
    ) {
        let window = self.window();
        if matches!(outcome, Outcome::Cancelled | Outcome::Skipped | Outcome::Rejected) {
            return;
        }
        // Time-outs count as answers that took at least so long: left out, they would make n ever shorter.
        if matches!(outcome, Outcome::Done | Outcome::TimedOut)
            && let Some(l) = self.learned.get_mut(class)
        {
            l.answer(elapsed);
        }
        if outcome == Outcome::Done && now - self.backends[i].cold_since >= self.settings.cold_ms {
            self.warm.note();
        }
        let aim = self.settings.aim_ms(class);
        let strain = match outcome {
            Outcome::Done if in_aim => {
                // Strain starts half-way, as ratios go, from the class's usual time to its aim: holding
                // more in flight than that serves nobody sooner, long before the aim itself is missed.
                let usual = self.learned.get(class).map_or(0.0, |l| l.usual).min(0.8 * aim);
                let from = (usual * aim).sqrt();
                ((elapsed - from) / (aim - from)).clamp(0.0, 1.0)
            }
            _ => 1.0,
        };
        let broken = matches!(outcome, Outcome::NotConnected | Outcome::Reset);
        let failed = broken || outcome == Outcome::TimedOut;
        let far = self.far(self.backends[i].zone);
        let b = &mut self.backends[i];
        if !broken {
            self.near.note(far, strain);
        }
        // A full or unreachable backend is its own matter; the request goes elsewhere.
        if !broken && outcome != Outcome::Full && !b.record.congested {
            self.admission.evidence.note(worth * (1.0 - strain), worth * strain, 1.0);
        }
        // Caps tell backends apart: what the whole fleet suffers is admission's matter.
        // At the floor all nodes together keep half a request in flight; far less where errors come, none of
        // which counts as quicker than an answer: a quick one would look idle and draw more.
        let mean = self.learned.get(class).map_or(0.0, |l| l.mean);
        let (floor, elapsed) = match outcome {
            Outcome::Error => (ERRING_FLOOR, elapsed.max(mean)),
            _ => (0.5 / f64::from(self.settings.nodes_per_backend()), elapsed),
        };
        let fleet = self.admission.strain;
        let shrink = 0.5 * strain * (2.0 * fleet / TARGET_STRAIN).min(1.0);
        // A broken connection is the failure record's matter: it tells nothing of what a backend can hold.
        if !broken {
            b.cap.learn(now, elapsed, b.in_flight, strain * (1.0 - fleet), shrink, floor);
        }
        self.fleet_failing += 0.02 * (f64::from(u8::from(failed)) - self.fleet_failing);
        if !matches!(outcome, Outcome::Done) && !failed {
            return;
        }
        let (failures, tries) = b.record.window.sums();
        b.record.note(now, window, failed);
        if failed {
            self.tell_all(PeerMessage::AttemptFailed, i, out);
            if self.meets_few() {
                self.found(i, true, out);
            }
            self.judge(now, i, out);
        } else if b.record.told && !b.record.congested {
            self.found(i, false, out);
        } else if failures > TOLD_ANSWERS * tries {
            self.tell_all(PeerMessage::AttemptAnswered, i, out);
        }
    }
}
