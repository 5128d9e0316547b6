//! State of a balancer as others see it: snapshots for operators, the memory that the next process of the node
//! restores, and changes of settings. Nothing is decided here.

use crate::counters::LoadSnapshot;
use crate::interface::{
    Action, BackendMemory, BackendSnapshot, BalancerSnapshot, LogNote, Memory, Settings,
};
use crate::policy::{Balancer, ConcurrencyCap};
use crate::request_table::Backend;
use crate::statistics::ClassStatistics;

impl Balancer {
    /// Applies settings, the first or new ones. The statistics of a class whose number stood for another class are
    /// reset.
    pub(crate) fn apply_settings(&mut self, s: Settings) {
        let same = |i: usize| self.settings.classes.get(i) == s.classes.get(i);
        let kept = |i| self.class_statistics.get(i).filter(|_| same(i)).cloned().unwrap_or_default();
        self.class_statistics = (0..s.classes.len()).map(kept).collect();
        let a = &mut self.admission;
        a.offered.resize(s.classes.len(), [0.0; 2]);
        a.admit_probability.resize(s.classes.len(), [1.0; 2]);
        a.allowance_part.resize(s.classes.len(), [1.0; 2]);
        a.tenant_rates.resize(s.tenants.len());
        self.settings = s;
    }

    /// Returns the current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Logs the counters with the load of the fleet, if requests were stopped since the last line.
    pub(crate) fn log_counters(&mut self, now: f64, actions: &mut Vec<Action>) {
        let Some(counters) = self.counters.take(now) else { return };
        actions.push(Action::Log(LogNote::Stopped(Box::new((counters, self.load_snapshot(now))))));
    }

    /// Returns what the next process of this node can restore.
    pub fn memory(&self) -> Memory {
        let of_backend = |b: &Backend| {
            let prat = b.failure_record.congested.then_some(b.failure_record.prat);
            BackendMemory { backend: b.id, limit: b.cap.limit, cut_at: b.cap.cut_at, prat }
        };
        let times = |stats: &ClassStatistics| {
            if stats.answers < 20 {
                [0.0; 4]
            } else {
                [stats.mean_ms, stats.deviation_ms, stats.p80_ms, stats.usual_ms]
            }
        };
        let classes = self.class_statistics.iter().map(times).collect();
        Memory {
            warm_rate: self.warm_rate.peak,
            backends: self.backends.iter().map(of_backend).collect(),
            classes,
        }
    }

    /// Restores what another process of this node has learned, for the backends and classes that are known here.
    pub(crate) fn restore_memory(&mut self, memory: &Memory) {
        self.warm_rate.peak = self.warm_rate.peak.max(memory.warm_rate);
        for remembered in &memory.backends {
            let Some(i) = self.backend_index(remembered.backend) else { continue };
            let b = &mut self.backends[i];
            b.cap = ConcurrencyCap {
                limit: remembered.limit,
                cut_at: remembered.cut_at,
                ..ConcurrencyCap::default()
            };
            (b.failure_record.congested, b.failure_record.prat) =
                (remembered.prat.is_some(), remembered.prat.unwrap_or(0.0));
        }
        for (stats, times) in
            self.class_statistics.iter_mut().zip(&memory.classes).filter(|(_, t)| t[0] > 0.0)
        {
            [stats.mean_ms, stats.deviation_ms, stats.p80_ms, stats.usual_ms] = *times;
            stats.answers = 20;
        }
    }

    /// Returns the requests per second of each tenant at this node, by the tenant's number.
    pub fn tenant_request_rates(&self) -> Vec<f64> {
        (0..self.settings.tenants.len()).map(|t| self.admission.tenant_rates.rate(t)).collect()
    }

    /// Returns the load of the fleet as this node sees it at `now`.
    pub(crate) fn load_snapshot(&self, now: f64) -> LoadSnapshot {
        let count = |f: &dyn Fn(&Backend) -> bool| self.backends.iter().filter(|b| b.up && f(b)).count();
        LoadSnapshot {
            level: self.admission.level,
            strain: self.admission.strain,
            pressure: self.pressure,
            in_flight_allowance: self.admission.in_flight_allowance,
            spill_tokens: self.admission.spill_tokens,
            congested: count(&|b| b.failure_record.congested),
            capped: count(&|b| b.cap.is_blocked(now, b.in_flight)),
            in_flight: self.in_flight,
        }
    }

    /// Returns the state at `now`, for operators.
    pub fn snapshot(&self, now: f64) -> BalancerSnapshot {
        let of_backend = |b: &Backend| BackendSnapshot {
            backend: b.id,
            zone: b.zone,
            up: b.up,
            trial_at_ms: b.failure_record.congested.then_some(b.failure_record.prat),
            cap: b.cap.limit,
            in_flight: b.in_flight,
            cold: now - b.cold_since < self.settings.cold_ms,
            pressure: b.pressure.estimate(now, self.pressure),
        };
        BalancerSnapshot {
            load: self.load_snapshot(now),
            refusals: self.counters.refusals(),
            warm_rate: self.warm_rate.peak,
            backends: self.backends.iter().map(of_backend).collect(),
        }
    }
}
