//! The rollout: a state machine that decides each step of a release, without I/O and without a clock. The
//! caller passes events with their times and carries out the returned actions.
//!
//! Each state change is emitted as [`Action::Store`] before the actions that depend on it. If the
//! controller dies at any point, the next controller resumes from the stored state. A step that was stored
//! but may not have been carried out is repeated: cordons are idempotent, and before a member's command is
//! repeated, the member's start time shows whether the command already ran.

use crate::gate::{GateResult, Sample, evaluate};
use crate::plan::{BreachAction, Plan};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Milliseconds of the wall clock. Stored times must stay valid in the next controller process.
pub type Ms = u64;

/// Interval after which a cordon or uncordon call is repeated at nodes that have not confirmed it.
const RESEND_MS: Ms = 2000;
/// Minimum time between the last confirmed cordon and an observation that proves a member idle.
const SETTLE_MS: Ms = 700;

/// The two versions of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Version {
    /// The version before the release.
    Old,
    /// The version that the release installs.
    New,
}

/// The step of a member's update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// In service; not being updated.
    In,
    /// Nodes are told to send no new requests to the member.
    Cordoning,
    /// Requests in flight at the member finish.
    Draining,
    /// The plan's command runs, or was running when the previous controller died.
    Restarting,
    /// The command succeeded; discovery does not list the restarted member as up yet.
    Returning,
    /// Nodes are told to send requests to the member again.
    Uncordoning,
    /// In service and warming up; counts as out of service until the phase ends.
    Warming,
    /// The command failed or the member did not return. The member stays cordoned until an operator
    /// intervenes.
    Stuck,
}

/// State of one member of the release.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Current step.
    pub phase: Phase,
    /// Installed version.
    pub version: Version,
    /// Time at which the current phase began.
    pub since: Ms,
    /// Reason for the phase, or the last error; empty if there is none.
    pub why: String,
    /// Start time of the member's process: before its restart, or as last observed.
    pub start: Ms,
    /// True if someone other than this release has cordoned the member.
    pub held: bool,
    /// Nodes that have confirmed the current cordon or uncordon.
    #[serde(skip)]
    confirmed_by: BTreeSet<usize>,
    /// Time of the last cordon or uncordon calls in this phase; 0 if there were none.
    #[serde(skip)]
    last_call_ms: Ms,
    /// True if this controller has started the member's command in this phase.
    #[serde(skip)]
    command_running: bool,
    /// The last observation, with its time.
    #[serde(skip)]
    observation: Option<(Ms, MemberObservation)>,
}

/// A member as observed by all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberObservation {
    /// True if discovery lists the member as up.
    pub up: bool,
    /// Start time of the member's process as listed, in milliseconds; 0 if unknown.
    pub start: Ms,
    /// True if at least one node has cordoned the member.
    pub cordoned: bool,
    /// Requests in flight at the member, summed over all nodes; `None` if a node did not report its count.
    pub in_flight: Option<u64>,
}

/// State of the release as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Members are updated.
    Running,
    /// No further member is updated until an operator orders it.
    Halted,
    /// Members whose restart has not begun are returned to service; then the release is over.
    Ending,
    /// The release has ended.
    Over,
}

/// Stored state of the release, without its members.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutState {
    /// Current mode.
    pub mode: Mode,
    /// True if the release is rolling back to the old version.
    pub back: bool,
    /// Reason for the last change of this state.
    pub why: String,
    /// Index of the current stage in the plan.
    pub stage: usize,
    /// Time at which the watch of the current stage began; `None` if the stage is not watched.
    pub watched: Option<Ms>,
}

/// An operator's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Halt. Members not yet restarted are returned to service; restarts under way are completed.
    Halt,
    /// Continue a halted release.
    Resume,
    /// Roll back to the old version.
    Back,
    /// End the release and leave each member on its current version.
    Abandon,
}

/// An input of the rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed. Expected several times a second.
    Tick,
    /// A node answered a cordon or uncordon call.
    CordonAnswered {
        /// Index of the member.
        member: usize,
        /// Index of the node.
        node: usize,
        /// True for a cordon, false for an uncordon.
        cordon: bool,
        /// The node's error; `None` if it confirmed the call.
        error: Option<String>,
    },
    /// A new observation of the member with this index.
    Observed(usize, MemberObservation),
    /// The command of the member with this index ended; holds the error if it failed.
    CommandEnded(usize, Option<String>),
    /// Traffic since the watch began: of members on the new version, and of all other members.
    GroupsCompared(Sample, Sample),
    /// An operator gave an order.
    OrderGiven(Order),
    /// Another controller has taken the lease.
    LeaseLost,
}

/// An output of the rollout. Actions are carried out in the order in which they are emitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make this key and value durable before any later action is carried out.
    Store(String, String),
    /// Tell a node to cordon or uncordon a member.
    SetCordon {
        /// Index of the member.
        member: usize,
        /// Index of the node.
        node: usize,
        /// True to cordon, false to uncordon.
        cordon: bool,
    },
    /// Run the plan's command for a member, to install the new version or to restore the old one.
    RunCommand {
        /// Index of the member.
        member: usize,
        /// Version to install.
        to: Version,
    },
    /// Take the baseline of the counters that the gate compares.
    StartWatch,
    /// Append this line to the audit log.
    Audit(String),
}

/// A release in progress.
#[derive(Clone, Debug)]
pub struct Rollout {
    plan: Arc<Plan>,
    /// State of the release as a whole.
    pub state: RolloutState,
    /// State of each member, in the plan's order.
    pub members: Vec<Member>,
    /// Start time of this controller.
    started: Ms,
    /// True once another controller has taken the lease; no action is emitted from then on.
    lease_lost: bool,
}

/// Storage key of the release's [`RolloutState`].
const STATE_KEY: &str = "head";

impl Rollout {
    /// Creates a rollout that resumes from the stored values, by key. Starts a new release where nothing is
    /// stored.
    pub fn new(now: Ms, plan: Arc<Plan>, stored: &BTreeMap<String, String>) -> Rollout {
        let state = stored.get(STATE_KEY).and_then(|text| serde_json::from_str(text).ok());
        let state = state.unwrap_or(RolloutState {
            mode: Mode::Running,
            back: false,
            why: String::new(),
            stage: 0,
            watched: None,
        });
        let member = |id: &str| {
            let known =
                stored.get(&format!("member {id}")).and_then(|text| serde_json::from_str(text).ok());
            known.unwrap_or(Member {
                phase: Phase::In,
                version: Version::Old,
                since: now,
                why: String::new(),
                start: 0,
                held: false,
                confirmed_by: BTreeSet::new(),
                last_call_ms: 0,
                command_running: false,
                observation: None,
            })
        };
        let members = plan.member.iter().map(|m| member(&m.id)).collect();
        Rollout { plan, state, members, started: now, lease_lost: false }
    }

    /// Creates a rollout from its parts. The model checker restores each explored state this way.
    pub fn from_parts(plan: Arc<Plan>, state: RolloutState, members: Vec<Member>, started: Ms) -> Rollout {
        Rollout { plan, state, members, started, lease_lost: false }
    }

    /// Handles one event at time `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>) {
        if self.lease_lost {
            return;
        }
        match event {
            Event::Tick => self.tick(now, actions),
            Event::CordonAnswered { member, node, cordon, error } => {
                let Some(m) = self.members.get_mut(member) else { return };
                let wanted = if cordon { Phase::Cordoning } else { Phase::Uncordoning };
                match error {
                    None if m.phase == wanted => {
                        m.confirmed_by.insert(node);
                    }
                    None => {}
                    Some(error) => m.why = format!("node {node}: {error}"),
                }
            }
            Event::Observed(member, observation) => self.observed(now, member, observation, actions),
            Event::CommandEnded(member, why) => self.command_ended(now, member, why, actions),
            Event::GroupsCompared(new, rest) => self.groups_compared(now, &new, &rest, actions),
            Event::OrderGiven(order) => self.order_given(now, order, actions),
            Event::LeaseLost => self.lease_lost = true,
        }
    }

    /// Moves a member to a phase, and emits its stored state and an audit line.
    fn enter_phase(&mut self, now: Ms, member: usize, phase: Phase, why: &str, actions: &mut Vec<Action>) {
        let (Some(m), Some(planned)) = (self.members.get_mut(member), self.plan.member.get(member)) else {
            return;
        };
        (m.phase, m.since, m.why) = (phase, now, why.to_owned());
        (m.last_call_ms, m.command_running) = (0, false);
        m.confirmed_by.clear();
        let text = serde_json::to_string(m).unwrap_or_default();
        actions.push(Action::Store(format!("member {}", planned.id), text));
        let note = if why.is_empty() { String::new() } else { format!(", {why}") };
        actions.push(Action::Audit(format!("{} {phase:?} version {:?}{note}", planned.id, m.version)));
    }

    /// Replaces the release's state if it differs, and emits it with an audit line.
    fn set_state(&mut self, state: RolloutState, actions: &mut Vec<Action>) {
        if state == self.state {
            return;
        }
        let text = serde_json::to_string(&state).unwrap_or_default();
        actions.push(Action::Store(STATE_KEY.to_owned(), text));
        let way = if state.back { "back" } else { "there" };
        actions.push(Action::Audit(format!(
            "release {:?} on the way {way}, stage {}: {}",
            state.mode, state.stage, state.why
        )));
        self.state = state;
    }

    /// Halts the release and ends the watch of its stage.
    fn halt(&mut self, why: String, actions: &mut Vec<Action>) {
        let state = RolloutState { mode: Mode::Halted, why, watched: None, ..self.state.clone() };
        self.set_state(state, actions);
    }

    /// Reacts to a breach as the plan says: rolls back, or halts. A rollback that breaches halts.
    fn on_breach(&mut self, why: String, actions: &mut Vec<Action>) {
        if self.plan.gate.breach == BreachAction::Back && !self.state.back {
            let state = RolloutState { back: true, watched: None, why, ..self.state.clone() };
            return self.set_state(state, actions);
        }
        self.halt(why, actions);
    }

    /// Returns the version that members are being moved to.
    fn target_version(&self) -> Version {
        if self.state.back { Version::Old } else { Version::New }
    }

    /// Advances all members, then the release.
    fn tick(&mut self, now: Ms, actions: &mut Vec<Action>) {
        if self.state.mode == Mode::Over {
            return;
        }
        for member in 0..self.members.len() {
            self.advance_member(now, member, actions);
        }
        match self.state.mode {
            Mode::Running => self.advance_stage(now, actions),
            Mode::Halted | Mode::Ending => {
                // Members that are not restarted yet return to service, so no member stays cordoned.
                for member in 0..self.members.len() {
                    if matches!(self.members[member].phase, Phase::Cordoning | Phase::Draining) {
                        self.enter_phase(now, member, Phase::Uncordoning, "given back", actions);
                    }
                }
                let is_in_progress =
                    |m: &Member| !matches!(m.phase, Phase::In | Phase::Stuck | Phase::Warming);
                if self.state.mode == Mode::Ending && !self.members.iter().any(is_in_progress) {
                    let state = RolloutState { mode: Mode::Over, ..self.state.clone() };
                    self.set_state(state, actions);
                }
            }
            Mode::Over => {}
        }
    }

    /// Emits cordon or uncordon calls to the nodes that have not confirmed, at most once in `RESEND_MS`.
    fn send_cordons(&mut self, now: Ms, member: usize, cordon: bool, actions: &mut Vec<Action>) {
        let nodes = self.plan.confirming_nodes();
        let Some(m) = self.members.get_mut(member) else { return };
        if m.last_call_ms == 0 || now >= m.last_call_ms + RESEND_MS {
            m.last_call_ms = now.max(1);
            for node in (0..nodes).filter(|n| !m.confirmed_by.contains(n)) {
                actions.push(Action::SetCordon { member, node, cordon });
            }
        }
    }

    /// Moves a member to its next phase if the condition or the time limit for that has been reached.
    fn advance_member(&mut self, now: Ms, member: usize, actions: &mut Vec<Action>) {
        let (nodes, times) = (self.plan.confirming_nodes(), self.plan.times.clone());
        let m = &self.members[member];
        let (waited, since) = (now.saturating_sub(m.since), m.since);
        let all_confirmed = m.confirmed_by.len() >= nodes;
        match m.phase {
            Phase::In | Phase::Stuck => {}
            Phase::Cordoning if all_confirmed => {
                self.enter_phase(now, member, Phase::Draining, "", actions)
            }
            Phase::Cordoning if waited > times.cordon_s * 1000 => {
                // A node that has not confirmed the cordon may still send requests: a restart would not be
                // safe.
                let silent: Vec<String> = (0..nodes)
                    .filter(|n| !m.confirmed_by.contains(n))
                    .map(|n| self.plan.nodes[n].to_string())
                    .collect();
                let why = format!(
                    "{} did not take the cordon of {}",
                    silent.join(", "),
                    self.plan.member[member].id
                );
                self.enter_phase(now, member, Phase::Uncordoning, &why, actions);
                self.halt(why, actions);
            }
            Phase::Cordoning => self.send_cordons(now, member, true, actions),
            Phase::Draining => {
                let is_idle =
                    m.observation.is_some_and(|(at, s)| at > since + SETTLE_MS && s.in_flight == Some(0));
                if is_idle || waited > times.drain_s * 1000 {
                    let start = m.observation.map_or(m.start, |(_, s)| s.start);
                    self.members[member].start = start;
                    let reason = if is_idle { "" } else { "requests were still under way" };
                    self.enter_phase(now, member, Phase::Restarting, reason, actions);
                    self.run_command(member, actions);
                }
            }
            Phase::Restarting if !m.command_running => {
                // The previous controller died during the command: check whether it took effect before
                // running it again.
                let has_restarted = m.observation.is_some_and(|(_, s)| s.start > m.start);
                if has_restarted {
                    self.command_ended(now, member, None, actions);
                } else if now > self.started + 1000 * self.command_limit_s(member) {
                    // The time limit of the command that the previous controller started has passed, so
                    // that command cannot still be running.
                    self.run_command(member, actions);
                }
            }
            Phase::Restarting => {}
            Phase::Returning => {
                let has_returned =
                    m.observation.is_some_and(|(at, s)| at > since && s.has_restarted_since(m.start));
                if has_returned {
                    self.members[member].start = m.observation.map_or(m.start, |(_, s)| s.start);
                    self.enter_phase(now, member, Phase::Uncordoning, "", actions);
                } else if waited > times.back_s * 1000 {
                    self.enter_phase(now, member, Phase::Stuck, "it did not come back", actions);
                    let why = format!("{} did not come back", self.plan.member[member].id);
                    self.on_breach(why, actions);
                }
            }
            Phase::Uncordoning if all_confirmed => {
                self.enter_phase(now, member, Phase::Warming, "", actions)
            }
            Phase::Uncordoning => {
                self.send_cordons(now, member, false, actions);
                if waited > times.cordon_s * 1000 && self.state.mode == Mode::Running {
                    let why = format!("not every node takes {} back", self.plan.member[member].id);
                    self.halt(why, actions);
                }
            }
            Phase::Warming if waited > times.warm_s * 1000 => {
                self.enter_phase(now, member, Phase::In, "", actions)
            }
            Phase::Warming => {}
        }
    }

    /// Returns the time limit of the member's command, in seconds.
    fn command_limit_s(&self, member: usize) -> u64 {
        let to_new = self.members[member].version == Version::Old;
        if to_new { self.plan.restart.limit_seconds() } else { self.plan.back.limit_seconds() }
    }

    /// Emits the command that moves a member to the other version.
    fn run_command(&mut self, member: usize, actions: &mut Vec<Action>) {
        // The direction follows from the member's version. If the release was reversed meanwhile, this
        // member is moved back when it is selected again.
        let to = if self.members[member].version == Version::Old { Version::New } else { Version::Old };
        self.members[member].command_running = true;
        actions.push(Action::RunCommand { member, to });
    }

    /// Handles the end of a member's command.
    fn command_ended(&mut self, now: Ms, member: usize, why: Option<String>, actions: &mut Vec<Action>) {
        let Some(m) = self.members.get_mut(member).filter(|m| m.phase == Phase::Restarting) else { return };
        match why {
            None => {
                m.version = if m.version == Version::Old { Version::New } else { Version::Old };
                self.enter_phase(now, member, Phase::Returning, "", actions);
            }
            Some(why) => {
                self.enter_phase(now, member, Phase::Stuck, &why, actions);
                let why = format!("{}: {why}", self.plan.member[member].id);
                self.on_breach(why, actions);
            }
        }
    }

    /// Records an observation. A restart of an updated member that the release did not order is a breach.
    fn observed(
        &mut self,
        now: Ms,
        member: usize,
        observation: MemberObservation,
        actions: &mut Vec<Action>,
    ) {
        let Some(m) = self.members.get_mut(member) else { return };
        m.observation = Some((now, observation));
        let update_in_progress = !matches!(m.phase, Phase::In | Phase::Warming);
        m.held = !update_in_progress && observation.cordoned && now > m.since + 3 * RESEND_MS;
        let restarted_unexpectedly =
            !update_in_progress && m.version == Version::New && m.start > 0 && observation.start > m.start;
        if restarted_unexpectedly && self.state.mode == Mode::Running && !self.state.back {
            m.start = observation.start;
            let why = format!("{} started again by itself", self.plan.member[member].id);
            self.on_breach(why, actions);
        }
    }

    /// Counts members out of service by zone, including those cordoned by others or listed as down.
    fn out_by_zone(&self) -> BTreeMap<&str, usize> {
        let mut zones = BTreeMap::new();
        for (m, planned) in self.members.iter().zip(&self.plan.member) {
            let is_down = m.observation.is_some_and(|(_, s)| !s.up);
            let is_out = m.held || is_down || !matches!(m.phase, Phase::In);
            *zones.entry(planned.zone.as_str()).or_insert(0) += usize::from(is_out);
        }
        zones
    }

    /// Returns true if the plan's limits allow one more member out of service.
    fn may_take_out(&self, member: usize) -> bool {
        let out_by_zone = self.out_by_zone();
        let total_out: usize = out_by_zone.values().sum();
        let zone = self.plan.member[member].zone.as_str();
        let zone_out = out_by_zone.get(zone).copied().unwrap_or(0);
        let zone_size = self.plan.member.iter().filter(|m| m.zone == zone).count();
        let total = self.members.len();
        let is_last_in_zone = zone_size > 1 && zone_out + 1 >= zone_size;
        let remaining_times_100 = (total - total_out).saturating_sub(1) * 100;
        total_out < self.plan.limits.out
            && zone_out < self.plan.limits.out_per_zone
            && !is_last_in_zone
            && (remaining_times_100 >= self.plan.limits.in_percent as usize * total || total == 1)
    }

    /// Selects the next member to update, or begins the watch of the stage, or ends a rollback.
    fn advance_stage(&mut self, now: Ms, actions: &mut Vec<Action>) {
        let target = self.target_version();
        let is_in_progress = |m: &Member| !matches!(m.phase, Phase::In | Phase::Stuck);
        let updated = self.members.iter().filter(|m| m.version == target && !is_in_progress(m)).count();
        let under_way = self.members.iter().filter(|m| is_in_progress(m)).count();
        let stage_size = match (self.state.back, self.plan.stage.get(self.state.stage)) {
            (false, Some(stage)) => stage.members.min(self.members.len()),
            _ => self.members.len(),
        };
        if updated + under_way < stage_size {
            let may_start = |n: &usize| {
                let m = &self.members[*n];
                m.phase == Phase::In
                    && m.version != target
                    && !m.held
                    && m.observation.is_some_and(|(_, s)| s.up)
            };
            let mut candidates: Vec<usize> = (0..self.members.len()).filter(may_start).collect();
            if self.state.back {
                candidates.reverse();
            }
            if let Some(member) = candidates.into_iter().find(|n| self.may_take_out(*n)) {
                self.enter_phase(now, member, Phase::Cordoning, "", actions);
                self.send_cordons(now, member, true, actions);
            }
            return;
        }
        if under_way > 0 {
            return;
        }
        if self.state.back {
            let state = RolloutState {
                mode: Mode::Over,
                why: format!("back on {}: {}", self.plan.from, self.state.why),
                ..self.state.clone()
            };
            return self.set_state(state, actions);
        }
        if self.state.watched.is_none() {
            let state =
                RolloutState { watched: Some(now), why: "watched".to_owned(), ..self.state.clone() };
            self.set_state(state, actions);
            actions.push(Action::StartWatch);
        }
        if !self.members.iter().any(|m| m.version == Version::Old) {
            // No member remains on the old version to compare with.
            self.pass_stage(now, actions);
        }
    }

    /// Moves to the next stage, or ends the release after the last one, once the watch is over.
    fn pass_stage(&mut self, now: Ms, actions: &mut Vec<Action>) {
        let Some(from) = self.state.watched.filter(|from| now >= from + self.plan.times.watch_s * 1000)
        else {
            return;
        };
        let _ = from;
        let stage = self.state.stage + 1;
        let state = if stage >= self.plan.stage.len() {
            RolloutState {
                mode: Mode::Over,
                why: format!("all are on {}", self.plan.to),
                ..self.state.clone()
            }
        } else {
            RolloutState {
                stage,
                watched: None,
                why: "the stage before was good".to_owned(),
                ..self.state.clone()
            }
        };
        self.set_state(state, actions);
    }

    /// Evaluates the gate for the watched stage.
    fn groups_compared(&mut self, now: Ms, new: &Sample, rest: &Sample, actions: &mut Vec<Action>) {
        let Some(from) =
            self.state.watched.filter(|_| self.state.mode == Mode::Running && !self.state.back)
        else {
            return;
        };
        let waited = now.saturating_sub(from);
        match evaluate(new, rest, &self.plan.gate, waited >= self.plan.times.watch_s * 1000) {
            GateResult::Breach(why) => self.on_breach(why, actions),
            GateResult::Pass => self.pass_stage(now, actions),
            GateResult::InsufficientTraffic if waited > self.plan.times.wait_s * 1000 => {
                self.halt("too little traffic to tell".to_owned(), actions);
            }
            GateResult::InsufficientTraffic => {}
        }
    }

    /// Carries out an operator's order.
    fn order_given(&mut self, now: Ms, order: Order, actions: &mut Vec<Action>) {
        if self.state.mode == Mode::Over {
            return;
        }
        let state = match order {
            Order::Halt if self.state.mode != Mode::Running => return,
            Order::Halt => RolloutState {
                mode: Mode::Halted,
                why: "a person said so".to_owned(),
                watched: None,
                ..self.state.clone()
            },
            Order::Resume => RolloutState {
                mode: Mode::Running,
                why: "a person let it go on".to_owned(),
                ..self.state.clone()
            },
            Order::Back => RolloutState {
                mode: Mode::Running,
                back: true,
                watched: None,
                why: "a person said so".to_owned(),
                ..self.state.clone()
            },
            Order::Abandon => RolloutState {
                mode: Mode::Ending,
                why: "abandoned".to_owned(),
                watched: None,
                ..self.state.clone()
            },
        };
        self.set_state(state, actions);
        if matches!(order, Order::Resume | Order::Back) {
            // By this order the operator confirms that stuck members are repaired: wait again for each to
            // return.
            for member in 0..self.members.len() {
                if self.members[member].phase == Phase::Stuck {
                    self.enter_phase(now, member, Phase::Returning, "tried again", actions);
                }
            }
        }
        self.tick(now, actions);
    }

    /// Returns the members that need an operator's attention, each with the reason.
    pub fn needs_attention(&self) -> Vec<(String, String)> {
        let stuck = self.members.iter().zip(&self.plan.member).filter(|(m, _)| {
            m.phase == Phase::Stuck || (m.phase == Phase::Uncordoning && !m.why.is_empty())
        });
        stuck.map(|(m, planned)| (planned.id.clone(), m.why.clone())).collect()
    }

    /// Returns the plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }
}

impl MemberObservation {
    /// True if the member is up and has started later than `start`. A start time of 0 means that discovery
    /// lists none.
    fn has_restarted_since(self, start: Ms) -> bool {
        self.up && (self.start > start || self.start == 0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A simulated fleet that carries out all actions, with optional faults.
    pub struct Fleet {
        pub plan: Arc<Plan>,
        pub rollout: Rollout,
        pub now: Ms,
        pub stored: BTreeMap<String, String>,
        pub cordoned_by: Vec<BTreeSet<usize>>,
        pub starts: Vec<Ms>,
        pub versions: Vec<Version>,
        pub max_out: usize,
        pub audit: Vec<String>,
        pub unreachable_node: Option<usize>,
        pub failing_member: Option<usize>,
        pub command_runs: usize,
        pub added_failure_rate: f64,
        watch_start: Ms,
    }

    pub fn plan(members: usize, breach: BreachAction) -> Plan {
        let mut plan = Plan { name: "r".into(), from: "1".into(), to: "2".into(), ..Plan::default() };
        plan.nodes = vec!["127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap()];
        let zones = ["a", "b"];
        plan.member = (0..members)
            .map(|n| crate::plan::Member { id: format!("s-{n}"), zone: zones[n % 2].into() })
            .collect();
        let stage = |name: &str, members| crate::plan::Stage { name: name.into(), members };
        plan.stage = vec![stage("canary", 1), stage("all", members)];
        plan.restart.run = vec!["x".into()];
        plan.back.run = vec!["x".into()];
        plan.gate.breach = breach;
        plan.limits.in_percent = 50;
        plan
    }

    impl Fleet {
        pub fn new(plan: Plan) -> Fleet {
            let (plan, count) = (Arc::new(plan.clone()), plan.member.len());
            let rollout = Rollout::new(1000, plan.clone(), &BTreeMap::new());
            Fleet {
                plan,
                rollout,
                now: 1000,
                stored: BTreeMap::new(),
                cordoned_by: vec![BTreeSet::new(); count],
                starts: vec![1; count],
                versions: vec![Version::Old; count],
                max_out: 0,
                audit: Vec::new(),
                unreachable_node: None,
                failing_member: None,
                command_runs: 0,
                added_failure_rate: 0.0,
                watch_start: 0,
            }
        }

        pub fn handle(&mut self, event: Event) {
            let mut actions = Vec::new();
            self.rollout.handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Store(key, text) => drop(self.stored.insert(key, text)),
                    Action::SetCordon { member, node, cordon } if self.unreachable_node != Some(node) => {
                        if cordon {
                            self.cordoned_by[member].insert(node);
                        } else {
                            self.cordoned_by[member].remove(&node);
                        }
                        self.handle(Event::CordonAnswered { member, node, cordon, error: None });
                    }
                    Action::SetCordon { .. } => {}
                    Action::RunCommand { member, to } => {
                        assert_eq!(
                            self.cordoned_by[member].len(),
                            2,
                            "restart without every node's confirmation"
                        );
                        self.command_runs += 1;
                        if self.failing_member == Some(member) {
                            self.handle(Event::CommandEnded(member, Some("exit code 1".into())));
                        } else {
                            (self.versions[member], self.starts[member]) = (to, self.now);
                            self.handle(Event::CommandEnded(member, None));
                        }
                    }
                    Action::StartWatch => self.watch_start = self.now,
                    Action::Audit(line) => self.audit.push(line),
                }
            }
            self.max_out = self.max_out.max(self.cordoned_by.iter().filter(|c| !c.is_empty()).count());
        }

        pub fn run_one_second(&mut self) {
            for _ in 0..5 {
                self.now += 200;
                for n in 0..self.versions.len() {
                    let cordoned = !self.cordoned_by[n].is_empty();
                    let observation =
                        MemberObservation { up: true, start: self.starts[n], cordoned, in_flight: Some(0) };
                    self.handle(Event::Observed(n, observation));
                }
                self.handle(Event::Tick);
            }
            let n = (self.now - self.watch_start) / 10;
            let group = |failing: f64| {
                let failed = (n as f64 * failing) as u64;
                Sample { done: n - failed, failed, ms: n as f64 * 10.0, ms_squared: n as f64 * 200.0 }
            };
            let (new, rest) = (group(0.01 + self.added_failure_rate), group(0.01));
            self.handle(Event::GroupsCompared(new, rest));
        }

        pub fn run_until(&mut self, seconds: usize, done: impl Fn(&Fleet) -> bool) -> bool {
            (0..seconds).any(|_| {
                self.run_one_second();
                done(self)
            })
        }

        fn is_over(&self) -> bool {
            self.rollout.state.mode == Mode::Over
        }

        /// Replaces the controller by a new one that resumes from the stored state.
        pub fn replace_controller(&mut self) {
            self.rollout = Rollout::new(self.now, self.plan.clone(), &self.stored);
        }
    }

    #[test]
    fn clean_release_passes_all_stages_with_one_member_out_at_a_time() {
        let mut f = Fleet::new(plan(4, BreachAction::Halt));
        assert!(f.run_until(600, Fleet::is_over), "{:?}", f.rollout.state);
        assert_eq!((f.versions.clone(), f.max_out, f.command_runs), (vec![Version::New; 4], 1, 4));
        assert!(f.cordoned_by.iter().all(BTreeSet::is_empty) && f.rollout.needs_attention().is_empty());
        assert_eq!(f.rollout.state.why, "all are on 2");
    }

    #[test]
    fn failing_canary_halts_the_release_before_a_second_restart_and_rollback_restores_it() {
        let mut f = Fleet::new(plan(4, BreachAction::Halt));
        f.added_failure_rate = 0.1;
        assert!(f.run_until(300, |f| f.rollout.state.mode == Mode::Halted));
        assert_eq!(f.command_runs, 1);
        assert!(f.rollout.state.why.contains("fail"), "{}", f.rollout.state.why);
        f.handle(Event::OrderGiven(Order::Back));
        assert!(f.run_until(300, Fleet::is_over));
        assert_eq!((f.versions.clone(), f.command_runs), (vec![Version::Old; 4], 2));
        let mut f = Fleet::new(plan(4, BreachAction::Back));
        f.added_failure_rate = 0.1;
        assert!(f.run_until(300, Fleet::is_over));
        assert_eq!((f.versions.clone(), f.command_runs), (vec![Version::Old; 4], 2));
    }

    #[test]
    fn release_completes_without_a_repeated_restart_if_the_controller_dies_at_any_second() {
        for second in 0..150 {
            let mut f = Fleet::new(plan(3, BreachAction::Halt));
            f.run_until(second, |_| false);
            f.replace_controller();
            assert!(
                f.run_until(900, Fleet::is_over),
                "controller died at second {second}: {:?} {:?}",
                f.rollout.state,
                f.rollout.members
            );
            assert_eq!(
                (f.versions.clone(), f.command_runs, f.max_out),
                (vec![Version::New; 3], 3, 1),
                "controller died at second {second}"
            );
            assert!(f.cordoned_by.iter().all(BTreeSet::is_empty));
        }
    }

    #[test]
    fn unconfirmed_cordon_halts_the_release_without_a_restart() {
        let mut f = Fleet::new(plan(4, BreachAction::Back));
        f.unreachable_node = Some(1);
        assert!(f.run_until(60, |f| f.rollout.state.mode == Mode::Halted));
        assert_eq!(f.command_runs, 0);
        assert!(
            f.rollout.state.why.contains("127.0.0.1:2 did not take the cordon of s-0"),
            "{}",
            f.rollout.state.why
        );
        assert!(
            !f.rollout.needs_attention().is_empty(),
            "the member is reported until every node has returned it to service"
        );
        f.unreachable_node = None;
        f.run_until(60, |_| false);
        assert!(f.cordoned_by.iter().all(BTreeSet::is_empty) && f.rollout.needs_attention().is_empty());
        f.handle(Event::OrderGiven(Order::Resume));
        assert!(f.run_until(600, Fleet::is_over));
    }

    #[test]
    fn failed_restart_leaves_the_member_cordoned_and_reported() {
        let mut f = Fleet::new(plan(4, BreachAction::Halt));
        f.failing_member = Some(0);
        assert!(f.run_until(60, |f| f.rollout.state.mode == Mode::Halted));
        assert_eq!(f.rollout.needs_attention(), [("s-0".to_owned(), "exit code 1".to_owned())]);
        assert_eq!(f.cordoned_by[0].len(), 2);
        assert!(f.cordoned_by[1..].iter().all(BTreeSet::is_empty));
    }

    #[test]
    fn halt_returns_members_not_yet_restarted_and_resume_continues() {
        let mut f = Fleet::new(plan(4, BreachAction::Halt));
        f.run_one_second();
        assert_eq!(f.rollout.members[0].phase, Phase::Draining);
        f.handle(Event::OrderGiven(Order::Halt));
        f.run_one_second();
        assert!(f.cordoned_by.iter().all(BTreeSet::is_empty) && f.command_runs == 0);
        f.run_until(60, |_| false);
        assert_eq!((f.rollout.state.mode, f.command_runs), (Mode::Halted, 0));
        f.handle(Event::OrderGiven(Order::Resume));
        assert!(f.run_until(600, Fleet::is_over));
        // An abandoned release ends with each member as it is.
        let mut f = Fleet::new(plan(4, BreachAction::Halt));
        f.run_until(30, |_| false);
        f.handle(Event::OrderGiven(Order::Abandon));
        assert!(f.run_until(30, Fleet::is_over));
        assert!(f.cordoned_by.iter().all(BTreeSet::is_empty));
    }

    #[test]
    fn members_cordoned_by_others_count_as_out_and_stay_cordoned() {
        let mut f = Fleet::new(plan(4, BreachAction::Halt));
        // An operator has cordoned s-1, which leaves s-3 as the only member of zone b.
        f.cordoned_by[1].extend([0, 1]);
        assert!(
            !f.run_until(200, |f| f.rollout.members[3].phase != Phase::In),
            "s-3 is the last member of its zone"
        );
        assert!(f.command_runs <= 2 && f.cordoned_by[1].len() == 2);
        f.cordoned_by[1].clear();
        assert!(f.run_until(600, Fleet::is_over));
        assert_eq!(f.versions, [Version::New; 4]);
    }

    #[test]
    fn unexpected_restart_of_an_updated_member_is_a_breach() {
        let mut f = Fleet::new(plan(4, BreachAction::Back));
        assert!(f.run_until(60, |f| f.rollout.state.watched.is_some()));
        f.starts[0] = f.now;
        assert!(f.run_until(300, Fleet::is_over));
        assert_eq!(f.versions, [Version::Old; 4]);
        assert!(f.rollout.state.why.contains("started again"), "{}", f.rollout.state.why);
    }

    #[test]
    fn controller_that_lost_the_lease_does_nothing() {
        let mut f = Fleet::new(plan(2, BreachAction::Halt));
        f.run_one_second();
        f.handle(Event::LeaseLost);
        let (stored, runs) = (f.stored.clone(), f.command_runs);
        f.run_until(60, |_| false);
        assert_eq!((stored, runs), (f.stored.clone(), f.command_runs));
    }
}
