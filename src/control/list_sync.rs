//! How the list of backends is kept fresh: what discovery is asked next, how long its answer may take, and what an
//! answer or a failure leads to. It knows no address, no socket and none of the list's lines.
//!
//! What discovery has to tell counts as told at a certain moment, whether or not it has arrived. Whoever waits knows
//! that moment and asks anew before it, with time for one more failure: each such call gets half of the time that is
//! left. `docs/design.md` has the bounds of each way in which the list arrives.
//!
//! For as long as nothing was heard since a failure, nobody knows when discovery returns. Where lists are pushed, what it
//! has at its return counts at once, so short tries on a connection of their own run beside each call, which may hang
//! across that moment. Where it is asked, each call costs the one service of all nodes, and rounds of a length that
//! leaves time for one failure do.
//!
//! A call that is replaced, by a time-out or by a new address, may have been answered already: the answer is under way, and
//! from the moment in which it was written its departures count as notified. So its answer is still read for a while, and
//! [`ListSync::answered_late`] says what of it holds.

use crate::interface::Discovery;

/// A watch that has fallen silent: what it misses counts as told so long after, in milliseconds ...
const SILENT_MS: f64 = 6000.0;
/// ... or so long after the end of its wait, if that is later.
const AFTER_WAIT_MS: f64 = 2000.0;
/// After new settings.
const MOVED_MS: f64 = 4000.0;
/// An answer that is later than its wait by so much does not come: time for the way and for a busy service, and a
/// quarter of what is left until its news counts as told.
const LATE_MS: f64 = 500.0;
/// An answer that need not wait for news comes within this, or not at all: so long may calls wait in turn.
const PROMPT_MS: f64 = 2200.0;
/// No call gets less than this.
const LEAST_MS: f64 = 250.0;
/// Longest wait for news where lists are pushed: asking costs nothing there, and a short wait soon shows an agent that
/// has fallen silent.
const PUSHED_WAIT_MS: f64 = 2000.0;
/// Bounds of the same where discovery is asked; between them it is the time that the settings give for asking.
const LEAST_WAIT_MS: f64 = 1000.0;
const MOST_WAIT_MS: f64 = 20_000.0;
/// Pauses after failures and after answers that could not be used: doubled from the first to the last. A watch that
/// goes on within 200 ms has missed nothing.
const FIRST_PAUSE_MS: f64 = 20.0;
const LAST_PAUSE_MS: f64 = 150.0;
/// The same where one service answers all nodes in turn.
const ASKED_PAUSE_MS: f64 = 100.0;
/// Where discovery is asked and was not heard since a failure, its news counts as told 6 s after its return: from one
/// call to the next it is so long at most, whatever the decisions wish, and two of them leave time for an answer.
const ROUND_MS: f64 = 2900.0;
/// Longest wait for news of such a call: nobody can tell whether it waits or hangs, so it has to end within a round.
const UNHEARD_WAIT_MS: f64 = 2000.0;
/// Longest waits for news of the first watches after a call that failed, was given up or was replaced, where discovery is asked:
/// from such a call on a change counts as told 6 s after discovery had it, also where the watch has fallen silent. The first
/// leaves time for one more failure, and two that were answered show that watches are heard.
const WAITS_AFTER_TROUBLE_MS: [f64; 2] = [2900.0, 4500.0];
/// Length of a short try, where lists are pushed, as a part of the drain grace, and its bounds: the return, the next try
/// and its answer come well within that grace, and a service that is down is tried no more often than one that refuses.
const TRY_OF_GRACE: f64 = 0.25;
const LEAST_TRY_MS: f64 = 40.0;
const MOST_TRY_MS: f64 = 125.0;
/// Pauses between whole lists while some line cannot be read: doubled from the first to the last.
const SPOILT_MS: f64 = 100.0;
const LAST_SPOILT_MS: f64 = 20_000.0;
/// So long the answer of a call is still read that was given up or replaced, in milliseconds. The first call after a move is given
/// up after 2 s, so its answer counts up to the moment from which its news is notified anyway, 4 s after the move.
pub const LATE_ANSWER_MS: f64 = 2000.0;
/// A watch that brought no news sooner than this has not waited.
const HASTY_MS: f64 = 50.0;

/// What discovery is asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListRequest {
    /// The whole list.
    FullList,
    /// What has changed since a version, when something has or the wait is over.
    Changes {
        /// The version.
        after: u64,
        /// The longest wait, in milliseconds.
        wait_ms: u64,
    },
}

/// One call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListCall {
    /// What for.
    pub request: ListRequest,
    /// Milliseconds after which its answer is not waited for any more.
    pub timeout_ms: f64,
    /// While it is out, the same is asked on another connection, in tries of so many milliseconds, one after the other;
    /// what is answered first counts.
    pub parallel_interval_ms: Option<f64>,
    begun: f64,
    number: u64,
    /// Which address it is made to, counted from the first.
    epoch: u32,
    /// The newest call that had been answered as it was made.
    answered_before: Option<u64>,
}

impl ListCall {
    /// Its place in the order of all calls.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Whole milliseconds since it was made.
    pub fn elapsed_ms(&self, now: f64) -> u64 {
        (now - self.begun).max(0.0) as u64
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// Make this call.
    Call(ListCall),
    /// Nothing, for so many milliseconds.
    Pause(f64),
    /// Nothing, until the decisions wish for news or discovery has moved.
    Idle,
}

/// What is known of an answer without reading its lines.
#[derive(Clone, Copy, Debug)]
pub struct ListResponse {
    /// Its version.
    pub version: u64,
    /// It is the whole list.
    pub full: bool,
    /// Lines that could not be read.
    pub skipped: usize,
}

/// What holds of an answer to a call that was given up or replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateAnswer {
    /// All of it: nothing newer is known.
    Holds,
    /// Only that backends leave.
    Departures {
        /// A whole list says so, too, by leaving backends out.
        omissions: bool,
    },
    /// Nothing: what is known is as new, or newer.
    Outdated,
}

/// The course of asking.
#[derive(Debug)]
pub struct ListSync {
    how: Discovery,
    longest_wait: f64,
    parallel_interval_ms: f64,
    /// Nothing was heard since a failure, or, where lists are pushed, since the start.
    unheard: bool,
    /// The next call is made then at the latest, though the decisions do not wish for it.
    again_at: Option<f64>,
    /// The version that changes are asked from; none where only the whole list can tell.
    version: Option<u64>,
    /// The version of the list that was taken last, whatever has failed since.
    held: Option<u64>,
    /// The decisions wish for news. Where lists are pushed there is no need to.
    wanted: bool,
    /// What was missed counts as told from then on.
    due: Option<f64>,
    /// The same of the last move, where an earlier moment comes first.
    last_move_due: Option<f64>,
    /// Calls that were made, and addresses that were moved to.
    calls: u64,
    epoch: u32,
    /// The newest call to this address that was answered.
    answered_call: Option<u64>,
    /// Some line could not be read, or backends left by an answer of which nothing else holds: the whole list is asked for
    /// then. And how often lines could not be read in a row.
    whole_at: Option<f64>,
    spoilt: u32,
    pause_until: f64,
    /// Watches that were answered since some call failed, was given up or was replaced; the first ones count.
    proven: usize,
    /// Answers in a row that were of no use.
    vain: u32,
    rng: fastrand::Rng,
}

impl ListSync {
    /// Nothing was asked yet; a list of that version is known whole.
    pub fn new(how: Discovery, must_ask_in_ms: f64, known: Option<u64>, seed: u64) -> ListSync {
        ListSync {
            how,
            longest_wait: longest_wait(how, must_ask_in_ms),
            parallel_interval_ms: MOST_TRY_MS,
            unheard: how == Discovery::Pushed,
            again_at: None,
            version: known,
            held: known,
            wanted: how == Discovery::Pushed,
            due: None,
            last_move_due: None,
            calls: 0,
            epoch: 0,
            answered_call: None,
            whole_at: None,
            spoilt: 0,
            pause_until: f64::NEG_INFINITY,
            proven: 0,
            vain: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Settings came that name another discovery, or another way in which its lists arrive. It may count anew, so the
    /// whole list is asked for, at once, whatever pace the old one had earned.
    ///
    /// A moment from which news counts as told is put off by no further move: settings may follow each other within seconds.
    pub fn discovery_changed(&mut self, now: f64, how: Discovery) {
        let rng = self.rng.clone();
        let (calls, epoch) = (self.calls, self.epoch.wrapping_add(1));
        let move_due = now + MOVED_MS;
        let due = self.due.filter(|due| now < *due).map_or(move_due, |due| due.min(move_due));
        *self = ListSync {
            rng,
            parallel_interval_ms: self.parallel_interval_ms,
            calls,
            epoch,
            ..ListSync::new(how, self.longest_wait, None, 0)
        };
        self.wanted = true;
        self.due = Some(due);
        self.last_move_due = (due < move_due).then_some(move_due);
    }

    /// The settings give these times for asking and for drains, in milliseconds, from the next call on.
    pub fn update_settings(&mut self, must_ask_in_ms: f64, drain_grace_ms: f64) {
        self.longest_wait = longest_wait(self.how, must_ask_in_ms);
        self.parallel_interval_ms = (drain_grace_ms * TRY_OF_GRACE).clamp(LEAST_TRY_MS, MOST_TRY_MS);
    }

    /// The decisions wish for news, or for none.
    pub fn set_wanted(&mut self, wanted: bool) {
        self.wanted = wanted || self.how == Discovery::Pushed;
        self.again_at = self.again_at.filter(|_| wanted);
    }

    /// The place of the last call that was made in the order of all.
    pub fn last_call(&self) -> u64 {
        self.calls
    }

    /// The version of the list that is known, unless part of it could not be read.
    pub fn version(&self) -> Option<u64> {
        self.version.filter(|_| self.whole_at.is_none())
    }

    /// What to do now.
    pub fn next(&mut self, now: f64) -> NextStep {
        if !self.wanted {
            let Some(at) = self.again_at else { return NextStep::Idle };
            if now < at {
                return NextStep::Pause(at - now);
            }
            self.wanted = true;
        }
        if now < self.pause_until {
            return NextStep::Pause(self.pause_until - now);
        }
        let ask = match self.version {
            Some(after) if self.whole_at.is_none_or(|at| now < at) => {
                // Something may have been missed: what there is must come now.
                let wait = match self.how {
                    _ if self.due.is_some() => 0.0,
                    Discovery::Pushed if self.unheard => 0.0,
                    _ if self.unheard => self.draw(self.longest_wait.min(UNHEARD_WAIT_MS)),
                    _ => {
                        let most =
                            WAITS_AFTER_TROUBLE_MS.get(self.proven).copied().unwrap_or(f64::INFINITY);
                        self.draw(self.longest_wait.min(most))
                    }
                };
                let wait = self.whole_at.map_or(wait, |at| wait.min(at - now));
                ListRequest::Changes { after, wait_ms: wait.ceil().max(1.0) as u64 }
            }
            _ => ListRequest::FullList,
        };
        let timeout_ms = match (ask, self.due) {
            (_, Some(due)) => ((due - now) / 2.0).clamp(LEAST_MS, PROMPT_MS),
            (ListRequest::Changes { wait_ms, .. }, None) if wait_ms > 1 => wait_ms as f64 + LATE_MS,
            _ => PROMPT_MS,
        };
        let tries = self.unheard && self.how == Discovery::Pushed;
        let parallel_interval_ms = tries.then(|| self.draw(self.parallel_interval_ms));
        self.calls += 1;
        NextStep::Call(ListCall {
            request: ask,
            timeout_ms,
            parallel_interval_ms,
            begun: now,
            number: self.calls,
            epoch: self.epoch,
            answered_before: self.answered_call,
        })
    }

    /// The same call once more, made beside it.
    pub fn parallel_call(&mut self, now: f64, call: &ListCall) -> ListCall {
        self.calls += 1;
        ListCall {
            parallel_interval_ms: None,
            begun: now,
            number: self.calls,
            answered_before: self.answered_call,
            ..*call
        }
    }

    /// A call was answered. True: its lines hold; false: they are of another count, and only a whole list tells.
    pub fn answered(&mut self, now: f64, call: &ListCall, told: ListResponse) -> bool {
        (self.due, self.last_move_due) = (None, None);
        // The answer by which discovery is heard again shows of no watch that it is.
        let returned = std::mem::replace(&mut self.unheard, false);
        self.again_at = None;
        self.answered_call = self.answered_call.max(Some(call.number));
        let before = self.version;
        if !told.full && before.is_none_or(|version| told.version < version) {
            self.version = None;
            self.rest(now);
            return false;
        }
        (self.version, self.held) = (Some(told.version), Some(told.version));
        if told.skipped > 0 {
            // What that line had to tell is in the whole list, if anywhere; a service that never gets it right must
            // not be asked for that without end.
            self.whole_at = Some(now + self.spoilt_pause());
        } else if told.full {
            (self.whole_at, self.spoilt) = (None, 0);
        }
        // A watch that did not wait and brought nothing must not spin.
        let waits =
            matches!(call.request, ListRequest::Changes { wait_ms, .. } if wait_ms as f64 > HASTY_MS);
        self.proven = (self.proven + usize::from(waits && !returned)).min(WAITS_AFTER_TROUBLE_MS.len());
        if waits && before == Some(told.version) && now - call.begun < HASTY_MS {
            self.rest(now);
        } else {
            self.vain = 0;
        }
        true
    }

    /// A call was answered that had been given up or replaced: what of its answer holds.
    pub fn answered_late(&mut self, now: f64, call: &ListCall, told: ListResponse) -> LateAnswer {
        if call.epoch != self.epoch {
            // The counts of two addresses cannot be compared. Once the new one has answered, its list tells more than an
            // omission at the old one.
            return LateAnswer::Departures { omissions: self.answered_call.is_none() };
        }
        if self.answered_call == call.answered_before {
            if let ListRequest::Changes { after, .. } = call.request
                && told.version >= after
            {
                // Nothing was taken since, so the changes go on from what is known.
                self.version = Some(after);
            }
        } else if self.held.is_some_and(|held| told.version <= held) {
            return LateAnswer::Outdated;
        } else if !told.full || self.answered_call > Some(call.number) {
            return LateAnswer::Departures { omissions: true };
        }
        if !self.answered(now, call, told) {
            return LateAnswer::Departures { omissions: false };
        }
        // Discovery can be heard: nobody has to pace the next call.
        self.wanted = true;
        LateAnswer::Holds
    }

    /// Backends are kept out by an answer of which nothing else held. The whole list, asked for from here on, tells whether
    /// they still are.
    pub fn request_full_list(&mut self, now: f64) {
        self.whole_at = Some(self.whole_at.map_or(now, |at| at.min(now)));
        self.wanted = true;
    }

    /// A call was answered with more than can be read. What is known holds, its changes are asked for, and the whole list
    /// is tried again ever more seldom: neither is a service to be asked for that without end.
    pub fn response_too_long(&mut self, now: f64) {
        (self.due, self.last_move_due) = (None, None);
        (self.unheard, self.again_at) = (false, None);
        let pause = self.spoilt_pause();
        self.whole_at = Some(now + pause);
        if self.version.is_none() {
            self.pause_until = now + pause;
        }
    }

    /// Time until the whole list is asked for once more, doubled from the first to the last.
    fn spoilt_pause(&mut self) -> f64 {
        let pause = SPOILT_MS * f64::from(1_u32 << self.spoilt.min(12));
        self.spoilt = self.spoilt.saturating_add(1);
        self.draw(pause.min(LAST_SPOILT_MS))
    }

    /// A call failed, or its time is over. True: the decisions pace what follows, and have to be told.
    pub fn failed(&mut self, now: f64, call: &ListCall) -> bool {
        let heard = !std::mem::replace(&mut self.unheard, true);
        self.proven = 0;
        if let (ListRequest::Changes { wait_ms, .. }, None) = (call.request, self.due)
            && heard
            && now - call.begun >= wait_ms as f64
        {
            // Its wait was over with no answer, whatever ended it then: it may have been silent from its first moment.
            self.due = Some(call.begun + SILENT_MS.max(wait_ms as f64 + AFTER_WAIT_MS));
            self.vain = 0;
            return false;
        }
        if self.due.is_some_and(|due| now >= due) {
            self.due = self.last_move_due.take().filter(|due| now < *due);
        }
        if self.how == Discovery::Pushed {
            // Whoever answers next may count anew, and here the whole list costs nothing.
            self.version = None;
        } else if self.due.is_none() {
            // Each call costs the one service of all nodes.
            self.wanted = false;
            self.vain = 0;
            // The drawn part keeps nodes out of step that failed together.
            self.again_at = Some(call.begun + ROUND_MS * 0.5 + self.draw(ROUND_MS * 0.5));
            return true;
        }
        self.rest(now);
        false
    }

    fn rest(&mut self, now: f64) {
        let first = if self.how == Discovery::Pushed { FIRST_PAUSE_MS } else { ASKED_PAUSE_MS };
        // Where news is about to count as told, time has to be left for the call after this pause.
        let longest = if self.how == Discovery::Pushed { self.parallel_interval_ms } else { LAST_PAUSE_MS };
        let last = self.due.map_or(longest, |due| longest.min((due - now) / 4.0));
        let pause = (first * f64::from(1_u32 << self.vain.min(12))).min(last);
        self.vain = self.vain.saturating_add(1);
        self.pause_until = now + self.draw(pause);
    }

    /// Nodes that heard the same thing must not go on in step.
    fn draw(&mut self, most: f64) -> f64 {
        most * (0.5 + 0.5 * self.rng.f64())
    }
}

fn longest_wait(how: Discovery, must_ask_in_ms: f64) -> f64 {
    match how {
        Discovery::Pushed => PUSHED_WAIT_MS,
        Discovery::OnRequest => must_ask_in_ms.clamp(LEAST_WAIT_MS, MOST_WAIT_MS),
    }
}
