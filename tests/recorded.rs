//! Replays recorded runs through the simulator's adapter and compares its output byte for byte, so that a refactoring
//! cannot change an action unnoticed. A commit that is meant to change actions records the runs anew and says so:
//!
//! ```sh
//! cargo test --locked --test recorded -- --ignored
//! ```

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write as _};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// Number of recorded runs.
const RUNS: usize = 24;
/// The simulator's adapter: reads events line by line and writes the actions of several nodes.
const ADAPTER: &str = env!("CARGO_BIN_EXE_daleturn-sim");

fn recordings_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded")
}

/// Parameters of a run, drawn at random: settings, sizes and faults.
#[derive(Clone, Debug)]
struct Run {
    nodes: u64,
    servers: u64,
    requests: usize,
    /// Mean time between requests, over all nodes.
    gap_ms: f64,
    work_ms: f64,
    /// Probing, cancelling, second copies, messages between nodes, warm keys, late shedding.
    features: [bool; 6],
    reporting: &'static str,
    /// True for discovery on request, false for pushed updates.
    on_request: bool,
    /// Number of nodes in the settings, which may exceed the number that runs.
    stated_nodes: u64,
    late_worth: f64,
    cross_price: f64,
    /// Start, length and kind of each fault, times in milliseconds.
    faults: Vec<(f64, f64, Fault)>,
    seed: u64,
}

/// A fault of one server, by its number, or of all.
#[derive(Clone, Debug)]
enum Fault {
    /// Answers take longer by a factor.
    Slow(u64, f64),
    Silent(u64),
    Errors(u64),
    /// Connections are refused.
    Refuses(u64),
    /// Connections break.
    Resets(u64),
    Full(u64),
    Drains(u64),
    Restarts(u64),
    /// Requests arrive more often by a factor.
    Burst(f64),
    DiscoveryDown,
    /// Half of all attempts end in broken connections.
    EverySecondFails,
}

fn random_fault(servers: u64) -> impl Strategy<Value = Fault> {
    let at = 0..servers;
    prop_oneof![
        (at.clone(), 2.0..12.0).prop_map(|(s, x)| Fault::Slow(s, x)),
        at.clone().prop_map(Fault::Silent),
        at.clone().prop_map(Fault::Errors),
        at.clone().prop_map(Fault::Refuses),
        at.clone().prop_map(Fault::Resets),
        at.clone().prop_map(Fault::Full),
        at.clone().prop_map(Fault::Drains),
        at.prop_map(Fault::Restarts),
        (2.0..5.0).prop_map(Fault::Burst),
        Just(Fault::DiscoveryDown),
        Just(Fault::EverySecondFails),
    ]
}

fn random_run() -> impl Strategy<Value = Run> {
    let size = (1_u64..4, 2_u64..10, 2.0..18.0, 10.0..70.0);
    let options = (
        any::<[bool; 6]>(),
        prop_oneof![Just("none"), Just("answers"), Just("probe")],
        any::<bool>(),
        prop_oneof![Just(1_u64), Just(4), Just(100)],
        prop_oneof![Just(0.0), Just(0.4)],
        prop_oneof![Just(0.0), Just(0.06)],
    );
    (size, options, any::<u64>()).prop_flat_map(|((nodes, servers, gap_ms, work_ms), options, seed)| {
        let faults = proptest::collection::vec((200.0..2500.0, 200.0..2500.0, random_fault(servers)), 1..7);
        faults.prop_map(move |faults| Run {
            nodes,
            servers,
            requests: 260,
            gap_ms,
            work_ms,
            features: options.0,
            reporting: options.1,
            on_request: options.2,
            stated_nodes: options.3.max(nodes),
            late_worth: options.4,
            cross_price: options.5,
            faults,
            seed,
        })
    })
}

/// Returns the settings of a node as JSON.
fn settings(run: &Run, node: u64) -> String {
    let [probing, cancel, copies, messages, warm, shedding] = run.features;
    serde_json::json!({
        "classes": [
            {"name": "read", "semantics": "idempotent", "objectiveMs": 200, "hardLimitMs": 600, "value": 1,
             "lateValue": run.late_worth},
            {"name": "pay", "semantics": "at_most_once", "objectiveMs": 300, "hardLimitMs": 800, "value": 8},
            {"name": "note", "semantics": "deduplicated", "group": "zone", "objectiveMs": 250,
             "hardLimitMs": 900, "value": 3, "keyTtlMs": 700, "lateValue": run.late_worth},
        ],
        "tenants": [{"name": "a", "quotaRps": 30}, {"name": "b", "quotaRps": 5}],
        "areas": ["x", "y"], "zone": if node.is_multiple_of(2) { "x" } else { "y" },
        "instances": run.stated_nodes, "slotNo": node, "tickMs": 2, "overShareWorth": 0.1,
        "membershipMode": if run.on_request { "on_request" } else { "pushed" },
        "blend": {"whole": 0.5, "worstWindow": 0.2, "worstClass": 0.2, "worstTenant": 0.1},
        "prices": {"crossZone": run.cross_price},
        "reporting": {"via": run.reporting}, "familyInfo": {"warmKeys": warm}, "weights": "nominal",
        "limits": {"attemptsCap": 3, "mayCancel": cancel, "secondCopies": copies, "maxRetryAfterMs": 1500,
                   "probing": probing, "peerMessages": messages},
        "rules": {"coldMs": 4000, "startCapacity": 0.3, "fallMultiple": 3, "fallMs": 1000,
                  "lateShedding": shedding, "drainGraceMs": 400, "drainCloseMs": 800, "mustAskInMs": 3000},
    })
    .to_string()
}

/// A scheduled event. Events are handled in the order of time and, at the same time, of scheduling.
enum Scheduled {
    /// Arrival of a request, by its number.
    Arrival(usize),
    /// End of an attempt: node, request, attempt, server, outcome, time of sending.
    AttemptEnd(u64, u64, u64, u64, &'static str, f64),
    /// Node and token.
    TimerExpiry(u64, u64),
    /// Node, server and outcome.
    ProbeEnd(u64, u64, &'static str),
    /// Lines of the update.
    ListUpdate(String),
    /// Receiver, sender and content.
    PeerMessage(u64, u64, String),
    /// Node and request.
    ClientLeave(u64, u64),
}

/// A running adapter, with all input and output so far.
struct Simulation {
    run: Run,
    rng: fastrand::Rng,
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
    input_text: String,
    output_text: String,
    /// Events to come, by their time in microseconds and their number.
    queue: BTreeMap<(u64, u64), Scheduled>,
    /// Number of scheduled events.
    scheduled_count: u64,
    /// Time in milliseconds.
    now: f64,
    /// Number of attempts of each request so far, and whether it is finished.
    request_states: HashMap<(u64, u64), (u64, bool)>,
    /// Time of the latest start of each server that restarts.
    restarted_at_ms: HashMap<u64, f64>,
}

impl Simulation {
    fn new(run: Run) -> Simulation {
        let mut child = Command::new(ADAPTER)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let input = child.stdin.take();
        let output = BufReader::new(child.stdout.take().expect("the stream is piped"));
        Simulation {
            rng: fastrand::Rng::with_seed(run.seed),
            run,
            child,
            input,
            output,
            input_text: String::new(),
            output_text: String::new(),
            queue: BTreeMap::new(),
            scheduled_count: 0,
            now: 0.0,
            request_states: HashMap::new(),
            restarted_at_ms: HashMap::new(),
        }
    }

    /// Schedules an event at a time in milliseconds.
    fn schedule(&mut self, ms: f64, event: Scheduled) {
        self.scheduled_count += 1;
        self.queue.insert(((ms * 1000.0) as u64, self.scheduled_count), event);
    }

    /// True if a fault for which `wanted` is true is active now.
    fn has_fault(&self, wanted: impl Fn(&Fault) -> bool) -> bool {
        self.run
            .faults
            .iter()
            .any(|(start, length, fault)| self.now >= *start && self.now < start + length && wanted(fault))
    }

    /// Returns the lines of a full list.
    fn backends(&self, health: impl Fn(u64) -> &'static str) -> String {
        let mut text = String::new();
        for s in 0..self.run.servers {
            let ready = self.restarted_at_ms.get(&s).copied().unwrap_or(0.0);
            let (zone, pod) = (if s.is_multiple_of(3) { "y" } else { "x" }, s % 2);
            let _ = writeln!(
                text,
                "backend backend=s{s} health={} locality={zone} pod={pod} units=1 readyAtMs={ready:.0}",
                health(s)
            );
        }
        text
    }

    /// Sends one batch and handles the actions in the answer.
    fn send_batch(&mut self, lines: &str) {
        let text = format!("round wallMs={:.3}\n{lines}eof_batch\n", self.now);
        self.input_text.push_str(&text);
        let input = self.input.as_mut().expect("the input is open");
        input.write_all(text.as_bytes()).expect("the adapter reads its input");
        input.flush().expect("the adapter reads its input");
        loop {
            let mut line = String::new();
            assert!(
                self.output.read_line(&mut line).expect("the adapter writes its output") > 0,
                "the adapter ended"
            );
            self.output_text.push_str(&line);
            if line == "end\n" {
                return;
            }
            self.handle_action(line.trim_end());
        }
    }

    /// Schedules what follows from one line of the adapter's output.
    fn handle_action(&mut self, line: &str) {
        let mut words = line.split(' ');
        let name = words.next().unwrap_or_default();
        let fields: HashMap<&str, &str> = words.filter_map(|w| w.split_once('=')).collect();
        let int = |f: &str| fields.get(f).and_then(|v| v.parse::<u64>().ok()).unwrap_or(u64::MAX);
        let float = |f: &str| fields.get(f).and_then(|v| v.parse::<f64>().ok()).unwrap_or(0.0);
        let server = fields.get("backend").and_then(|b| b[1..].parse().ok()).unwrap_or(0);
        let (node, id, now) = (int("who"), int("requestId"), self.now);
        match name {
            "hand_off" => {
                let request_state = self.request_states.entry((node, id)).or_insert((0, false));
                let attempt = request_state.0;
                request_state.0 += 1;
                let (after, outcome) = self.outcome_at_server(server, float("giveUpAfterMs"));
                self.schedule(now + after, Scheduled::AttemptEnd(node, id, attempt, server, outcome, now));
            }
            "recall" => self
                .schedule(now + 0.5, Scheduled::AttemptEnd(node, id, int("attempt"), 0, "ecanceled", now)),
            "decline" | "drop_request" => {
                self.request_states.entry((node, id)).or_insert((0, false)).1 = true;
            }
            "wake_me" => {
                self.schedule(float("instantMs").max(now), Scheduled::TimerExpiry(node, int("keyBack")))
            }
            "probe" => {
                let (after, outcome) = self.outcome_at_server(server, 100.0);
                self.schedule(now + after.min(100.0), Scheduled::ProbeEnd(node, server, outcome));
            }
            "watch" if fields.get("want") == Some(&"1") => {
                let list = if self.has_fault(|fault| matches!(fault, Fault::DiscoveryDown)) {
                    format!("update who={node} form=error\n")
                } else {
                    let drains = |s| self.has_fault(|fault| matches!(fault, Fault::Drains(d) if *d == s));
                    let entries = self.backends(|s| if drains(s) { "L" } else { "U" });
                    format!("update who={node} form=snapshot elements={}\n{entries}", self.run.servers)
                };
                self.schedule(now + 30.0, Scheduled::ListUpdate(list));
            }
            "announce" => {
                let msg = fields.get("msg").copied().unwrap_or("-").to_owned();
                for other in (0..self.run.nodes).filter(|n| *n != node) {
                    if self.rng.f64() < 0.9 {
                        let after = 2.0 + 30.0 * self.rng.f64();
                        self.schedule(now + after, Scheduled::PeerMessage(other, node, msg.clone()));
                    }
                }
            }
            _ => {}
        }
    }

    /// Returns after how many milliseconds an attempt that is sent now ends, and with which outcome.
    fn outcome_at_server(&mut self, server: u64, timeout: f64) -> (f64, &'static str) {
        let is = |wanted: fn(&Fault) -> Option<u64>| self.has_fault(|fault| wanted(fault) == Some(server));
        let silent = is(|fault| if let Fault::Silent(s) = fault { Some(*s) } else { None });
        let errs = is(|fault| if let Fault::Errors(s) = fault { Some(*s) } else { None });
        let refuses = is(|fault| if let Fault::Refuses(s) = fault { Some(*s) } else { None });
        let resets = is(|fault| if let Fault::Resets(s) = fault { Some(*s) } else { None });
        let full = is(|fault| if let Fault::Full(s) = fault { Some(*s) } else { None });
        let half_fail = self.has_fault(|fault| matches!(fault, Fault::EverySecondFails));
        let mut slow = 1.0;
        for (start, length, fault) in &self.run.faults {
            if let Fault::Slow(s, x) = fault
                && *s == server
                && self.now >= *start
                && self.now < start + length
            {
                slow = *x;
            }
        }
        let took = self.run.work_ms * slow * (0.5 + self.rng.f64() + 2.0 * self.rng.f64().powi(6));
        if refuses {
            (1.0, "econnrefused")
        } else if errs {
            (3.0, "err")
        } else if full {
            (2.0, "busy")
        } else if silent || took > timeout {
            (timeout, "etimedout")
        } else if resets || (half_fail && self.rng.bool()) {
            (took / 2.0, "econnreset")
        } else {
            (took, "done")
        }
    }

    /// Returns the input lines of an event, or `None` if it no longer applies.
    fn event_lines(&mut self, event: Scheduled) -> Option<String> {
        let now = self.now;
        Some(match event {
            Scheduled::Arrival(n) => {
                let burst = self.run.faults.iter().find_map(|(start, length, fault)| match fault {
                    Fault::Burst(x) if now >= *start && now < start + length => Some(*x),
                    _ => None,
                });
                if n + 1 < self.run.requests {
                    let gap = -self.rng.f64().max(1e-9).ln() * self.run.gap_ms / burst.unwrap_or(1.0);
                    self.schedule(now + gap, Scheduled::Arrival(n + 1));
                }
                let node = self.rng.u64(0..self.run.nodes);
                let id = n as u64 + 1;
                let (class, limit) =
                    [("read", 600.0), ("pay", 800.0), ("note", 900.0)][self.rng.usize(0..3)];
                let given = if self.rng.f64() < 0.9 { limit } else { limit * self.rng.f64() };
                let key = (20.0 * self.rng.f64().powi(3)) as u64;
                let tenant = if self.rng.f64() < 0.7 { "a" } else { "b" };
                let mut text = format!(
                    "demand who={node} requestId={id} priority={class} userGroup={tenant} deadlineMs={:.3}",
                    now + given
                );
                if class == "note" || self.rng.bool() {
                    let _ = write!(text, " nameKey=k{key}");
                }
                if self.rng.f64() < 0.5 {
                    let _ = write!(text, " effortMs={:.3}", self.run.work_ms * (0.5 + self.rng.f64()));
                }
                if self.rng.f64() < 0.05 {
                    let after = 150.0 * self.rng.f64();
                    self.schedule(now + after, Scheduled::ClientLeave(node, id));
                }
                text.push('\n');
                text
            }
            Scheduled::AttemptEnd(node, id, attempt, server, outcome, sent) => {
                let request_state = self.request_states.get_mut(&(node, id))?;
                let last = request_state.1 || outcome == "done";
                request_state.1 = last;
                let begun = if outcome == "done" && self.rng.f64() < 0.04 {
                    format!(
                        "begun who={node} requestId={id} attempt={attempt} backend=s{server} elapsedMs={:.3}\n",
                        (now - sent) / 2.0
                    )
                } else {
                    String::new()
                };
                let mut text = format!(
                    "{begun}result who={node} requestId={id} attempt={attempt} backend=s{server} \
                     disposition={outcome} last={} elapsedMs={:.3}",
                    u8::from(last),
                    now - sent
                );
                if self.run.reporting == "answers" && outcome == "done" {
                    // In half of the runs the servers report a high load.
                    let min_busy = if self.run.seed.is_multiple_of(2) { 0.75 } else { 0.0 };
                    let busy = min_busy + (1.0 - min_busy) * self.rng.f64();
                    let _ = write!(text, " pressure=rif:{},busy:{busy:.2}", self.rng.u8(0..9));
                }
                text.push('\n');
                text
            }
            Scheduled::TimerExpiry(node, token) => format!("alarm who={node} keyBack={token}\n"),
            Scheduled::ProbeEnd(node, server, outcome) => {
                format!("probed who={node} backend=s{server} disposition={outcome} elapsedMs=1.000\n")
            }
            Scheduled::ListUpdate(text) => text,
            Scheduled::PeerMessage(node, from, msg) => {
                format!("inbox who={node} sender={from} msg={msg}\n")
            }
            Scheduled::ClientLeave(node, id) => {
                let request_state = self.request_states.entry((node, id)).or_insert((0, false));
                if std::mem::replace(&mut request_state.1, true) {
                    return None;
                }
                format!("left who={node} requestId={id}\n")
            }
        })
    }

    /// Runs until all requests have ended. Returns the whole input and output.
    fn execute(mut self) -> (String, String) {
        let mut first = String::new();
        for node in 0..self.run.nodes {
            let (prng, config) = (self.run.seed % 1000 + node, settings(&self.run, node));
            let _ = writeln!(first, "provision who={node} prng={prng} config={config}");
            let entries = self.backends(|_| "U");
            let _ =
                write!(first, "update who={node} form=snapshot elements={}\n{entries}", self.run.servers);
        }
        self.send_batch(&first);
        self.schedule(5.0, Scheduled::Arrival(0));
        // Updates of the list that discovery sends unasked when a fault begins and when it ends.
        for (start, length, fault) in self.run.faults.clone() {
            for node in 0..self.run.nodes {
                let update = |s: u64, health: &str, ready: f64| {
                    let zone = if s.is_multiple_of(3) { "y" } else { "x" };
                    format!(
                        "update who={node} form=diff elements=1\nbackend backend=s{s} health={health} \
                         locality={zone} pod={} units=1 readyAtMs={ready:.0}\n",
                        s % 2
                    )
                };
                match fault {
                    Fault::Drains(s) => {
                        self.schedule(start, Scheduled::ListUpdate(update(s, "L", 0.0)));
                        self.schedule(start + length, Scheduled::ListUpdate(update(s, "U", 0.0)));
                    }
                    Fault::Restarts(s) => {
                        self.schedule(start, Scheduled::ListUpdate(update(s, "D", 0.0)));
                        self.schedule(
                            start + length,
                            Scheduled::ListUpdate(update(s, "U", start + length)),
                        );
                        self.restarted_at_ms.insert(s, start + length);
                    }
                    _ => {}
                }
            }
        }
        let mut arrived = 0;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            arrived += usize::from(matches!(event, Scheduled::Arrival(_)));
            // After all requests have ended only timers remain, which set each other without end.
            let open = self.queue.values().any(|e| !matches!(e, Scheduled::TimerExpiry(..)));
            if arrived == self.run.requests && !open && matches!(event, Scheduled::TimerExpiry(..)) {
                break;
            }
            self.now = self.now.max(at as f64 / 1000.0);
            if let Some(text) = self.event_lines(event) {
                self.send_batch(&text);
            }
        }
        drop(self.input.take());
        assert!(self.child.wait().expect("the adapter ends").success());
        (self.input_text, self.output_text)
    }
}

#[test]
fn the_adapter_replays_the_recorded_runs_byte_for_byte() {
    for n in 0..RUNS {
        let input_text = std::fs::read_to_string(recordings_dir().join(format!("{n:02}.in")))
            .expect("the file is recorded");
        let output_text = std::fs::read_to_string(recordings_dir().join(format!("{n:02}.out")))
            .expect("the file is recorded");
        let mut child = Command::new(ADAPTER)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let mut input = child.stdin.take().expect("the stream is piped");
        let writer = std::thread::spawn(move || input.write_all(input_text.as_bytes()));
        let output = child.wait_with_output().expect("the adapter ends");
        writer.join().expect("no panic").expect("the adapter reads to the end");
        let replayed = String::from_utf8(output.stdout).expect("UTF-8");
        let differs = replayed.lines().zip(output_text.lines()).position(|(a, b)| a != b);
        if let Some(line) = differs {
            let line_of = |text: &str| text.lines().nth(line).unwrap_or_default().to_owned();
            panic!(
                "run {n:02}, line {}: {:?}, recorded {:?}",
                line + 1,
                line_of(&replayed),
                line_of(&output_text)
            );
        }
        assert_eq!(replayed.len(), output_text.len(), "run {n:02} has another length");
    }
}

/// The runs prove nothing about a kind of action or outcome that none of them contains.
#[test]
fn the_recorded_runs_contain_each_kind_of_action_and_outcome() {
    let all = |suffix: &str| -> String {
        (0..RUNS)
            .map(|n| {
                std::fs::read_to_string(recordings_dir().join(format!("{n:02}.{suffix}")))
                    .expect("the file is recorded")
            })
            .collect()
    };
    let (input_text, output_text) = (all("in"), all("out"));
    let actions = [
        "hand_off",
        "recall",
        "decline",
        "drop_request",
        "wake_me",
        "probe",
        "release",
        "announce",
        "watch",
    ];
    for action in actions {
        assert!(output_text.lines().any(|l| l.starts_with(&format!("{action} "))), "no {action}");
    }
    for words in ["text=congested", "text=live", "stopped by level"] {
        assert!(output_text.contains(words), "no {words}");
    }
    for outcome in ["done", "err", "busy", "etimedout", "econnrefused", "econnreset", "ecanceled"] {
        assert!(input_text.contains(&format!("disposition={outcome} ")), "no {outcome}");
    }
}

/// Draws the runs and records the output of the present adapter.
#[test]
#[ignore = "overwrites the recorded runs"]
fn record() {
    let config = Config { failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[23; 32]));
    for n in 0..RUNS {
        let drawn = random_run().new_tree(&mut runner).expect("a run").current();
        let (input_text, output_text) = Simulation::new(drawn).execute();
        std::fs::write(recordings_dir().join(format!("{n:02}.in")), input_text)
            .expect("the file is written");
        std::fs::write(recordings_dir().join(format!("{n:02}.out")), output_text)
            .expect("the file is written");
    }
}
