//! Keeps the list of backends up to date: chooses the next request to discovery and its timeout, and
//! evaluates each response or failure. This module handles no addresses, sockets or list lines.
//!
//! The list arrives in one of two modes. In pushed mode ([`Discovery::Pushed`]) the node calls an agent to
//! which changes are pushed; in on-request mode ([`Discovery::OnRequest`]) it calls one service for all
//! nodes, when the policy requests updates. In both modes a watch is a request for changes that discovery
//! answers as soon as there are some, or when the requested wait has passed.
//!
//! Discovery's contract says when a change counts as notified to a node, whether or not the node has received
//! it. The synchronizer knows the earliest such deadline and sends a new request before it, leaving time for
//! one more failure: each call gets half of the remaining time. `docs/design.md` lists the bounds for each
//! delivery mode.
//!
//! After a failure, and until a response arrives, the moment at which discovery recovers is unknown. In
//! pushed mode, changes count as notified as soon as discovery recovers, so short parallel calls on separate
//! connections run beside each call, which may hang across the recovery. In on-request mode each call loads
//! the service, so calls follow in rounds short enough to leave time for one failure.
//!
//! A call that was replaced, after a timeout or by a change of address, may already have been answered: its
//! departures count as notified from the moment at which discovery wrote the response. The response is
//! therefore still read for a while, and [`ListSync::answered_late`] decides which part of it is applied.

use crate::interface::Discovery;

/// Time after a watch fell silent at which a change that it missed counts as notified.
const SILENT_WATCH_DEADLINE_MS: f64 = 6000.0;
/// The same time counted from the end of the watch's requested wait; the later of both deadlines holds.
const AFTER_WAIT_DEADLINE_MS: f64 = 2000.0;
/// Time after a change of discovery's address or mode at which the new list counts as notified.
const DISCOVERY_CHANGE_DEADLINE_MS: f64 = 4000.0;
/// Margin after a watch's requested wait before the call times out: covers the round trip and a busy service,
/// and is a quarter of the time then left until a missed change counts as notified.
const WATCH_TIMEOUT_MARGIN_MS: f64 = 500.0;
/// Timeout of a request that discovery answers without waiting: the longest that calls may queue at the
/// service.
const PROMPT_TIMEOUT_MS: f64 = 2200.0;
/// Lower bound of every call's timeout.
const MIN_TIMEOUT_MS: f64 = 250.0;
/// Longest requested wait in pushed mode. Requests to the local agent are cheap, and a short wait soon
/// detects an agent that has stopped responding.
const MAX_PUSHED_WAIT_MS: f64 = 2000.0;
/// Bounds of the requested wait in on-request mode, where the setting `must_ask_in_ms` determines it.
const MIN_WAIT_MS: f64 = 1000.0;
const MAX_WAIT_MS: f64 = 20_000.0;
/// First pause after a failure or an unusable response in pushed mode. It doubles up to the interval between
/// parallel calls. A watch that is renewed within 200 ms misses no change.
const FIRST_PUSHED_PAUSE_MS: f64 = 20.0;
/// Longest pause in on-request mode; the pause doubles up to it.
const MAX_ON_REQUEST_PAUSE_MS: f64 = 150.0;
/// First pause in on-request mode, where one service answers all nodes.
const FIRST_ON_REQUEST_PAUSE_MS: f64 = 100.0;
/// Longest time between two calls in on-request mode after a failure and until discovery responds again, even
/// if the policy requests none. Changes then count as notified 6 s after discovery recovers: two rounds leave
/// time for the response.
const MAX_ROUND_MS: f64 = 2900.0;
/// Longest requested wait of such a call. A waiting call cannot be told from a hanging one, so the call must
/// end within a round.
const MAX_RECOVERY_WAIT_MS: f64 = 2000.0;
/// Longest requested waits of the first watches after a call that failed, timed out or was replaced, in
/// on-request mode. After such a call a change counts as notified 6 s after discovery had it, even if the
/// watch has stopped responding. The first wait leaves time for one more failure; two answered watches show
/// that the connection works.
const MAX_WAITS_AFTER_FAILURE_MS: [f64; 2] = [2900.0, 4500.0];
/// Interval between parallel calls in pushed mode, as a share of the drain grace, with its bounds.
/// Discovery's recovery, the next parallel call and its response must fit well within the grace, and a
/// service that hangs must not be called more often than one that refuses connections.
const PARALLEL_INTERVAL_PER_GRACE: f64 = 0.25;
const MIN_PARALLEL_INTERVAL_MS: f64 = 40.0;
const MAX_PARALLEL_INTERVAL_MS: f64 = 125.0;
/// First and longest pause between requests for the full list while some line cannot be read; the pause
/// doubles in between.
const UNREADABLE_PAUSE_MS: f64 = 100.0;
const MAX_UNREADABLE_PAUSE_MS: f64 = 20_000.0;
/// Time for which the response of a timed-out or replaced call is still read, in milliseconds. The first call
/// after a change of address times out after 2 s, so its response is accepted until its changes count as
/// notified, 4 s after the change.
pub const LATE_ANSWER_MS: f64 = 2000.0;
/// A watch that returns without changes sooner than this did not wait.
const MIN_WATCH_MS: f64 = 50.0;

/// A request to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListRequest {
    /// The full list.
    FullList,
    /// Changes since a version; discovery responds when there are some or when the wait has passed.
    Changes {
        /// Version that is known.
        after: u64,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
    },
}

/// One call to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListCall {
    /// What the call requests.
    pub request: ListRequest,
    /// Time after which the call is given up, in milliseconds.
    pub timeout_ms: f64,
    /// Interval in milliseconds at which the same request is repeated on another connection while this call
    /// is outstanding; the first response is used. None if no parallel calls are made.
    pub parallel_interval_ms: Option<f64>,
    started_at: f64,
    number: u64,
    /// Which of discovery's addresses the call goes to, counted from the first.
    address_epoch: u32,
    /// Newest call that had been answered when this one was made.
    answered_before: Option<u64>,
}

impl ListCall {
    /// Returns the position of this call in the order of all calls.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the time at which the call was made.
    pub fn started_at_ms(&self) -> f64 {
        self.started_at
    }

    /// Returns the whole milliseconds since the call was made.
    pub fn elapsed_ms(&self, now: f64) -> u64 {
        (now - self.started_at).max(0.0) as u64
    }
}

/// What the node does next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// Make this call.
    Call(ListCall),
    /// Wait this many milliseconds.
    Pause(f64),
    /// Wait until the policy requests updates or discovery's address or mode changes.
    Idle,
}

/// Metadata of a response, without its lines.
#[derive(Clone, Copy, Debug)]
pub struct ListResponse {
    /// Version of the list.
    pub version: u64,
    /// True for the full list, false for changes.
    pub full: bool,
    /// Number of lines that could not be read.
    pub skipped: usize,
}

/// Which part of the response to a timed-out or replaced call is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateAnswer {
    /// All of it: no newer response is known.
    Holds,
    /// Only the departures of backends.
    Departures {
        /// True if a backend that a full list omits has departed, too.
        omissions: bool,
    },
    /// Nothing: the known list is as new, or newer.
    Outdated,
}

/// State machine that keeps the list of backends in step with discovery.
#[derive(Debug)]
pub struct ListSync {
    mode: Discovery,
    max_wait_ms: f64,
    parallel_interval_ms: f64,
    /// No response has arrived since a failure or, in pushed mode, since the start.
    is_silent: bool,
    /// Latest time of the next call, even if the policy does not request one.
    next_call_due: Option<f64>,
    /// Version from which changes are requested; none if only the full list can tell.
    version: Option<u64>,
    /// Version of the list that was applied last, also across failures.
    applied_version: Option<u64>,
    /// The policy requests updates; always true in pushed mode.
    is_wanted: bool,
    /// Deadline from which a change that may have been missed counts as notified.
    notified_at: Option<f64>,
    /// The same deadline of the last change of address, where `notified_at` holds an earlier one.
    last_change_notified_at: Option<f64>,
    /// Number of calls made, and number of addresses used before this one.
    calls: u64,
    address_epoch: u32,
    /// Newest answered call to the current address.
    answered_call: Option<u64>,
    /// Time at which the full list is requested: some line could not be read, or backends departed by a
    /// response of which nothing else was applied. `unreadable_lists` counts the consecutive lists with
    /// unreadable lines.
    full_list_at: Option<f64>,
    unreadable_lists: u32,
    pause_until: f64,
    /// Watches answered since a call last failed, timed out or was replaced, up to the length of
    /// [`MAX_WAITS_AFTER_FAILURE_MS`].
    answered_watches: usize,
    /// Consecutive responses and failures that were of no use; determines the pause.
    unproductive: u32,
    rng: fastrand::Rng,
}

impl ListSync {
    /// Creates the state machine before the first request. `known` is the version of the complete list that
    /// the node starts with, if there is one.
    pub fn new(mode: Discovery, must_ask_in_ms: f64, known: Option<u64>, seed: u64) -> ListSync {
        ListSync {
            mode,
            max_wait_ms: max_wait_ms(mode, must_ask_in_ms),
            parallel_interval_ms: MAX_PARALLEL_INTERVAL_MS,
            is_silent: mode == Discovery::Pushed,
            next_call_due: None,
            version: known,
            applied_version: known,
            is_wanted: mode == Discovery::Pushed,
            notified_at: None,
            last_change_notified_at: None,
            calls: 0,
            address_epoch: 0,
            answered_call: None,
            full_list_at: None,
            unreadable_lists: 0,
            pause_until: f64::NEG_INFINITY,
            answered_watches: 0,
            unproductive: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Handles new settings with another address or another delivery mode of discovery. The new service may
    /// number its versions differently, so the full list is requested at once, without the old service's
    /// pause.
    ///
    /// An earlier notification deadline is kept: settings may change again within seconds.
    pub fn discovery_changed(&mut self, now: f64, mode: Discovery) {
        let rng = self.rng.clone();
        let (calls, address_epoch) = (self.calls, self.address_epoch.wrapping_add(1));
        let change_notified_at = now + DISCOVERY_CHANGE_DEADLINE_MS;
        let notified_at = self
            .notified_at
            .filter(|notified_at| now < *notified_at)
            .map_or(change_notified_at, |notified_at| notified_at.min(change_notified_at));
        *self = ListSync {
            rng,
            parallel_interval_ms: self.parallel_interval_ms,
            calls,
            address_epoch,
            ..ListSync::new(mode, self.max_wait_ms, None, 0)
        };
        self.is_wanted = true;
        self.notified_at = Some(notified_at);
        self.last_change_notified_at = (notified_at < change_notified_at).then_some(change_notified_at);
    }

    /// Takes the times for requests and for drains from the settings, in milliseconds, from the next call on.
    pub fn update_settings(&mut self, must_ask_in_ms: f64, drain_grace_ms: f64) {
        self.max_wait_ms = max_wait_ms(self.mode, must_ask_in_ms);
        self.parallel_interval_ms = (drain_grace_ms * PARALLEL_INTERVAL_PER_GRACE)
            .clamp(MIN_PARALLEL_INTERVAL_MS, MAX_PARALLEL_INTERVAL_MS);
    }

    /// Records whether the policy requests updates.
    pub fn set_wanted(&mut self, is_wanted: bool) {
        self.is_wanted = is_wanted || self.mode == Discovery::Pushed;
        self.next_call_due = self.next_call_due.filter(|_| is_wanted);
    }

    /// Returns the position of the latest call in the order of all calls.
    pub fn last_call(&self) -> u64 {
        self.calls
    }

    /// Returns the version of the known list; none if part of it could not be read.
    pub fn version(&self) -> Option<u64> {
        self.version.filter(|_| self.full_list_at.is_none())
    }

    /// Returns what to do now.
    pub fn next(&mut self, now: f64) -> NextStep {
        if !self.is_wanted {
            let Some(at) = self.next_call_due else { return NextStep::Idle };
            if now < at {
                return NextStep::Pause(at - now);
            }
            self.is_wanted = true;
        }
        if now < self.pause_until {
            return NextStep::Pause(self.pause_until - now);
        }
        let request = match self.version {
            Some(after) if self.full_list_at.is_none_or(|at| now < at) => {
                // A change may have been missed: request the changes without a wait.
                let wait = match self.mode {
                    _ if self.notified_at.is_some() => 0.0,
                    Discovery::Pushed if self.is_silent => 0.0,
                    _ if self.is_silent => self.jitter(self.max_wait_ms.min(MAX_RECOVERY_WAIT_MS)),
                    _ => {
                        let max_ms = MAX_WAITS_AFTER_FAILURE_MS
                            .get(self.answered_watches)
                            .copied()
                            .unwrap_or(f64::INFINITY);
                        self.jitter(self.max_wait_ms.min(max_ms))
                    }
                };
                let wait = self.full_list_at.map_or(wait, |at| wait.min(at - now));
                ListRequest::Changes { after, wait_ms: wait.ceil().max(1.0) as u64 }
            }
            _ => ListRequest::FullList,
        };
        let timeout_ms = match (request, self.notified_at) {
            (_, Some(notified_at)) => ((notified_at - now) / 2.0).clamp(MIN_TIMEOUT_MS, PROMPT_TIMEOUT_MS),
            (ListRequest::Changes { wait_ms, .. }, None) if wait_ms > 1 => {
                wait_ms as f64 + WATCH_TIMEOUT_MARGIN_MS
            }
            _ => PROMPT_TIMEOUT_MS,
        };
        let uses_parallel_calls = self.is_silent && self.mode == Discovery::Pushed;
        let parallel_interval_ms = uses_parallel_calls.then(|| self.jitter(self.parallel_interval_ms));
        self.calls += 1;
        NextStep::Call(ListCall {
            request,
            timeout_ms,
            parallel_interval_ms,
            started_at: now,
            number: self.calls,
            address_epoch: self.address_epoch,
            answered_before: self.answered_call,
        })
    }

    /// Repeats a call in parallel with it and returns the new call.
    pub fn parallel_call(&mut self, now: f64, call: &ListCall) -> ListCall {
        self.calls += 1;
        ListCall {
            parallel_interval_ms: None,
            started_at: now,
            number: self.calls,
            answered_before: self.answered_call,
            ..*call
        }
    }

    /// Handles the response to the current call. Returns true if its lines apply; false if its version is
    /// older than the known one, so that only a full list can tell what holds.
    pub fn answered(&mut self, now: f64, call: &ListCall, response: ListResponse) -> bool {
        (self.notified_at, self.last_change_notified_at) = (None, None);
        // The first response after a failure does not count as an answered watch.
        let is_recovery = std::mem::replace(&mut self.is_silent, false);
        self.next_call_due = None;
        self.answered_call = self.answered_call.max(Some(call.number));
        let previous_version = self.version;
        if !response.full && previous_version.is_none_or(|version| response.version < version) {
            self.version = None;
            self.back_off(now);
            return false;
        }
        (self.version, self.applied_version) = (Some(response.version), Some(response.version));
        if response.skipped > 0 {
            // The full list holds what that line said, if anything does. The pause keeps a service that never
            // writes the line correctly from being asked for full lists without end.
            self.full_list_at = Some(now + self.unreadable_pause());
        } else if response.full {
            (self.full_list_at, self.unreadable_lists) = (None, 0);
        }
        // A watch that returns at once and without changes must not cause a busy loop.
        let waits =
            matches!(call.request, ListRequest::Changes { wait_ms, .. } if wait_ms as f64 > MIN_WATCH_MS);
        self.answered_watches = (self.answered_watches + usize::from(waits && !is_recovery))
            .min(MAX_WAITS_AFTER_FAILURE_MS.len());
        if waits && previous_version == Some(response.version) && now - call.started_at < MIN_WATCH_MS {
            self.back_off(now);
        } else {
            self.unproductive = 0;
        }
        true
    }

    /// Handles the response to a call that had timed out or been replaced, and returns which part of it
    /// applies.
    pub fn answered_late(&mut self, now: f64, call: &ListCall, response: ListResponse) -> LateAnswer {
        if call.address_epoch != self.address_epoch {
            // Versions of two addresses cannot be compared. Once the new address has answered, its list is
            // better evidence than an omission in the old one.
            return LateAnswer::Departures { omissions: self.answered_call.is_none() };
        }
        if self.answered_call == call.answered_before {
            if let ListRequest::Changes { after, .. } = call.request
                && response.version >= after
            {
                // Nothing was applied since, so changes continue from the known version.
                self.version = Some(after);
            }
        } else if self.applied_version.is_some_and(|applied_version| response.version <= applied_version) {
            return LateAnswer::Outdated;
        } else if !response.full || self.answered_call > Some(call.number) {
            return LateAnswer::Departures { omissions: true };
        }
        if !self.answered(now, call, response) {
            return LateAnswer::Departures { omissions: false };
        }
        // Discovery responds: the policy need not pace the next call.
        self.is_wanted = true;
        LateAnswer::Holds
    }

    /// Handles a list that another process of this node got from discovery, like the response to a call made
    /// now. `version` is its version if it came from the current address, and `watch_from` the version that a
    /// watch may continue from.
    pub fn adopted(&mut self, version: Option<u64>, watch_from: Option<u64>) {
        self.calls += 1;
        self.answered_call = Some(self.calls);
        self.applied_version = version;
        // After a failure in pushed mode the service that answers next may number its versions differently.
        let keeps_numbering = self.mode == Discovery::OnRequest || self.version.is_some();
        self.version = watch_from.filter(|_| keeps_numbering);
    }

    /// Requests the full list. Backends are excluded by a response of which nothing else was applied, and the
    /// full list tells whether they have really departed.
    pub fn request_full_list(&mut self, now: f64) {
        self.full_list_at = Some(self.full_list_at.map_or(now, |at| at.min(now)));
        self.is_wanted = true;
    }

    /// Handles a response that is longer than the node reads. The known list is kept and its changes are
    /// requested; the full list is requested again at growing intervals, because the service must not be
    /// asked for either without end.
    pub fn response_too_long(&mut self, now: f64) {
        (self.notified_at, self.last_change_notified_at) = (None, None);
        (self.is_silent, self.next_call_due) = (false, None);
        let pause = self.unreadable_pause();
        self.full_list_at = Some(now + pause);
        if self.version.is_none() {
            self.pause_until = now + pause;
        }
    }

    /// Returns the time until the next request for the full list; it doubles up to the longest pause.
    fn unreadable_pause(&mut self) -> f64 {
        let pause = UNREADABLE_PAUSE_MS * f64::from(1_u32 << self.unreadable_lists.min(12));
        self.unreadable_lists = self.unreadable_lists.saturating_add(1);
        self.jitter(pause.min(MAX_UNREADABLE_PAUSE_MS))
    }

    /// Handles a call that failed or timed out. Returns true if the policy paces the next call and must be
    /// told of the failure.
    pub fn failed(&mut self, now: f64, call: &ListCall) -> bool {
        let was_responsive = !std::mem::replace(&mut self.is_silent, true);
        self.answered_watches = 0;
        if let (ListRequest::Changes { wait_ms, .. }, None) = (call.request, self.notified_at)
            && was_responsive
            && now - call.started_at >= wait_ms as f64
        {
            // The wait had passed without a response, whatever ended the call: the watch may have been silent
            // from the start.
            self.notified_at = Some(
                call.started_at + SILENT_WATCH_DEADLINE_MS.max(wait_ms as f64 + AFTER_WAIT_DEADLINE_MS),
            );
            self.unproductive = 0;
            return false;
        }
        if self.notified_at.is_some_and(|notified_at| now >= notified_at) {
            self.notified_at = self.last_change_notified_at.take().filter(|notified_at| now < *notified_at);
        }
        if self.mode == Discovery::Pushed {
            // The service that answers next may number its versions differently, and in pushed mode a full
            // list is cheap.
            self.version = None;
        } else if self.notified_at.is_none() {
            // Each call loads the one service of all nodes.
            self.is_wanted = false;
            self.unproductive = 0;
            // The random part spreads the calls of nodes that failed together.
            self.next_call_due =
                Some(call.started_at + MAX_ROUND_MS * 0.5 + self.jitter(MAX_ROUND_MS * 0.5));
            return true;
        }
        self.back_off(now);
        false
    }

    /// Sets the pause before the next call. The pause doubles after each call that was of no use.
    fn back_off(&mut self, now: f64) {
        let first =
            if self.mode == Discovery::Pushed { FIRST_PUSHED_PAUSE_MS } else { FIRST_ON_REQUEST_PAUSE_MS };
        // Before a notification deadline the pause must leave time for the next call.
        let longest = if self.mode == Discovery::Pushed {
            self.parallel_interval_ms
        } else {
            MAX_ON_REQUEST_PAUSE_MS
        };
        let last = self.notified_at.map_or(longest, |notified_at| longest.min((notified_at - now) / 4.0));
        let pause = (first * f64::from(1_u32 << self.unproductive.min(12))).min(last);
        self.unproductive = self.unproductive.saturating_add(1);
        self.pause_until = now + self.jitter(pause);
    }

    /// Returns a random time between half of `max_ms` and `max_ms`, so that nodes that saw the same event do
    /// not act in step.
    fn jitter(&mut self, max_ms: f64) -> f64 {
        max_ms * (0.5 + 0.5 * self.rng.f64())
    }
}

fn max_wait_ms(mode: Discovery, must_ask_in_ms: f64) -> f64 {
    match mode {
        Discovery::Pushed => MAX_PUSHED_WAIT_MS,
        Discovery::OnRequest => must_ask_in_ms.clamp(MIN_WAIT_MS, MAX_WAIT_MS),
    }
}
