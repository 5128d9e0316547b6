//! What others may see of a balancer, and what it takes over from another or from new settings: it reads and restores
//! state, and decides nothing.

use crate::counters::LoadSnapshot;
use crate::interface::{
    Action, BackendMemory, BackendSnapshot, BalancerSnapshot, LogNote, Memory, Settings,
};
use crate::policy::{Balancer, Cap};
use crate::request_table::Backend;
use crate::statistics::ClassStatistics;

impl Balancer {
    /// Takes settings on, first or new ones. A class whose number stood for another is learned anew.
    pub(crate) fn apply_settings(&mut self, s: Settings) {
        let same = |i: usize| self.settings.classes.get(i) == s.classes.get(i);
        let learned = |i| self.learned.get(i).filter(|_| same(i)).cloned().unwrap_or_default();
        self.learned = (0..s.classes.len()).map(learned).collect();
        let a = &mut self.admission;
        a.offered.resize(s.classes.len(), [0.0; 2]);
        a.chance.resize(s.classes.len(), [1.0; 2]);
        a.part.resize(s.classes.len(), [1.0; 2]);
        a.tenants.resize(s.tenants.len());
        self.settings = s;
    }

    /// The settings that hold.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Says now and then how many requests were refused, by what, and how the fleet looked from here.
    pub(crate) fn log_counters(&mut self, now: f64, out: &mut Vec<Action>) {
        let Some(counters) = self.counters.take(now) else { return };
        out.push(Action::Log(LogNote::Stopped(Box::new((counters, self.load_snapshot(now))))));
    }

    /// What the next process of this node can go on from.
    pub fn memory(&self) -> Memory {
        let known = |b: &Backend| {
            let prat = b.record.congested.then_some(b.record.prat);
            BackendMemory { backend: b.id, limit: b.cap.limit, cut_at: b.cap.cut_at, prat }
        };
        let times =
            |l: &ClassStatistics| if l.seen < 20 { [0.0; 4] } else { [l.mean, l.spread, l.high, l.usual] };
        let classes = self.learned.iter().map(times).collect();
        Memory { warm_rate: self.warm.most, backends: self.backends.iter().map(known).collect(), classes }
    }

    /// Goes on from that.
    pub(crate) fn restore_memory(&mut self, memory: &Memory) {
        self.warm.most = self.warm.most.max(memory.warm_rate);
        for k in &memory.backends {
            let Some(i) = self.find(k.backend) else { continue };
            let b = &mut self.backends[i];
            b.cap = Cap { limit: k.limit, cut_at: k.cut_at, ..Cap::default() };
            (b.record.congested, b.record.prat) = (k.prat.is_some(), k.prat.unwrap_or(0.0));
        }
        for (l, times) in self.learned.iter_mut().zip(&memory.classes).filter(|(_, t)| t[0] > 0.0) {
            [l.mean, l.spread, l.high, l.usual] = *times;
            l.seen = 20;
        }
    }

    /// Requests a second that each tenant asks of this node, by index.
    pub fn tenant_request_rates(&self) -> Vec<f64> {
        (0..self.settings.tenants.len()).map(|t| self.admission.tenants.at(t)).collect()
    }

    /// How the fleet looks from here.
    pub(crate) fn load_snapshot(&self, now: f64) -> LoadSnapshot {
        let count = |f: &dyn Fn(&Backend) -> bool| self.backends.iter().filter(|b| b.up && f(b)).count();
        LoadSnapshot {
            level: self.admission.level,
            strain: self.admission.strain,
            pressure: self.pressure,
            room: self.admission.room,
            spill: self.admission.spill,
            out: count(&|b| b.record.congested),
            capped: count(&|b| b.cap.blocks(now, b.in_flight)),
            in_flight: self.in_flight,
        }
    }

    /// What the decisions know, for whoever is on call.
    pub fn snapshot(&self, now: f64) -> BalancerSnapshot {
        let backend = |b: &Backend| BackendSnapshot {
            backend: b.id,
            zone: b.zone,
            up: b.up,
            trial_at_ms: b.record.congested.then_some(b.record.prat),
            cap: b.cap.limit,
            in_flight: b.in_flight,
            cold: now - b.cold_since < self.settings.cold_ms,
            pressure: b.load.at(now, self.pressure),
        };
        BalancerSnapshot {
            load: self.load_snapshot(now),
            refusals: self.counters.refusals(),
            warm_rate: self.warm.most,
            backends: self.backends.iter().map(backend).collect(),
        }
    }
}
