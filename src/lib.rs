//! Decision logic of an HTTP load balancer that runs as a small group of proxies.
//!
//! [`Balancer`] is a state machine without I/O, clock, threads or globals: the host program passes it events
//! ([`interface::Event`]) with their times, and performs the [`interface::Action`]s that it returns. Instances share
//! nothing; the same seed and events give the same actions. `docs/design.md` describes the algorithms.
//!
//! ```
//! use daleturn::Balancer;
//! use daleturn::interface::{
//!     Action, BackendId, AttemptEnded, ListEntry, Event, Health, ListKind, Outcome, Request, RequestId,
//! };
//!
//! // Settings can be built in code; the codec parses them from JSON and fills in defaults.
//! let text = r#"{"classes": [{"name": "page", "semantics": "idempotent", "objectiveMs": 300, "hardLimitMs": 900}],
//!                "rules": {"coldMs": 20000, "startCapacity": 0.2, "fallMultiple": 3, "fallMs": 2000}}"#;
//! let (settings, _names) = daleturn::wire::settings(text)?;
//! let mut balancer = Balancer::new(settings, 7)?;
//! let mut actions = Vec::new();
//! balancer.handle(0.0, Event::Start, &mut actions);
//!
//! // The list contains one backend, which has been up for a long time.
//! let backend = BackendId(42);
//! let entry = ListEntry { backend, zone: 0, cell: 0, health: Health::Up, units: 1.0, ready_at_ms: 0.0 };
//! balancer.handle(0.0, Event::List { kind: ListKind::Full, entries: vec![entry] }, &mut actions);
//!
//! // A request arrives at 10 ms and is sent there.
//! actions.clear();
//! let id = RequestId(1);
//! let request = Request {
//!     id, class: 0, tenant: None, key: Some(5), deadline_ms: 910.0, effort_ms: None, retry: false,
//! };
//! balancer.handle(10.0, Event::Request(request), &mut actions);
//! assert!(matches!(actions[0], Action::Send { id: RequestId(1), backend: BackendId(42), .. }));
//!
//! // The host forwards the response to the client; the balancer has nothing left to do.
//! actions.clear();
//! balancer.handle(60.0, Event::AttemptEnded(AttemptEnded {
//!     id, attempt: 0, backend, outcome: Outcome::Done, last: true, elapsed_ms: 50.0, load: Default::default(),
//! }), &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod balancer_state;
pub mod control;
pub mod counters;
pub mod files;
pub mod interface;
pub mod operator_call;
pub mod options;
mod peer_message;
pub mod platform;
pub mod policy;
mod request_table;
mod statistics;
pub mod tomlfile;
pub mod wire;

pub use policy::Balancer;

/// Compiles and runs Rust examples in the README as tests.
#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct Readme;
