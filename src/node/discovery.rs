//! The list of backends: the first one from the configuration, then a watch on discovery.

use crate::discovery_calls::{Calls, Ended, LIST_LIMIT, Progress, Resources, TooLong, span};
use crate::driver::{Driver, Input};
use crate::listing::{Lines, Listing, Seen};
use crate::log::log_event;
use crate::rules::Current;
use crate::socket::Descriptors;
use daleturn::control::departures::Departures;
use daleturn::control::list_sync::{LateAnswer, ListCall, ListResponse, ListSync, NextStep};
use daleturn::interface::{Discovery, ListKind};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// So many changes are taken at once; whoever is served has a turn in between.
const SLICE: usize = 256;
/// Of calls that go on failing, one in so many milliseconds is told.
const TELL_FAILED_MS: f64 = 1000.0;

/// Waits until discovery moves; for ever where nobody can say so any more.
async fn moved(address: &mut watch::Receiver<(SocketAddr, Discovery)>) -> (SocketAddr, Discovery) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
    *address.borrow_and_update()
}

/// Keeps the list fresh for as long as the node lives.
pub struct Watch {
    /// Where discovery is and how the list arrives; both may change.
    pub address: watch::Receiver<(SocketAddr, Discovery)>,
    /// What is asked when. The version that is known spares the one service of all nodes whole lists, above all where
    /// many nodes start at once.
    pub asking: ListSync,
    /// Names of zones, and the time that the settings give for asking.
    pub rules: Rc<Current>,
    /// The count of sockets.
    pub descriptors: Rc<Descriptors>,
    /// The decisions' wish to watch, where discovery is asked.
    pub wishes: mpsc::UnboundedReceiver<bool>,
}

impl Watch {
    /// Runs until the driver is gone.
    pub async fn run(mut self, driver: Rc<Driver>) {
        let mut address = self.address.clone();
        let (at, _) = *address.borrow_and_update();
        let (sender, mut progress) = mpsc::unbounded_channel();
        let resources = Rc::new(Resources {
            rules: self.rules.clone(),
            descriptors: self.descriptors.clone(),
            seen: None.into(),
        });
        let mut list = List {
            asking: self.asking,
            calls: Calls::new(at, resources.clone(), sender),
            resources,
            failures: Failures::default(),
            departures: Departures::default(),
            next_try: None,
            driver,
        };
        loop {
            if list.calls.current().is_none() {
                while let Ok(wish) = self.wishes.try_recv() {
                    list.asking.set_wanted(wish);
                }
            }
            let pause = list.go_on();
            tokio::select! {
                // An answer that is here was written before the move that is known now.
                biased;
                Some(told) = progress.recv() => list.take(told).await,
                (new, how) = moved(&mut address) => list.move_to(new, how),
                // The decisions may wish for the next call sooner.
                wish = self.wishes.recv(), if list.calls.current().is_none() => match wish {
                    Some(wish) => list.asking.set_wanted(wish),
                    None => return,
                },
                () = tokio::time::sleep(span(pause.unwrap_or(0.0))), if pause.is_some() => {}
            }
        }
    }
}

/// The list as discovery tells it, and the calls that keep it fresh.
struct List {
    asking: ListSync,
    calls: Calls,
    resources: Rc<Resources>,
    failures: Failures,
    departures: Departures,
    /// When the current call is made once more beside itself, and how much later again.
    next_try: Option<(f64, f64)>,
    driver: Rc<Driver>,
}

impl List {
    /// Makes the next call, if it is time. Hands back the milliseconds until then, where that is known.
    fn go_on(&mut self) -> Option<f64> {
        if let Some(current) = self.calls.current() {
            return self.try_again(&current);
        }
        let settings = &self.resources.rules.get().settings;
        self.asking.update_settings(settings.must_ask_in_ms, settings.drain_grace_ms);
        let now = self.driver.clock.now_ms();
        match self.asking.next(now) {
            NextStep::Idle => None,
            NextStep::Pause(ms) => Some(ms),
            NextStep::Call(call) => {
                self.calls.begin(call);
                self.next_try = call.parallel_interval_ms.map(|try_ms| (now + try_ms, try_ms));
                call.parallel_interval_ms
            }
        }
    }

    /// Makes the current call once more beside itself, if it is time. One that fails soon is not repeated sooner.
    fn try_again(&mut self, current: &ListCall) -> Option<f64> {
        let (at, try_ms) = self.next_try?;
        let now = self.driver.clock.now_ms();
        if now < at {
            return Some(at - now);
        }
        let call = self.asking.parallel_call(now, current);
        self.calls.begin_beside(call);
        self.next_try = Some((now + try_ms, try_ms));
        Some(try_ms)
    }

    /// Asks another address from now on. What the old one has written may still be under way.
    fn move_to(&mut self, at: SocketAddr, how: Discovery) {
        self.calls.move_to(at);
        self.asking.discovery_changed(self.driver.clock.now_ms(), how);
        log_event!(INFO, "discovery", %at, ?how, replaced_calls = self.calls.count(), "discovery.moved");
    }

    async fn take(&mut self, progress: Progress) {
        match progress {
            Progress::GivenUp(call) => {
                if self.calls.given_up(&call) {
                    self.failed(&call, "deadline has elapsed");
                }
            }
            Progress::Ended(mut ended) => {
                let beside = self.calls.is_beside(&ended.call);
                let current = self.calls.ended(&mut ended);
                let Ended { call, compared, answer, .. } = *ended;
                let answer = answer.and_then(|listing| self.still_same(listing, compared));
                match answer {
                    Ok(listing) if current => self.answered(&call, listing).await,
                    Ok(listing) => self.answered_late(&call, beside, listing).await,
                    Err(e) if current && e.is::<TooLong>() => self.overlong(),
                    Err(e) if current => self.failed(&call, &e.to_string()),
                    // It counts as failed already, or another call does.
                    Err(_) => {}
                }
            }
        }
    }

    /// "The same as before" says nothing once the list has changed.
    fn still_same(
        &self,
        listing: Listing,
        compared: Option<Seen>,
    ) -> Result<Listing, Box<dyn std::error::Error>> {
        match listing.lines {
            Lines::Same if compared != self.resources.seen.get() => {
                Err("the list has changed while its answer was read".into())
            }
            _ => Ok(listing),
        }
    }

    async fn answered(&mut self, call: &ListCall, listing: Listing) {
        let now = self.driver.clock.now_ms();
        self.heard(now, call, &listing);
        // No change is news too where discovery is asked: the call did not fail.
        if self.asking.answered(now, call, told(&listing)) {
            self.hold(call, listing).await;
        } else {
            self.depart(listing, false).await;
        }
    }

    /// `beside`: the call was made beside another, and is not late by being replaced.
    async fn answered_late(&mut self, call: &ListCall, beside: bool, listing: Listing) {
        let now = self.driver.clock.now_ms();
        let late = self.asking.answered_late(now, call, told(&listing));
        if late == LateAnswer::Outdated {
            return;
        }
        if !beside {
            let Listing { rev: version, all, entries, .. } = listing;
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
                if let Some(current) = self.calls.current().filter(|_| beside) {
                    let reason = "a try beside it was answered first";
                    self.failures.tell(now, &current, self.calls.tries(), false, reason);
                }
                self.calls.replace();
                self.heard(now, call, &listing);
                self.hold(call, listing).await;
            }
            LateAnswer::Departures { omissions } => self.depart(listing, omissions).await,
        }
    }

    /// Discovery was heard, and nothing newer is known than this.
    fn heard(&mut self, now: f64, call: &ListCall, listing: &Listing) {
        self.failures.over();
        listing.tell_skipped();
        if listing.entries > 0 {
            let Listing { rev: version, all, entries, .. } = *listing;
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

    /// Takes all that an answer says.
    async fn hold(&mut self, call: &ListCall, listing: Listing) {
        self.driver.set_list_version(self.asking.version());
        let Listing { all, entries, skipped, mut lines, .. } = listing;
        let kept_out = match &mut lines {
            Lines::Few(lines) => self.departures.exclude_departed(call.number(), lines),
            Lines::Whole(catalog, _) => self.departures.exclude_departed_from(call.number(), catalog),
            Lines::Same => false,
        };
        if kept_out {
            self.ask_whether_they_left();
        }
        let taken = self.resources.rules.get().taken;
        let seen = match lines {
            Lines::Whole(_, digest) if skipped == 0 => Some(Seen { digest, entries, taken }),
            Lines::Same => self.resources.seen.get(),
            // An answer without news leaves the list as it is.
            Lines::Few(_) if entries == 0 && !all => self.resources.seen.get(),
            _ => None,
        };
        self.resources.seen.set(seen);
        let kind = if all { ListKind::Full } else { ListKind::Changes };
        hand_on(&self.driver, kind, lines).await;
        self.driver.list_received();
    }

    /// Takes no more of an answer than that backends leave: that counts as notified from the moment in which it was written,
    /// whatever else has been asked since. `omissions`: a whole list also says so by leaving them out.
    async fn depart(&mut self, listing: Listing, omissions: bool) {
        let departures = self.driver.departures(&listing.lines, omissions && listing.all);
        self.departures.record(&departures, self.asking.last_call());
        if !self.driver.any_may_be_up(&departures) {
            return;
        }
        self.ask_whether_they_left();
        self.resources.seen.set(None);
        hand_on(&self.driver, ListKind::Changes, Lines::Few(departures)).await;
    }

    /// Backends are kept out on the word of an answer that may be outdated otherwise.
    fn ask_whether_they_left(&mut self) {
        self.asking.request_full_list(self.driver.clock.now_ms());
        self.calls.replace_watch();
        self.driver.set_list_version(self.asking.version());
    }

    fn overlong(&mut self) {
        self.asking.response_too_long(self.driver.clock.now_ms());
        self.driver.count_oversized_list();
        log_event!(ERROR, "discovery", limit = LIST_LIMIT, "discovery.list_too_long");
    }

    fn failed(&mut self, call: &ListCall, reason: &str) {
        let tries = self.calls.tries();
        let now = self.driver.clock.now_ms();
        let paced = self.asking.failed(now, call);
        // Calls that the decisions pace are few: each failure is told.
        self.failures.tell(now, call, tries, paced, reason);
        if paced {
            self.driver.handle(Input::List(ListKind::Failed, Vec::new()));
        }
    }
}

fn told(listing: &Listing) -> ListResponse {
    ListResponse { version: listing.rev, full: listing.all, skipped: listing.skipped }
}

/// Hands on what an answer holds; many changes in slices.
pub async fn hand_on(driver: &Rc<Driver>, kind: ListKind, lines: Lines) {
    match lines {
        Lines::Whole(catalog, _) => driver.handle(Input::FullList(kind, *catalog)),
        Lines::Same => driver.handle(Input::List(ListKind::Changes, Vec::new())),
        Lines::Few(mut lines) => {
            while kind == ListKind::Changes && lines.len() > SLICE {
                let rest = lines.split_off(SLICE);
                driver.handle(Input::List(kind, std::mem::replace(&mut lines, rest)));
                tokio::task::yield_now().await;
            }
            driver.handle(Input::List(kind, lines));
        }
    }
}

/// Calls that failed since something was heard.
#[derive(Default)]
struct Failures {
    calls: u64,
    /// Short tries beside them.
    tries: u64,
    told_at: Option<f64>,
}

impl Failures {
    /// One more; it is told if it is the first, if it always is, or if none was for a second.
    fn tell(&mut self, now: f64, call: &ListCall, tries: u32, always: bool, reason: &str) {
        self.calls += 1;
        self.tries += u64::from(tries);
        if always || self.told_at.is_none_or(|at| now - at >= TELL_FAILED_MS) {
            self.told_at = Some(now);
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

    /// Discovery was heard.
    fn over(&mut self) {
        if self.calls > 0 {
            let Failures { calls: failed, tries, .. } = *self;
            log_event!(INFO, "discovery", failed, tries, "discovery.recovered");
            *self = Failures::default();
        }
    }
}
