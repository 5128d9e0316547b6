//! Benchmark of the balancer's decisions for one request, from its arrival to its answer, with several numbers of
//! backends. It uses no sockets and no clock. Run it with `cargo bench --bench decisions`.

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use daleturn::Balancer;
use daleturn::interface::*;
use std::hint::black_box;

fn settings() -> Settings {
    let class = |effect, worth| Class {
        aim_ms: 300.0,
        deadline_ms: 800.0,
        worth,
        late_worth: 0.4,
        effect,
        key_ttl_ms: 1200.0,
        aim_stretch: 0.0,
    };
    Settings {
        classes: vec![
            class(Effect::Safe, 1.0),
            class(Effect::Unsafe, 8.0),
            class(Effect::Keyed(Group::Zone), 3.0),
        ],
        tenants: vec![Tenant { quota_rps: 1000.0 }],
        goal: Goal {
            whole: 0.45,
            worst_window: 0.15,
            worst_class: 0.3,
            worst_tenant: 0.1,
            nines: 0.0,
            full_at_nines: 3.0,
        },
        prices: Prices::default(),
        instances: 4,
        held_by: None,
        slot: 0,
        zone: Some(0),
        weights: Weights::Nominal,
        reporting: Reporting::None,
        discovery: Discovery::Pushed,
        max_attempts: 3,
        may_cancel: true,
        second_copies: false,
        max_retry_after_ms: 2000.0,
        probes: true,
        peer_messages: false,
        open_cap: 20_000,
        max_streams: 1,
        conn_idle_ms: 15_000.0,
        connect_timeout_ms: 150.0,
        cpu_us_per_s: 0.0,
        over_share_worth: 0.1,
        worth_by_work: true,
        warm_keys: true,
        cold_ms: 6000.0,
        start_capacity: 0.35,
        fall_multiple: 3.0,
        fall_ms: 2000.0,
        late_shedding: false,
        drain_grace_ms: 500.0,
        drain_close_ms: None,
        must_ask_in_ms: 6000.0,
        tick_ms: 5.0,
    }
}

/// A balancer that has served requests for some seconds, and the requests in flight.
struct Workload {
    balancer: Balancer,
    /// Time in milliseconds.
    now: f64,
    /// Requests so far.
    requests: u64,
    actions: Vec<Action>,
    in_flight: std::collections::VecDeque<(RequestId, BackendId)>,
}

impl Workload {
    fn new(servers: u32) -> Workload {
        let balancer = Balancer::new(settings(), 7).unwrap_or_else(|e| panic!("{e}"));
        let mut workload = Workload {
            balancer,
            now: 1000.0,
            requests: 0,
            actions: Vec::new(),
            in_flight: std::collections::VecDeque::new(),
        };
        workload.handle(Event::Start);
        let entry = |n: u32| ListEntry {
            backend: BackendId(u64::from(n)),
            zone: (n % 4) as u16,
            cell: 0,
            health: Health::Up,
            units: 1.0,
            ready_at_ms: 0.0,
        };
        workload.handle(Event::List { kind: ListKind::Full, entries: (0..servers).map(entry).collect() });
        for _ in 0..20_000 {
            workload.request();
        }
        workload
    }

    fn handle(&mut self, event: Event) {
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// Adds one request and answers the one eight before it, so that the number in flight stays the same.
    fn request(&mut self) {
        self.requests += 1;
        self.now += 0.5;
        let (id, number) = (RequestId(self.requests), self.requests);
        let request = Request {
            id,
            class: (number % 3) as usize,
            tenant: Some(0),
            key: Some(number.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 600),
            deadline_ms: self.now + 800.0,
            effort_ms: Some(60.0),
            retry: false,
        };
        self.handle(Event::Request(request));
        let sent = self.actions.iter().find_map(|a| match a {
            Action::Send { id, backend, .. } => Some((*id, *backend)),
            _ => None,
        });
        self.in_flight.extend(sent);
        self.actions.clear();
        while self.in_flight.len() > 8 {
            let Some((id, backend)) = self.in_flight.pop_front() else { return };
            let ended = AttemptEnded {
                id,
                attempt: 0,
                backend,
                outcome: Outcome::Done,
                last: true,
                elapsed_ms: 30.0,
                load: Load::default(),
            };
            self.handle(Event::AttemptEnded(ended));
            self.actions.clear();
        }
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("request");
    group.throughput(Throughput::Elements(1));
    for servers in [24, 200, 1000] {
        let mut workload = Workload::new(servers);
        group.bench_function(BenchmarkId::from_parameter(format!("{servers} servers")), |b| {
            b.iter(|| {
                workload.request();
                black_box(workload.requests)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
