//! The list of backends: takes updates, tells the balancer of them, and gives out the list for the store and for
//! the node's other processes.

use super::{BackendAddress, Core, Driver, Input, health_name};
use crate::active_settings::ActiveSettings;
use crate::handover_log::{Line, RecordedStart};
use crate::initial_list::UNCONFIRMED_FIELD;
use crate::list_parser::ListContent;
use crate::log::log_event;
use crate::upstream::Upstream;
use daleturn::control::subset::{LinePosition, ListUpdate, SubsetStats, Target};
use daleturn::interface::{BackendId, Event, Health, ListEntry, ListKind};
use serde_json::{Value, json};

/// Maximum number of backends named in one log event; the event also carries the total count.
const MAX_NAMES_PER_EVENT: usize = 8;

impl Driver {
    /// Sets the version of the known list.
    pub fn set_list_version(&self, version: Option<u64>) {
        self.list_version.set(version);
    }

    /// Records that a discovery response has been applied completely.
    pub fn list_received(&self) {
        let core = &mut *self.core.borrow_mut();
        core.start_times.list_received(self.clock.now_ms());
        core.start_times.trim(|backend| core.subset.is_listed(backend));
    }

    /// True if a backend list is known.
    pub fn has_list(&self) -> bool {
        !self.core.borrow().listed.is_empty()
    }

    /// Returns up to `count` lines of the list after a position, for another process of this node that gets
    /// the names of `zones` zones.
    pub fn lines_to_hand_over(
        &self,
        position: Option<LinePosition>,
        count: usize,
        zones: usize,
    ) -> Vec<(LinePosition, Line)> {
        let core = self.core.borrow();
        let lines = core.subset.lines_after(position, count).into_iter();
        lines.map(|(at, target)| (at, self.line_of(&core, target, zones))).collect()
    }

    /// Returns the lines of these backends for another process of this node.
    pub fn lines_of(&self, targets: &[Target], zones: usize) -> Vec<Line> {
        let core = self.core.borrow();
        targets.iter().map(|target| self.line_of(&core, target, zones)).collect()
    }

    fn line_of(&self, core: &Core, target: &Target, zones: usize) -> Line {
        let ListEntry { backend, ready_at_ms, .. } = target.entry;
        let local_start_ms = core.start_times.recorded_start_ms(backend, ready_at_ms);
        Line::new(target, zones, local_start_ms.map(|at_ms| self.clock.to_machine_ms(at_ms)))
    }

    /// Returns the statistics of the list and of this node's part of it.
    pub fn subset_stats(&self) -> SubsetStats {
        self.core.borrow().subset.stats()
    }

    /// Returns the zone in which a backend is listed.
    pub fn listed_zone(&self, id: BackendId) -> Option<u16> {
        self.core.borrow().subset.line(id).map(|line| line.entry.zone)
    }

    /// Restores start times that another process of this node has recorded. It received its last list at
    /// `received_ms` on the machine's monotonic clock.
    pub fn restore_starts(&self, starts: &[RecordedStart], received_ms: f64) {
        let core = &mut *self.core.borrow_mut();
        for start in starts {
            let local_ms = self.clock.at_machine_ms(start.started_ms);
            core.start_times.restore(start.backend, start.reported_ms, local_ms);
        }
        core.start_times.list_received(self.clock.at_machine_ms(received_ms));
    }

    /// Counts a list that exceeded the size limit.
    pub fn count_oversized_list(&self) {
        self.oversized_lists.set(self.oversized_lists.get() + 1);
    }

    /// Counts a discovery response to a call that had timed out or been replaced.
    pub fn count_late_response(&self) {
        self.late_responses.set(self.late_responses.get() + 1);
    }

    /// Returns the entries of a response that remove backends. With `omissions`, a full list also removes
    /// the backends that it does not contain.
    pub fn departures(&self, content: &ListContent, omissions: bool) -> Vec<Target> {
        let core = self.core.borrow();
        match content {
            ListContent::Entries(lines) => core.subset.departures(lines, omissions),
            ListContent::Catalog(catalog, _) => core.subset.departures(catalog.lines(), omissions),
            ListContent::Unchanged => Vec::new(),
        }
    }

    /// True if any of these backends is not yet known to have left.
    pub fn any_may_be_up(&self, departures: &[Target]) -> bool {
        let core = self.core.borrow();
        departures.iter().any(|line| core.subset.may_be_up(line.entry.backend))
    }

    /// Returns the known list, or this node's part of a long one, as discovery's JSON. `version` is that of
    /// the last response that it contains as a whole.
    pub fn list_json(&self, active: &ActiveSettings, version: Option<u64>) -> String {
        let core = self.core.borrow();
        let targets: Vec<Value> = (core.listed.values())
            .map(|t| {
                let (e, endpoint) = (&t.entry, t.address.map(|a| a.to_string()));
                json!({"uid": &*t.uid, "endpoint": endpoint, "az": active.names.zone_name(e.zone),
                       "pod_group": e.cell, "state": health_name(e.health), "capacity_hint": e.units,
                       "boot_ms": e.ready_at_ms})
            })
            .collect();
        // A partial list must not be used as the base of incremental changes.
        let is_unconfirmed = self.list_version.get().is_none();
        let all = !core.subset.is_truncated() && !is_unconfirmed;
        json!({"rev": version.unwrap_or(0), "all": all, UNCONFIRMED_FIELD: is_unconfirmed, "targets": targets})
            .to_string()
    }
}

impl Core {
    /// Applies a list update to the part of the list that this node uses.
    pub(super) fn apply_list_update(&mut self, now: f64, update: ListUpdate, upstream: &Upstream) -> Event {
        let ListUpdate { kind, lines, previous } = update;
        if let Some(previous) = previous {
            // Dropping a long list takes time, so it happens on a blocking thread.
            drop(tokio::task::spawn_blocking(move || drop(previous)));
        }
        self.update_listed(kind, &lines);
        self.update_nodes_per_backend();
        self.list_event(now, kind, lines, upstream)
    }

    /// Updates the number of nodes per backend, by which the balancer divides each backend's capacity. A
    /// change of at most an eighth is ignored, since new settings for every backend that comes or goes
    /// would be too frequent.
    fn update_nodes_per_backend(&mut self) {
        let settings = self.balancer.settings();
        let now = self.subset.nodes_per_backend(settings.instances);
        let same = match (now, settings.held_by) {
            (Some(now), Some(known)) => now.abs_diff(known) * 8 <= known,
            (now, known) => now == known,
        };
        if !same {
            let stats = self.subset.stats();
            let (listed, held, held_by) = (stats.listed, stats.held, now.unwrap_or(settings.instances));
            log_event!(INFO, "list", listed, held, held_by, "list.subset");
            self.follow_ups.push_back(Input::Settings(Box::new(settings.clone())));
        }
    }

    /// Updates the listed backends and drops the statistics of those that are no longer listed.
    fn update_listed(&mut self, kind: ListKind, targets: &[Target]) {
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            self.listed.clear();
        }
        for target in targets {
            if target.entry.health == Health::Gone {
                self.listed.remove(&target.entry.backend);
            } else {
                self.listed.insert(target.entry.backend, target.clone());
            }
        }
        let listed = &self.listed;
        self.stats.retain_listed(|id| listed.contains_key(&id));
    }

    /// Converts list entries to an event. Cordoned backends are passed on as draining.
    pub(super) fn list_event(
        &mut self,
        now: f64,
        kind: ListKind,
        mut targets: Vec<Target>,
        upstream: &Upstream,
    ) -> Event {
        for Target { entry, .. } in &mut targets {
            if entry.health == Health::Up && self.cordoned.contains_key(&entry.backend) {
                entry.health = Health::Draining;
            }
        }
        self.update_addresses(kind, &targets, upstream);
        let entries = targets.into_iter().map(|target| {
            let entry = target.entry;
            ListEntry {
                ready_at_ms: self.start_times.local_start_ms(now, entry.backend, entry.ready_at_ms),
                ..entry
            }
        });
        Event::List { kind, entries: entries.collect() }
    }

    /// Updates the addresses of backends and closes idle connections that became useless.
    fn update_addresses(&mut self, kind: ListKind, targets: &[Target], upstream: &Upstream) {
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            // Backends that a full list omits have left.
            for known in self.addresses.values_mut() {
                known.is_up = false;
            }
        }
        for Target { entry, address, uid } in targets {
            let is_up = entry.health == Health::Up;
            match (self.addresses.get_mut(&entry.backend), address) {
                (Some(known), address) => {
                    let address = address.unwrap_or(known.address);
                    if address != known.address || entry.ready_at_ms > known.ready_at_ms {
                        // Connections to the old process or address are useless.
                        upstream.close_idle(entry.backend);
                    }
                    *known =
                        BackendAddress { address, is_up, ready_at_ms: entry.ready_at_ms, uid: uid.clone() };
                }
                // No address is needed for a backend that is not up.
                (None, Some(address)) if is_up => {
                    let known = BackendAddress {
                        address: *address,
                        is_up,
                        ready_at_ms: entry.ready_at_ms,
                        uid: uid.clone(),
                    };
                    self.addresses.insert(entry.backend, known);
                }
                (None, _) => {}
            }
        }
        let mut departed = Vec::new();
        self.addresses.retain(|id, known| {
            if !known.is_up {
                upstream.close_idle(*id);
                departed.push(known.uid.clone());
            }
            known.is_up
        });
        if !departed.is_empty() {
            departed.sort();
            let backends =
                departed.iter().take(MAX_NAMES_PER_EVENT).map(|uid| &**uid).collect::<Vec<_>>().join(",");
            log_event!(
                INFO,
                "backend",
                count = departed.len(),
                backends = backends.as_str(),
                "backend.left"
            );
        }
    }
}
