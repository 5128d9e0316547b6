//! Keeps the backend list up to date: starts from the configured list, then watches discovery.

use crate::active_settings::CurrentSettings;
use crate::discovery_calls::{
    CallContext, CallEnded, Calls, ListTooLong, MAX_LIST_BYTES, Progress, duration_from_ms,
};
use crate::driver::{Driver, Input};
use crate::handover_log::Update;
use crate::list_parser::{KnownList, ListContent, ParsedList};
use crate::list_publisher::ListPublisher;
use crate::list_receiver::{Delivery, HandedUpdate};
use crate::log::log_event;
use crate::socket::Descriptors;
use daleturn::control::departures::Departures;
use daleturn::control::list_origin::{Adoption, ListOrigin, ListSource, UpdateKind};
use daleturn::control::list_sync::{LateAnswer, ListCall, ListResponse, ListSync, NextStep};
use daleturn::control::subset::Target;
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
    /// Tells the node's other processes of the list.
    pub publisher: Rc<ListPublisher>,
    /// Lists of the node's other processes.
    pub deliveries: mpsc::UnboundedReceiver<Delivery>,
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
            publisher: self.publisher,
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
                Some(delivery) = self.deliveries.recv() => {
                    list.adopt(delivery.update).await;
                    // The receiver is gone while the node is stopping.
                    let _ = delivery.handled.send(());
                }
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
    publisher: Rc<ListPublisher>,
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
        self.publisher.set_discovery(at);
        self.publisher.set_watch_from(self.list_sync.version());
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
                let CallEnded { call, compared, result, at, .. } = *ended;
                let result = result.and_then(|parsed| self.check_unchanged(parsed, compared));
                match result {
                    Ok(parsed) if is_current => self.handle_response(&call, at, parsed).await,
                    Ok(parsed) => self.handle_late_response(&call, at, is_parallel, parsed).await,
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
    async fn handle_response(&mut self, call: &ListCall, at: SocketAddr, parsed: ParsedList) {
        let now = self.driver.clock.now_ms();
        let origin = self.origin(call, at, &parsed);
        self.record_response(now, call, &parsed);
        // In on-request mode a response without changes is applied too, which tells the balancer that the
        // call did not fail.
        if self.list_sync.answered(now, call, list_response(&parsed)) {
            self.apply(call, origin, parsed).await;
        } else {
            self.apply_departures(origin, parsed, false).await;
        }
    }

    /// Returns the origin of a response that has just been read.
    fn origin(&self, call: &ListCall, at: SocketAddr, parsed: &ParsedList) -> ListOrigin {
        let clock = self.driver.clock;
        ListOrigin {
            discovery: at,
            version: parsed.rev,
            asked_ms: clock.to_machine_ms(call.started_at_ms()),
            received_ms: clock.to_machine_ms(clock.now_ms()),
        }
    }

    /// Handles a late response. `is_parallel`: the call was made in parallel to another one, so being
    /// replaced does not make it late.
    async fn handle_late_response(
        &mut self,
        call: &ListCall,
        at: SocketAddr,
        is_parallel: bool,
        parsed: ParsedList,
    ) {
        let now = self.driver.clock.now_ms();
        let origin = self.origin(call, at, &parsed);
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
                self.apply(call, origin, parsed).await;
            }
            LateAnswer::Departures { omissions } => self.apply_departures(origin, parsed, omissions).await,
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
    async fn apply(&mut self, call: &ListCall, origin: ListOrigin, parsed: ParsedList) {
        self.driver.set_list_version(self.list_sync.version());
        let ParsedList { all, entries, skipped, mut content, .. } = parsed;
        if self.exclude_departed(call.number(), &mut content) {
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
        let after = self.publisher.source().version().unwrap_or(0);
        let (list_kind, kind) = if all {
            (ListKind::Full, self.publisher.full_kind())
        } else {
            (ListKind::Changes, UpdateKind::Changes(after))
        };
        let publication = self.publication(kind, &content);
        apply_content(&self.driver, list_kind, content).await;
        self.driver.list_received();
        let source = ListSource::Discovery { origin, handed_over: false };
        self.publish(publication, kind, source);
    }

    /// Excludes departed backends from a response. Returns true if it listed such a backend as up.
    fn exclude_departed(&mut self, call: u64, content: &mut ListContent) -> bool {
        match content {
            ListContent::Entries(content) => self.departures.exclude_departed(call, content),
            ListContent::Catalog(catalog, _) => self.departures.exclude_departed_from(call, catalog),
            ListContent::Unchanged => false,
        }
    }

    /// Returns what the node's other processes must be told of a response, before it is applied.
    fn publication(&self, kind: UpdateKind, content: &ListContent) -> Publication {
        let is_full = matches!(kind, UpdateKind::Full(_));
        match content {
            ListContent::Unchanged => Publication::Confirmation,
            ListContent::Entries(lines) if lines.is_empty() && !is_full => Publication::Confirmation,
            _ if !self.publisher.is_active() => Publication::List,
            ListContent::Entries(lines) => Publication::Lines(lines.clone()),
            ListContent::Catalog(..) if self.publisher.needs_departures() => {
                Publication::Departures(self.driver.departures(content, true))
            }
            ListContent::Catalog(..) => Publication::List,
        }
    }

    /// Tells the node's other processes of a response that has been applied.
    fn publish(&self, publication: Publication, kind: UpdateKind, source: ListSource) {
        let watch_from = self.list_sync.version();
        let update = |kind, targets: &[Target]| {
            let origin = *source.origin()?;
            Some(Update { kind, origin, watch_from, lines: self.publisher.lines(targets) })
        };
        let update = match publication {
            Publication::Confirmation => return self.publisher.list_confirmed(source, watch_from),
            Publication::List => None,
            Publication::Lines(lines) => update(kind, &lines),
            Publication::Departures(lines) => update(UpdateKind::Departures, &lines),
        };
        self.publisher.list_changed(source, watch_from, update);
    }

    /// Applies only the departures of an outdated response: a backend counts as reported gone from the
    /// moment the response was written, whatever has been asked since. With `omissions`, backends that a
    /// full list omits have left too.
    async fn apply_departures(&mut self, origin: ListOrigin, parsed: ParsedList, omissions: bool) {
        let departures = self.driver.departures(&parsed.content, omissions && parsed.all);
        self.apply_departed(origin, departures).await;
    }

    /// Excludes backends that have departed by this response.
    async fn apply_departed(&mut self, origin: ListOrigin, departures: Vec<Target>) {
        self.departures.record(&departures, self.list_sync.last_call());
        if !self.driver.any_may_be_up(&departures) {
            return;
        }
        self.confirm_departures();
        self.context.known_list.set(None);
        let lines = self.publisher.lines(&departures);
        apply_content(&self.driver, ListKind::Changes, ListContent::Entries(departures)).await;
        let kind = UpdateKind::Departures;
        self.publisher.backends_departed(Update { kind, origin, watch_from: None, lines });
    }

    /// Takes the list of another process of this node, or a change of it, as far as it is newer than what
    /// this process knows.
    async fn adopt(&mut self, update: HandedUpdate) {
        let HandedUpdate { kind, origin, pid, .. } = update;
        let adoption = self.publisher.adoption(kind, &origin);
        if adoption == Adoption::Nothing {
            return;
        }
        let now = self.driver.clock.to_machine_ms(self.driver.clock.now_ms());
        let age_ms = (now - origin.received_ms).max(0.0) as u64;
        let version = origin.version;
        log_event!(INFO, "upgrade", pid, version, age_ms, ?kind, ?adoption, "upgrade.list");
        if adoption == Adoption::All {
            self.adopt_all(update).await;
        } else {
            let departures = self.driver.departures(&update.content, false);
            self.apply_departed(origin, departures).await;
        }
    }

    /// Applies the list of another process, or a change of it, as a whole.
    async fn adopt_all(&mut self, mut update: HandedUpdate) {
        let HandedUpdate { kind, origin, .. } = update;
        let is_same_service = origin.discovery == self.calls.address();
        let are_zones_known = self.complete_zones(&mut update);
        let watch_from = update.watch_from.filter(|_| is_same_service && are_zones_known);
        // A response to a call that is under way may be older.
        self.calls.replace();
        let call = if self.publisher.is_newer_than_departures(&origin) {
            self.list_sync.last_call() + 1
        } else {
            0
        };
        self.list_sync.adopted(is_same_service.then_some(origin.version), watch_from);
        if self.exclude_departed(call, &mut update.content) || watch_from.is_none() {
            self.confirm_departures();
        }
        self.driver.set_list_version(self.list_sync.version());
        self.driver.restore_starts(&update.starts, origin.received_ms);
        self.context.known_list.set(None);
        let publication = self.publication(kind, &update.content);
        // This is no answer of discovery to this process, so a whole list is not `Full`.
        let is_full = matches!(kind, UpdateKind::Full(_));
        let list_kind = if is_full { ListKind::Saved } else { ListKind::Changes };
        apply_content(&self.driver, list_kind, update.content).await;
        self.publish(publication, kind, ListSource::Discovery { origin, handed_over: true });
    }

    /// Fills in the zones that the other process did not know, from the list of this process. Returns false
    /// if some remain unknown.
    fn complete_zones(&self, update: &mut HandedUpdate) -> bool {
        let mut are_known = true;
        for id in std::mem::take(&mut update.unknown_zones) {
            let Some(zone) = self.driver.listed_zone(id) else {
                are_known = false;
                continue;
            };
            update.content.set_zone(id, zone);
        }
        are_known
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
        self.publisher.set_watch_from(self.list_sync.version());
        // In on-request mode calls are few, so every failure is logged.
        self.failures.record(now, call, tries, is_on_request, reason);
        if is_on_request {
            self.driver.handle(Input::List(ListKind::Failed, Vec::new()));
        }
    }
}

/// What the node's other processes are told of a response.
enum Publication {
    /// The list stays as it is.
    Confirmation,
    /// The list as a whole, as it is after the response.
    List,
    /// The lines of the response.
    Lines(Vec<Target>),
    /// The departures in the response.
    Departures(Vec<Target>),
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
