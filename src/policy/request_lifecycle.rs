//! The life cycle of a request: arrival, attempts, retries and end, and what the outcome of each attempt
//! updates.

use super::admission::TARGET_STRAIN;
use super::peer_messages::REPORT_ANSWERS_FROM;
use super::{Balancer, send_rules};
use crate::counters::StopReason;
use crate::interface::{Action, AttemptEnded, Outcome, Reporting, Request, RequestId};
use crate::peer_message::PeerMessage;
use crate::request_table::{Attempt, OpenRequest};
use crate::statistics::{mix_bits, reported_pressure};

/// Lowest cap of a backend that answers only errors: one request in 32 usual answer times shows when it
/// recovers.
const ERROR_CAP_FLOOR: f64 = 1.0 / 32.0;

impl Balancer {
    /// Admits a request and sends its first attempt, or refuses it.
    pub(super) fn on_request(&mut self, now: f64, request: Request, actions: &mut Vec<Action>) {
        let given_ms = (request.deadline_ms - now).max(0.0);
        let class = self.settings.classes.get(request.class);
        let (aim, deadline) = class.map_or((given_ms, given_ms), |c| (c.aim_ms, c.deadline_ms));
        let mut worth = class.map_or(1.0, |c| c.worth);
        let late_worth = class.map_or(0.0, |c| c.late_worth);
        let mut age = 0.0;
        if let Some(stats) = self.class_statistics.get_mut(request.class) {
            // A client with a short time limit looks like one at its last try. Where a late answer still
            // has worth, the request counts as a first try: otherwise these clients would all be refused,
            // even by an unstrained fleet.
            age = if late_worth > 0.0 { 0.0 } else { stats.request_age(given_ms, deadline) };
            stats.requests += if age > 0.0 { 0.0 } else { 1.0 };
        }
        let over_share = self.is_over_share(request.tenant);
        if over_share {
            worth *= self.settings.over_share_worth;
        }
        if age >= aim {
            worth *= late_worth;
        }
        let mean = self.class_statistics.get(request.class).map_or(1.0, |stats| stats.mean_ms.max(1.0));
        let cost = request.effort_ms.filter(|e| e.is_finite() && *e > 0.0).unwrap_or(mean);
        self.counters.count_request();
        let admitted = self.admit(&request, cost, worth, over_share || age >= aim);
        if let Some(key) = request.key {
            self.key_counts.record(mix_bits(key));
        }
        // The budgets for retries and spills grow more slowly under strain: an unstrained fleet can bear
        // more of both.
        let a = &mut self.admission;
        let share = 0.1 + 0.2 * (1.0 - a.strain / TARGET_STRAIN).max(0.0);
        (a.retry_tokens, a.spill_tokens) =
            ((a.retry_tokens + share).min(10.0), (a.spill_tokens + share).min(10.0));
        let id = request.id;
        let aim_at = now + (aim - age).max(0.0);
        let open =
            OpenRequest { request, arrived_at: now, aim_at, worth, finished: false, attempts: Vec::new() };
        self.open_requests.insert(id, open);
        if admitted {
            self.send_attempt(now, id, actions);
        } else {
            self.refuse_or_fail(now, id, actions);
        }
    }

    /// Sends an attempt, or ends the request where no backend is usable or too little time is left.
    pub(super) fn send_attempt(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(index) = self.select_backend(now, id) else {
            // A request that finds every backend blocked counts as strain, so that admission sheds by worth
            // rather than by chance. It counts by the share of blocked backends: a hot key's two blocked
            // candidates say nothing about the fleet.
            let worth = self.open_requests.get(&id).map_or(0.0, |o| o.worth);
            self.counters.count_stop(StopReason::NoBackend);
            let blocked = self.admission.blocked_share;
            self.admission.outcomes.record(0.0, worth * blocked, blocked);
            return self.refuse_or_fail(now, id, actions);
        };
        let gained = self.cold_tokens_gained(now, index);
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        let class = self.settings.classes.get(open.request.class);
        // Where a late answer still has worth, the attempt may last until the deadline, but only while
        // nearly all work is admitted.
        let late = class.is_some_and(|c| c.late_worth > 0.0);
        let end = if late && self.admission.level > 0.95 { open.request.deadline_ms } else { open.aim_at };
        let mut timeout_ms = end.min(open.request.deadline_ms) - now;
        let b = &mut self.backends[index];
        if let Some(stats) =
            self.class_statistics.get(open.request.class).filter(|stats| stats.answers >= 20)
        {
            // The time-out is short where the backend may be failing and a repeat is allowed, so that a
            // backend that does not answer costs little time.
            let suspect = b.failure_record.congested || b.failure_record.consecutive_failures > 0;
            if suspect && send_rules::may_repeat(class) && self.admission.retry_tokens >= 1.0 {
                timeout_ms = timeout_ms.min(stats.mean_ms + 4.0 * stats.deviation_ms);
            }
        }
        if timeout_ms < self.settings.tick_ms {
            return self.refuse_or_fail(now, id, actions);
        }
        b.in_flight += 1;
        self.in_flight += 1;
        let is_trial = b.failure_record.congested;
        b.failure_record.trial_in_flight |= is_trial;
        if now - b.cold_since < self.settings.cold_ms {
            b.cold_tokens = b.cold_tokens.min(1.0 - gained) - 1.0;
        }
        let (backend, zone, cell) = (b.id, b.zone, b.cell);
        open.attempts.push(Attempt {
            backend,
            zone,
            cell,
            sent_at: now,
            timeout_ms,
            is_trial,
            ..Attempt::IN_FLIGHT
        });
        actions.push(Action::Send { id, backend, timeout_ms });
    }

    /// Records the first bytes of a streamed answer. They decide whether the answer is in time; the rest of
    /// the answer has no time limit and no longer counts as in flight.
    pub(super) fn on_response_started(&mut self, now: f64, id: RequestId, attempt: u32, elapsed: f64) {
        let Some(o) = self.open_requests.get_mut(&id) else { return };
        o.aim_at = if elapsed <= o.aim_at - o.arrived_at { f64::INFINITY } else { now };
        if let Some(a) = o.attempts.get_mut(attempt as usize).filter(|a| a.in_flight && !a.response_started)
        {
            a.response_started = true;
            self.in_flight = self.in_flight.saturating_sub(1);
        }
    }

    /// Ends a request whose client has left, and cancels its attempts where that is allowed.
    pub(super) fn on_client_left(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        open.finished = true;
        if self.settings.may_cancel {
            actions.extend(open.cancel_attempts(|_| true));
        }
        if !open.has_attempt_in_flight() {
            self.open_requests.remove(&id);
        }
    }

    /// Records the end of an attempt and, where the request has no answer, sends the next attempt or ends
    /// the request.
    pub(super) fn on_attempt_ended(&mut self, now: f64, e: &AttemptEnded, actions: &mut Vec<Action>) {
        let (id, outcome) = (e.id, e.outcome);
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        let Some(a) = open.attempts.get_mut(e.attempt as usize).filter(|a| a.in_flight) else { return };
        // A time that is not finite must not enter the statistics.
        let elapsed = if e.elapsed_ms.is_finite() { e.elapsed_ms } else { now - a.sent_at }.max(0.0);
        a.in_flight = false;
        self.in_flight = self.in_flight.saturating_sub(u32::from(!a.response_started));
        a.never_ran = send_rules::never_ran(&self.settings, outcome);
        self.counters.count_attempt_end(outcome);
        open.finished |= e.last;
        let (backend, timeout_ms, is_trial, class) =
            (a.backend, a.timeout_ms, a.is_trial, open.request.class);
        let in_aim = outcome == Outcome::Done && now <= open.aim_at;
        let worth = open.worth;
        // A time-out noticed long after it was due is a stall of this node, not of the backend.
        let own_stall = elapsed > timeout_ms + 20.0 * self.settings.tick_ms;
        if let Some(i) = self.backend_index(backend) {
            self.backends[i].in_flight = self.backends[i].in_flight.saturating_sub(1);
            self.close_idle_connections(now, i, actions);
            // A backend that fails or refuses quickly looks idle. Its failures count as full pressure, but
            // only where answers carry load reports: nothing else would lower the pressure again.
            let reported = match outcome {
                Outcome::Done => reported_pressure(&e.load, self.settings.aim_ms(class)),
                Outcome::Cancelled | Outcome::Skipped | Outcome::Rejected => None,
                _ => Some(1.0).filter(|_| self.settings.reporting == Reporting::Answers),
            };
            if let Some(value) = reported {
                self.backends[i].pressure.update(now, self.pressure, value);
                self.pressure += 0.05 * (value - self.pressure);
            }
            if is_trial {
                // Any answer shows that the backend can be reached. A cancelled or unsent trial shows
                // nothing.
                match outcome {
                    Outcome::Cancelled | Outcome::Skipped => {
                        self.backends[i].failure_record.trial_in_flight = false
                    }
                    Outcome::TimedOut | Outcome::NotConnected | Outcome::Reset => {
                        self.finish_trial(now, i, PeerMessage::TrialFailed, actions);
                    }
                    _ => self.finish_trial(now, i, PeerMessage::TrialSucceeded, actions),
                }
            } else if !own_stall {
                self.record_outcome(now, i, class, (outcome, in_aim, elapsed), worth, actions);
            }
        }
        if in_aim && let Some(stats) = self.class_statistics.get_mut(class) {
            stats.served += 1.0;
        }
        let Some(open) = self.open_requests.get(&id).filter(|o| !o.has_attempt_in_flight()) else {
            return;
        };
        if open.finished || outcome == Outcome::Rejected {
            // A request that one backend rejects as wrong would be rejected by any other.
            if self.open_requests.remove(&id).is_some_and(|o| !o.finished) {
                actions.push(Action::Fail(id));
            }
            return;
        }
        // Further attempts multiply the load. Each takes tokens, fewer where the last attempt never ran.
        let price = if send_rules::never_ran(&self.settings, outcome) { 0.25 } else { 1.0 };
        if self.admission.retry_tokens >= price && outcome != Outcome::Skipped && now < open.aim_at {
            self.admission.retry_tokens -= price;
            self.send_attempt(now, id, actions);
        } else {
            self.refuse_or_fail(now, id, actions);
        }
    }

    /// Updates the statistics of the class, the backend and the fleet by the outcome of an attempt.
    pub(super) fn record_outcome(
        &mut self,
        now: f64,
        i: usize,
        class: usize,
        (outcome, in_aim, elapsed): (Outcome, bool, f64),
        worth: f64,
        actions: &mut Vec<Action>,
    ) {
        let window = self.failure_window_ms();
        if matches!(outcome, Outcome::Cancelled | Outcome::Skipped | Outcome::Rejected) {
            return;
        }
        // A time-out counts as an answer that took at least that long. Without it each time-out would make
        // the next time-out shorter.
        if matches!(outcome, Outcome::Done | Outcome::TimedOut)
            && let Some(stats) = self.class_statistics.get_mut(class)
        {
            stats.record_answer(elapsed);
        }
        if outcome == Outcome::Done && now - self.backends[i].cold_since >= self.settings.cold_ms {
            self.warm_rate.record();
        }
        let aim = self.settings.aim_ms(class);
        let strain = match outcome {
            Outcome::Done if in_aim => {
                // Strain starts at the geometric mean of the class's usual time and its aim. From there on,
                // more requests in flight make no answer faster, long before the aim itself is missed.
                let usual =
                    self.class_statistics.get(class).map_or(0.0, |stats| stats.usual_ms).min(0.8 * aim);
                let from = (usual * aim).sqrt();
                ((elapsed - from) / (aim - from)).clamp(0.0, 1.0)
            }
            _ => 1.0,
        };
        let broken = matches!(outcome, Outcome::NotConnected | Outcome::Reset);
        let failed = broken || outcome == Outcome::TimedOut;
        let remote = self.is_priced_crossing(self.backends[i].zone);
        let b = &mut self.backends[i];
        if !broken {
            self.locality.record(remote, strain);
        }
        // A full or unreachable backend says nothing about the fleet: the request goes elsewhere.
        if !broken && outcome != Outcome::Full && !b.failure_record.congested {
            self.admission.outcomes.record(worth * (1.0 - strain), worth * strain, 1.0);
        }
        // Caps react to what distinguishes backends; strain of the whole fleet is left to admission. At the
        // floor, all nodes together keep half a request in flight. The floor is far lower for errors, and
        // an error counts as no quicker than an answer: otherwise a backend of quick errors would look idle
        // and draw more requests.
        let mean = self.class_statistics.get(class).map_or(0.0, |stats| stats.mean_ms);
        let (floor, elapsed) = match outcome {
            Outcome::Error => (ERROR_CAP_FLOOR, elapsed.max(mean)),
            _ => (0.5 / f64::from(self.settings.nodes_per_backend()), elapsed),
        };
        let fleet_strain = self.admission.strain;
        let shrink = 0.5 * strain * (2.0 * fleet_strain / TARGET_STRAIN).min(1.0);
        // A broken connection is left to the failure record: it says nothing about what a backend can hold.
        if !broken {
            b.cap.record_outcome(now, elapsed, b.in_flight, strain * (1.0 - fleet_strain), shrink, floor);
        }
        self.fleet_failure_share += 0.02 * (f64::from(u8::from(failed)) - self.fleet_failure_share);
        if !matches!(outcome, Outcome::Done) && !failed {
            return;
        }
        let (failures, tries) = b.failure_record.window.totals();
        b.failure_record.record(now, window, failed);
        if failed {
            self.broadcast(PeerMessage::AttemptFailed, i, actions);
            if self.has_few_answers() {
                self.share_observation(i, true, actions);
            }
            self.update_congestion(now, i, actions);
        } else if b.failure_record.shared_failing && !b.failure_record.congested {
            self.share_observation(i, false, actions);
        } else if failures > REPORT_ANSWERS_FROM * tries {
            self.broadcast(PeerMessage::AttemptAnswered, i, actions);
        }
    }
}
