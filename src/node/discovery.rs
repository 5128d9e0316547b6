//! Keeps the backend list up to date: starts from the configured list, then watches discovery.

use crate::active_settings::CurrentSettings;
use crate::discovery_calls::{
    CallContext, CallEnded, Calls, ListTooLong, MAX_LIST_BYTES, Progress, duration_from_ms,
};
use crate::driver::{Driver, Input};
use crate::list_parser::{KnownList, ListContent, ParsedList};
use crate::log::log_event;
use crate::socket::Descriptors;
use daleturn::control::departures::Departures;
use daleturn::control::list_sync::{LateAnswer, ListCall, ListResponse, ListSync, NextStep};
use daleturn::interface::{Discovery, ListKind};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// Number of changes applied at once; other tasks run between two such slices.
const CHANGES_PER_SLICE: usize = 256;
/// Minimum interval between log events for consecutive failed calls, in milliseconds.
const FAILURE_LOG_INTERVAL_MS: f64 = 1000.0;

/// Waits until the discovery address or mode changes; forever once the sender is gone.
async fn address_changed(
    address: &mut watch::Receiver<(SocketAddr, Discovery)>,
) -> (SocketAddr, Discovery) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
    *address.borrow_and_update()
}

/// Keeps the backend list up to date while the node runs.
pub struct DiscoveryWatch {
    /// Discovery address and mode; both may change at run time.
    pub address: watch::Receiver<(SocketAddr, Discovery)>,
    /// Decides when to ask for what. Starting from the known version avoids full lists, which matters when
    /// many nodes start at once against the one discovery service.
    pub list_sync: ListSync,
    /// Current settings: zone names and the time within which discovery must be asked.
    pub current_settings: Rc<CurrentSettings>,
    /// Limit of open sockets.
    pub descriptors: Rc<Descriptors>,
    /// Requests of the balancer to start or stop watching, in on-request mode.
    pub watch_requests: mpsc::UnboundedReceiver<bool>,
}

impl DiscoveryWatch {
    /// Runs until the driver is gone.
    pub async fn run(mut self, driver: Rc<Driver>) {
        let mut address = self.address.clone();
        let (at, _) = *address.borrow_and_update();
        let (sender, mut progress) = mpsc::unbounded_channel();
        let context = Rc::new(CallContext {
            current_settings: self.current_settings.clone(),
            descriptors: self.descriptors.clone(),
            known_list: None.into(),
        });
        let mut list = DiscoveryList {
            list_sync: self.list_sync,
            calls: Calls::new(at, context.clone(), sender),
            context,
            failures: Failures::default(),
            departures: Departures::default(),
            next_parallel: None,
            driver,
        };
        loop {
            if list.calls.current().is_none() {
                while let Ok(wanted) = self.watch_requests.try_recv() {
                    list.list_sync.set_wanted(wanted);
                }
            }
            let pause = list.start_due_call();
            tokio::select! {
                // A response that has arrived was written before an address change that is known now, so it
                // is handled first.
                biased;
                Some(event) = progress.recv() => list.handle(event).await,
                (new, how) = address_changed(&mut address) => list.change_address(new, how),
                // The balancer may ask for the next call earlier.
                wanted = self.watch_requests.recv(), if list.calls.current().is_none() => match wanted {
                    Some(wanted) => list.list_sync.set_wanted(wanted),
                    None => return,
                },
                () = tokio::time::sleep(duration_from_ms(pause.unwrap_or(0.0))), if pause.is_some() => {}
            }
        }
    }
}

/// Backend list as reported by discovery, and the calls that update it.
struct DiscoveryList {
    list_sync: ListSync,
    calls: Calls,
    context: Rc<CallContext>,
    failures: Failures,
    departures: Departures,
    /// Time at which the current call is repeated in parallel, and the interval of further repeats, in
    /// milliseconds.
    next_parallel: Option<(f64, f64)>,
    driver: Rc<Driver>,
}

impl DiscoveryList {
    /// Starts the next call if it is due. Returns the milliseconds until the next action, if known.
    fn start_due_call(&mut self) -> Option<f64> {
        if let Some(current) = self.calls.current() {
            return self.retry_in_parallel(&current);
        }
        let settings = &self.context.current_settings.get().settings;
        self.list_sync.update_settings(settings.must_ask_in_ms, settings.drain_grace_ms);
        let now = self.driver.clock.now_ms();
        match self.list_sync.next(now) {
            NextStep::Idle => None,
            NextStep::Pause(ms) => Some(ms),
            NextStep::Call(call) => {
                self.calls.begin(call);
                self.next_parallel =
                    call.parallel_interval_ms.map(|interval_ms| (now + interval_ms, interval_ms));
                call.parallel_interval_ms
            }
        }
    }

    /// Repeats the current call in parallel if that is due. A parallel call that fails early is not
    /// repeated earlier.
    fn retry_in_parallel(&mut self, current: &ListCall) -> Option<f64> {
        let (at, interval_ms) = self.next_parallel?;
        let now = self.driver.clock.now_ms();
        if now < at {
            return Some(at - now);
        }
        let call = self.list_sync.parallel_call(now, current);
        self.calls.begin_parallel(call);
        self.next_parallel = Some((now + interval_ms, interval_ms));
        Some(interval_ms)
    }

    /// Switches to another discovery address. A response from the old address may still be in transit.
    fn change_address(&mut self, at: SocketAddr, how: Discovery) {
        self.calls.change_address(at);
        self.list_sync.discovery_changed(self.driver.clock.now_ms(), how);
        log_event!(INFO, "discovery", %at, ?how, replaced_calls = self.calls.count(), "discovery.moved");
    }

    /// Handles the progress of a call.
    async fn handle(&mut self, progress: Progress) {
        match progress {
            Progress::TimedOut(call) => {
                if self.calls.timed_out(&call) {
                    self.record_failure(&call, "deadline has elapsed");
                }
            }
            Progress::Ended(mut ended) => {
                let is_parallel = self.calls.is_parallel_call(&ended.call);
                let is_current = self.calls.ended(&mut ended);
                let CallEnded { call, compared, result, .. } = *ended;
                let result = result.and_then(|parsed| self.check_unchanged(parsed, compared));
                match result {
                    Ok(parsed) if is_current => self.handle_response(&call, parsed).await,
                    Ok(parsed) => self.handle_late_response(&call, is_parallel, parsed).await,
                    Err(e) if is_current && e.is::<ListTooLong>() => self.record_too_long(),
                    Err(e) if is_current => self.record_failure(&call, &e.to_string()),
                    // This call is already counted as failed, or another call will be.
                    Err(_) => {}
                }
            }
        }
    }

    /// "Unchanged" refers to the list at the time of the call, so it is an error once the list has changed.
    fn check_unchanged(
        &self,
        parsed: ParsedList,
        compared: Option<KnownList>,
    ) -> Result<ParsedList, Box<dyn std::error::Error>> {
        match parsed.content {
            ListContent::Unchanged if compared != self.context.known_list.get() => {
                Err("the list has changed while its answer was read".into())
            }
            _ => Ok(parsed),
        }
    }

    /// Handles the response to the current call.
    async fn handle_response(&mut self, call: &ListCall, parsed: ParsedList) {
        let now = self.driver.clock.now_ms();
        self.record_response(now, call, &parsed);
        // In on-request mode a response without changes is applied too, which tells the balancer that the
        // call did not fail.
        if self.list_sync.answered(now, call, list_response(&parsed)) {
            self.apply(call, parsed).await;
        } else {
            self.apply_departures(parsed, false).await;
        }
    }

    /// Handles a late response. `is_parallel`: the call was made in parallel to another one, so being
    /// replaced does not make it late.
    async fn handle_late_response(&mut self, call: &ListCall, is_parallel: bool, parsed: ParsedList) {
        let now = self.driver.clock.now_ms();
        let late = self.list_sync.answered_late(now, call, list_response(&parsed));
        if late == LateAnswer::Outdated {
            return;
        }
        if !is_parallel {
            let ParsedList { rev: version, all, entries, .. } = parsed;
            let (number, after_ms) = (call.number(), call.elapsed_ms(now));
            log_event!(
                INFO,
                "discovery",
                version,
                entries,
                all,
                after_ms,
                call = number,
                ?late,
                "discovery.late"
            );
            self.driver.count_late_response();
        }
        match late {
            LateAnswer::Outdated => {}
            LateAnswer::Holds => {
                if let Some(current) = self.calls.current().filter(|_| is_parallel) {
                    let reason = "a try beside it was answered first";
                    self.failures.record(now, &current, self.calls.tries(), false, reason);
                }
                self.calls.replace();
                self.record_response(now, call, &parsed);
                self.apply(call, parsed).await;
            }
            LateAnswer::Departures { omissions } => self.apply_departures(parsed, omissions).await,
        }
    }

    /// Records a response that is not older than the known list.
    fn record_response(&mut self, now: f64, call: &ListCall, parsed: &ParsedList) {
        self.failures.reset();
        parsed.log_skipped();
        if parsed.entries > 0 {
            let ParsedList { rev: version, all, entries, .. } = *parsed;
            let (number, after_ms) = (call.number(), call.elapsed_ms(now));
            log_event!(
                INFO,
                "discovery",
                version,
                entries,
                all,
                after_ms,
                call = number,
                "discovery.listed"
            );
        }
    }

    /// Applies a complete response.
    async fn apply(&mut self, call: &ListCall, parsed: ParsedList) {
        self.driver.set_list_version(self.list_sync.version());
        let ParsedList { all, entries, skipped, mut content, .. } = parsed;
        let has_excluded = match &mut content {
            ListContent::Entries(content) => self.departures.exclude_departed(call.number(), content),
            ListContent::Catalog(catalog, _) => {
                self.departures.exclude_departed_from(call.number(), catalog)
            }
            ListContent::Unchanged => false,
        };
        if has_excluded {
            self.confirm_departures();
        }
        let generation = self.context.current_settings.get().generation;
        let known_list = match content {
            ListContent::Catalog(_, digest) if skipped == 0 => {
                Some(KnownList { digest, entries, generation })
            }
            ListContent::Unchanged => self.context.known_list.get(),
            // A response without changes leaves the list as it is.
            ListContent::Entries(_) if entries == 0 && !all => self.context.known_list.get(),
            _ => None,
        };
        self.context.known_list.set(known_list);
        let kind = if all { ListKind::Full } else { ListKind::Changes };
        apply_content(&self.driver, kind, content).await;
        self.driver.list_received();
    }

    /// Applies only the departures of an outdated response: a backend counts as reported gone from the
    /// moment the response was written, whatever has been asked since. With `omissions`, backends that a
    /// full list omits have left too.
    async fn apply_departures(&mut self, parsed: ParsedList, omissions: bool) {
        let departures = self.driver.departures(&parsed.content, omissions && parsed.all);
        self.departures.record(&departures, self.list_sync.last_call());
        if !self.driver.any_may_be_up(&departures) {
            return;
        }
        self.confirm_departures();
        self.context.known_list.set(None);
        apply_content(&self.driver, ListKind::Changes, ListContent::Entries(departures)).await;
    }

    /// Asks for the full list, because backends were excluded on the basis of a response that is otherwise
    /// outdated.
    fn confirm_departures(&mut self) {
        self.list_sync.request_full_list(self.driver.clock.now_ms());
        self.calls.replace_watch();
        self.driver.set_list_version(self.list_sync.version());
    }

    /// Records that the current call's response exceeded the size limit.
    fn record_too_long(&mut self) {
        self.list_sync.response_too_long(self.driver.clock.now_ms());
        self.driver.count_oversized_list();
        log_event!(ERROR, "discovery", limit = MAX_LIST_BYTES, "discovery.list_too_long");
    }

    /// Records that the current call failed or timed out.
    fn record_failure(&mut self, call: &ListCall, reason: &str) {
        let tries = self.calls.tries();
        let now = self.driver.clock.now_ms();
        let is_on_request = self.list_sync.failed(now, call);
        // In on-request mode calls are few, so every failure is logged.
        self.failures.record(now, call, tries, is_on_request, reason);
        if is_on_request {
            self.driver.handle(Input::List(ListKind::Failed, Vec::new()));
        }
    }
}

fn list_response(parsed: &ParsedList) -> ListResponse {
    ListResponse { version: parsed.rev, full: parsed.all, skipped: parsed.skipped }
}

/// Passes the entries of a response to the driver, many changes in slices.
pub async fn apply_content(driver: &Rc<Driver>, kind: ListKind, content: ListContent) {
    match content {
        ListContent::Catalog(catalog, _) => driver.handle(Input::FullList(kind, *catalog)),
        ListContent::Unchanged => driver.handle(Input::List(ListKind::Changes, Vec::new())),
        ListContent::Entries(mut content) => {
            while kind == ListKind::Changes && content.len() > CHANGES_PER_SLICE {
                let rest = content.split_off(CHANGES_PER_SLICE);
                driver.handle(Input::List(kind, std::mem::replace(&mut content, rest)));
                tokio::task::yield_now().await;
            }
            driver.handle(Input::List(kind, content));
        }
    }
}

/// Calls that have failed since the last response.
#[derive(Default)]
struct Failures {
    /// Number of failed calls.
    calls: u64,
    /// Number of parallel calls made alongside them.
    tries: u64,
    logged_at: Option<f64>,
}

impl Failures {
    /// Counts a failed call. It is logged if it is the first, if `always` is set, or if none was logged in
    /// the last second.
    fn record(&mut self, now: f64, call: &ListCall, tries: u32, always: bool, reason: &str) {
        self.calls += 1;
        self.tries += u64::from(tries);
        if always || self.logged_at.is_none_or(|at| now - at >= FAILURE_LOG_INTERVAL_MS) {
            self.logged_at = Some(now);
            let (number, after_ms) = (call.number(), call.elapsed_ms(now));
            let (failed, tries) = (self.calls, self.tries);
            log_event!(
                WARN,
                "discovery",
                after_ms,
                reason,
                failed,
                tries,
                call = number,
                "discovery.failed"
            );
        }
    }

    /// Ends a series of failures after a response.
    fn reset(&mut self) {
        if self.calls > 0 {
            let Failures { calls: failed, tries, .. } = *self;
            log_event!(INFO, "discovery", failed, tries, "discovery.recovered");
            *self = Failures::default();
        }
    }
}
